package psmeasure

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/samber/lo"

	"persimmonstep/internal/process/psdev"
	"persimmonstep/internal/process/psload"
	"persimmonstep/internal/version/psdoc"
)

const (
	regionCount      = 3
	domainsPerRegion = 2
	domainCount      = regionCount * domainsPerRegion
	vmCount          = 9
	serverCount      = 16 + 12 + 12
	// uploadBytes is the size of an uploaded file.
	uploadBytes = 64 << 10
	// promisedPart is the part of the lookup capacity that all rates together promise.
	promisedPart = 0.9
	// burstSpan is the burst of a workspace in time at its rate.
	burstSpan = 500 * time.Millisecond
)

// workspaceWeights shares the promised rate between the workspaces: a few are large.
var workspaceWeights = []float64{6, 4, 3, 1, 1, 0.5, 0.3, 0.2}

// Firm is one of the users' installations.
type Firm struct {
	// Name identifies the firm.
	Name psdoc.Name
	// Regions names the regions.
	Regions []psdoc.Name
	// DomainLatency is the time between failure domains of a region, one way and back.
	DomainLatency time.Duration
	// RegionLatency is the time between regions, one way and back.
	RegionLatency time.Duration
	// LinkBitsPerSecond is the capacity of each region pair.
	LinkBitsPerSecond float64
	// Pools are its kinds of backend servers.
	Pools []Pool
}

// Pool is a kind of backend server and the route that it runs.
type Pool struct {
	Name        psdoc.Name
	Kind        psdoc.RouteKind
	Servers     int
	Slots       int
	ServiceTime time.Duration
	// Part is the part of a workspace's requests.
	Part float64
	// Shift bounds the part that may run in another region.
	Shift float64
	// BodyBytes is the size of each request's body.
	BodyBytes int
}

// Firms lists both firms at today's sizes.
func Firms() []Firm {
	return []Firm{
		{
			Name: "egg-exchange", Regions: []psdoc.Name{"cornwall", "middlesex", "surrey"},
			DomainLatency: 1500 * time.Microsecond, RegionLatency: 12 * time.Millisecond, LinkBitsPerSecond: 4e9,
			Pools: pools("prices", 5, "orders", "inspections"),
		},
		{
			Name: "cart-maker", Regions: []psdoc.Name{"lombardia", "trentino", "piemonte"},
			DomainLatency: 500 * time.Microsecond, RegionLatency: 12 * time.Millisecond, LinkBitsPerSecond: 280e6,
			Pools: pools("catalogue", 4, "ordering", "workshop"),
		},
	}
}

func pools(lookups psdoc.Name, lookupSlots int, orders, uploads psdoc.Name) []Pool {
	return []Pool{
		{Name: lookups, Kind: psdoc.KindLookup, Servers: 16, Slots: lookupSlots, ServiceTime: 80 * time.Millisecond, Part: 0.75, Shift: 0.3},
		{Name: orders, Kind: psdoc.KindExclusive, Servers: 12, Slots: 3, ServiceTime: 100 * time.Millisecond, Part: 0.18, Shift: 0.2},
		{Name: uploads, Kind: psdoc.KindUpload, Servers: 12, Slots: 3, ServiceTime: 200 * time.Millisecond, Part: 0.07, Shift: 0.1, BodyBytes: uploadBytes},
	}
}

// domain is the name of a failure domain by its index.
func (f Firm) domain(n int) psdoc.Name {
	return psdoc.Name(fmt.Sprintf("%s-%c", f.Regions[n/domainsPerRegion], 'a'+n%domainsPerRegion))
}

// region is the region of a failure domain by its index.
func (f Firm) region(domain int) psdoc.Name {
	return f.Regions[domain/domainsPerRegion]
}

// source is the loopback address of the callers of a failure domain.
func source(domain int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 1, byte(domain), 1})
}

// topology is what the firm runs.
func (f Firm) topology() psdev.Topology {
	t := psdev.Topology{Workspaces: f.workspaces(), RegionalPlatforms: true}
	for i, r := range f.Regions {
		t.Regions = append(t.Regions, psdoc.Region{Name: r})
		for j := range i {
			t.Links = append(t.Links, psdoc.Link{Between: []psdoc.Name{f.Regions[j], r}, BitsPerSecond: f.LinkBitsPerSecond})
		}
	}
	for n := range domainCount {
		t.Domains = append(t.Domains, psdoc.FailureDomain{Name: f.domain(n), Region: f.region(n)})
		t.ClientBlocks = append(t.ClientBlocks, psdoc.ClientBlock{Prefix: netip.PrefixFrom(source(n), 24).Masked(), FailureDomain: f.domain(n)})
	}
	for n := range vmCount {
		d := n % domainCount
		t.VMs = append(t.VMs, psdev.TopologyVM{Name: psdoc.Name(fmt.Sprintf("vm-%d", n)), Region: f.region(d), Domain: f.domain(d)})
	}
	for _, p := range f.Pools {
		t.Routes = append(t.Routes, psdoc.Route{
			Name: p.Name, Prefix: "/" + string(p.Name) + "/", Kind: p.Kind, Pool: p.Name,
			Shift: &psdoc.Shift{Fraction: lo.ToPtr(p.Shift)},
		})
		for n := range p.Servers {
			t.Servers = append(t.Servers, psdev.TopologyServer{
				Name: psdoc.Name(fmt.Sprintf("%s-%d", p.Name, n)), Domain: f.domain(n % domainCount), Pool: p.Name, Slots: p.Slots,
			})
		}
	}
	return t
}

// workspaces shares the promised rate between the workspaces.
func (f Firm) workspaces() []psdoc.Workspace {
	p := f.Pools[0]
	promised := promisedPart * float64(p.Servers*p.Slots) / p.ServiceTime.Seconds()
	sum := lo.Sum(workspaceWeights)
	return lo.Map(workspaceWeights, func(w float64, i int) psdoc.Workspace {
		rate := promised * w / sum
		return psdoc.Workspace{Name: psdoc.Name(fmt.Sprintf("workspace-%d", i)), Rate: rate, Burst: max(4, rate*burstSpan.Seconds())}
	})
}

// streams is the load of a scenario: each workspace sends to each route.
func (f Firm) streams(s *Scenario) []psload.Stream {
	var out []psload.Stream
	for i, w := range f.workspaces() {
		load := s.Load
		if s.Busy != nil && s.Busy.Workspace == i {
			load = s.Busy.Factor
		}
		for _, p := range f.Pools {
			out = append(out, f.stream(i, w, p, w.Rate*load*p.Part))
		}
	}
	for _, v := range s.Faults {
		if v.Kind == FaultPoison {
			p := f.stream(v.Target, f.workspaces()[v.Target], f.Pools[0], poisonRate)
			p.Marker, p.From, p.To = poisonMarker, v.At.Duration, v.Until.Duration
			out = append(out, p)
		}
	}
	return out
}

func (f Firm) stream(n int, w psdoc.Workspace, p Pool, rate float64) psload.Stream {
	return psload.Stream{
		Workspace: w.Name, Route: p.Name, Prefix: "/" + string(p.Name) + "/", Kind: p.Kind,
		Rate: rate, Home: n % domainCount, BodyBytes: p.BodyBytes,
	}
}
