package psscenario

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"persimmonstep/internal/trial/psload"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/internal/version/pstoml"
)

// Slow spells of a server's machine, as docs/design/hard-load.md states them: 15% of the time in spells of 90 ms.
const (
	spellFactor = 2.5
	spellLength = 90 * time.Millisecond
	spellGap    = 510 * time.Millisecond
)

// Site is an installation that a scenario describes itself, in place of the models of the firms.
type Site struct {
	Name string `toml:"name"`
	// VMs is the number of VMs, which are spread evenly over the failure domains.
	VMs     int      `toml:"vms"`
	Regions []string `toml:"regions"`
	// DomainLatency and RegionLatency are round trip times; CallerLatency is one way.
	DomainLatency pstoml.Duration `toml:"domainLatency"`
	RegionLatency pstoml.Duration `toml:"regionLatency"`
	CallerLatency pstoml.Duration `toml:"callerLatency"`
	// Workspaces is the proportion in which all routes' requests are split between workspaces.
	Workspaces []float64 `toml:"workspaces"`
	// Wave is the deviation of each region's load from its mean. Each region's begins a third of the period after the
	// one before.
	Wave SiteWave `toml:"wave"`
	// Pipelined is the fraction of idempotent requests that are sent on a connection that may have others without a
	// response.
	Pipelined float64    `toml:"pipelined"`
	Pools     []SitePool `toml:"pools"`
}

// SiteWave is the wave of a site's load.
type SiteWave struct {
	Amplitude float64         `toml:"amplitude"`
	Period    pstoml.Duration `toml:"period"`
}

// SitePool is a route of a site with the servers of its service, unless another pool has them.
type SitePool struct {
	Name string `toml:"name"`
	// Service is the pool whose servers run the requests; the pool's own if absent.
	Service string    `toml:"service"`
	Kind    RouteKind `toml:"kind"`
	// Servers is the number of servers in each region.
	Servers []int `toml:"servers"`
	Slots   int   `toml:"slots"`
	// Unsteady servers have slow spells and state them in their load reports.
	Unsteady    bool            `toml:"unsteady"`
	CacheSize   int             `toml:"cacheSize"`
	ServiceTime pstoml.Duration `toml:"serviceTime"`
	Target      pstoml.Duration `toml:"target"`
	Priority    int             `toml:"priority"`
	// Objects is the number of objects of each region. Only callers of that region request them.
	Objects int `toml:"objects"`
	// Rate is the mean number of requests per second from all callers.
	Rate      float64 `toml:"rate"`
	BodyBytes int     `toml:"bodyBytes"`
}

// RouteKind is the kind of a route.
type RouteKind psconfig.Kind

// UnmarshalText decodes a kind by the name that logs give it.
func (k *RouteKind) UnmarshalText(text []byte) error {
	for _, v := range []psconfig.Kind{psconfig.AtMostOnce, psconfig.Idempotent, psconfig.Upload, psconfig.Download} {
		if v.String() == string(text) {
			*k = RouteKind(v)
			return nil
		}
	}
	return errors.Errorf("unknown kind %q", text)
}

// Surge multiplies the load of a route or of a workspace for some time.
type Surge struct {
	// Route is the route with the surge; all if absent.
	Route string `toml:"route"`
	// Workspace is the index of the workspace with the surge; all if absent.
	Workspace *int            `toml:"workspace"`
	Factor    float64         `toml:"factor"`
	At        pstoml.Duration `toml:"at"`
	Until     pstoml.Duration `toml:"until"`
}

// surgesOf returns the surges of a workspace's requests to a route.
func (s *Scenario) surgesOf(workspace int, route string) []psload.Surge {
	return lo.FilterMap(s.Surges, func(v Surge, _ int) (psload.Surge, bool) {
		concerned := (v.Route == "" || v.Route == route) && (v.Workspace == nil || *v.Workspace == workspace)
		return psload.Surge{From: v.At.Duration, To: v.Until.Duration, Factor: v.Factor}, concerned
	})
}

// Firms returns the installations that the scenario runs on: its own one, or those of the firms.
func (s *Scenario) Firms() []Firm {
	if s.Site == nil {
		return Firms()
	}
	v := s.Site
	f := Firm{
		Name: v.Name, Regions: v.Regions, VMs: v.VMs, DomainLatency: v.DomainLatency.Duration, RegionLatency: v.RegionLatency.Duration,
		CallerLatency: v.CallerLatency.Duration, WorkspaceWeights: v.Workspaces, Pipelined: v.Pipelined, Regional: true,
		Wave: psload.Wave{Amplitude: v.Wave.Amplitude, Period: v.Wave.Period.Duration},
	}
	usual := lo.SumBy(v.Pools, func(p SitePool) float64 { return p.Rate })
	f.Rate = usual / s.Load
	for _, p := range v.Pools {
		f.Pools = append(f.Pools, Pool{
			Name: p.Name, Service: p.Service, Kind: psconfig.Kind(p.Kind), ServersByRegion: p.Servers, Slots: p.Slots, Unsteady: p.Unsteady,
			ServiceTime: p.ServiceTime.Duration, Target: p.Target.Duration, Priority: p.Priority, Objects: p.Objects, CacheSize: p.CacheSize,
			Fraction: p.Rate / usual, BodyBytes: p.BodyBytes,
		})
	}
	return []Firm{f}
}

// regionalStreams returns a workspace's requests to a route, by region.
func (f Firm) regionalStreams(s *Scenario, workspace int, w psconfig.Workspace, pool int) []psload.Stream {
	p := f.Pools[pool]
	return lo.Map(f.Regions, func(_ string, region int) psload.Stream {
		v := f.stream(workspace, w, p, w.Rate*s.Load*p.Fraction/float64(len(f.Regions)))
		v.Domains = lo.RangeFrom(region*domainsPerRegion, domainsPerRegion)
		v.FirstObject = (pool*len(f.Regions) + region) * p.Objects
		v.Wave = f.Wave
		v.Wave.Phase = float64(region) / float64(len(f.Regions))
		v.Surges = s.surgesOf(workspace, p.Name)
		v.Pipelined = f.Pipelined
		return v
	})
}

// validateSite checks the site and the surges. It returns nothing if the file has no site.
func (s *Scenario) validateSite(require func(condition bool, path, message string)) {
	for i, v := range s.Surges {
		at := fmt.Sprintf("surges[%d]", i)
		require(s.Site != nil, at, "only a scenario with a site has surges")
		require(v.Factor > 0, at+".factor", "the factor must be greater than 0")
		require(v.Until.Duration > v.At.Duration, at+".until", "the surge ends before it begins")
		if s.Site != nil {
			require(v.Workspace == nil || *v.Workspace >= 0 && *v.Workspace < len(s.Site.Workspaces), at+".workspace", "there is no such workspace")
			require(v.Route == "" || slices.ContainsFunc(s.Site.Pools, func(p SitePool) bool { return p.Name == v.Route }), at+".route", "there is no such route")
		}
	}
	if s.Site == nil {
		return
	}
	v := s.Site
	require(v.Name != "", "site.name", "the site needs a name")
	require(len(v.Regions) == regionCount, "site.regions", fmt.Sprintf("a site has %d regions", regionCount))
	require(v.VMs >= DomainCount, "site.vms", "each failure domain needs a VM")
	require(len(v.Workspaces) > 0 && lo.Min(v.Workspaces) > 0, "site.workspaces", "a site has workspaces, each with a positive part of the load")
	require(v.Wave.Amplitude >= 0 && v.Wave.Amplitude < 1, "site.wave.amplitude", "the amplitude must be at least 0 and less than 1")
	require(v.Wave.Amplitude == 0 || v.Wave.Period.Duration > 0, "site.wave.period", "the wave needs a period")
	require(v.Pipelined >= 0 && v.Pipelined <= 1, "site.pipelined", "the fraction must be between 0 and 1")
	owners := make(map[string]bool)
	for i, p := range v.Pools {
		at := fmt.Sprintf("site.pools[%d]", i)
		require(p.Name != "", at+".name", "the pool needs a name")
		require(p.Rate > 0, at+".rate", "the rate must be greater than 0")
		require(p.ServiceTime.Duration > 0, at+".serviceTime", "the service time must be greater than 0")
		require(p.Target.Duration > 0, at+".target", "the target must be greater than 0")
		require(p.Priority >= 0, at+".priority", "the priority must be at least 0")
		if p.Service != "" {
			require(owners[p.Service], at+".service", "there is no such pool before this one")
			require(len(p.Servers) == 0, at+".servers", "a pool with the service of another one has no servers")
			continue
		}
		owners[p.Name] = true
		require(len(p.Servers) == len(v.Regions) && lo.Min(p.Servers) >= 0 && lo.Sum(p.Servers) > 0, at+".servers", "a pool has a number of servers for each region")
		require(p.Slots > 0, at+".slots", "the servers need slots")
	}
	require(len(owners) > 0, "site.pools", "a site needs a pool with servers")
}
