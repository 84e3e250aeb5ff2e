// Package psstate captures the state of a VM at one moment as a document.
//
// Operators read a [State] from a VM or from a file. [Explain] returns the routing decision for a request in
// that state, computed by the code that makes these decisions for callers.
package psstate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"persimmonstep/internal/process/psnode"
	"persimmonstep/internal/process/psrate"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/process/psshare"
	"persimmonstep/internal/process/pssnapshot"
	"persimmonstep/internal/process/pstoken"
	"persimmonstep/internal/request/psestimate"
	"persimmonstep/internal/request/psselect"
	"persimmonstep/internal/request/psshed"
	"persimmonstep/internal/request/psusage"
	"persimmonstep/internal/version/psconfig"
)

// State is the state from which a VM makes decisions. It contains no keys.
type State struct {
	VM string `json:"vm"`
	// Place is the location of the VM.
	Place psselect.Place `json:"place"`
	// TakenAt is the wall-clock time of the state.
	TakenAt time.Time `json:"takenAt"`
	// Ready states that the VM accepts requests of callers.
	Ready bool `json:"ready"`
	// Configuration is the version in force; nil before the first one.
	Configuration *psconfig.Configuration `json:"configuration"`
	// ServersAge is the time since the servers were read from the store.
	ServersAge time.Duration `json:"serversAge"`
	Servers    []Server      `json:"servers"`
	// Evacuated lists the failure domains whose servers receive no requests.
	Evacuated []string `json:"evacuated"`
	// FleetSize is the number of known VMs, this one included. VMs are those that accept requests of
	// callers.
	FleetSize int `json:"fleetSize"`
	// Parts is the number of parts into which the fleet's limits are divided.
	Parts int             `json:"limitParts"`
	VMs   []pssnapshot.VM `json:"vms"`
	// Shares are this VM's shares of the workspaces' split rates. EvenShare applies to workspaces that
	// are not listed.
	Shares    map[string]float64 `json:"parts"`
	EvenShare float64            `json:"evenPart"`
	// Runs are the estimated run times by route, and MeanRuns the mean ones by service.
	Runs     map[string]psestimate.Runs `json:"runs"`
	MeanRuns map[string]time.Duration   `json:"meanRuns"`
	// Demands are the present demands by service and priority.
	Demands map[string]psshed.Demand `json:"demands"`
	// Usages are the amounts of requests by workspace.
	Usages map[string]psusage.Amount `json:"usages"`
	// ResponseBytes are the mean response sizes by route.
	ResponseBytes map[string]int `json:"answerBytes"`
	// RoundTrips are the network round-trip times to servers by failure domain, where any was measured.
	RoundTrips map[string]time.Duration `json:"travels"`
	// InFlight is the number of requests that have no response yet.
	InFlight int `json:"inFlight"`
}

// Server is the VM's view of a backend server.
type Server struct {
	psserver.View
	Region string `json:"region"`
	// ColdSender states that this VM is one of those that send requests to the server during its cold
	// start.
	ColdSender bool `json:"mayGetCold"`
	// TokenOwner is the VM that owns the tokens of the server's limit, and RequestedFraction the fraction of the
	// requests to the server for which this VM requests tokens; empty without a limit.
	TokenOwner        string  `json:"tokenOwner,omitempty"`
	RequestedFraction float64 `json:"tokenPart,omitempty"`
	// Objects are the objects that this VM recently sent requests for to the server.
	Objects []uint64 `json:"objects"`
}

// Source holds the parts of a VM from which its state is captured.
type Source struct {
	Settings   *psnode.Settings
	Snapshot   *pssnapshot.Snapshot
	Estimates  *psestimate.Estimates
	RoundTrips *psestimate.RoundTrips
	Demands    *psshed.Demands
	Usage      *psusage.Usage
	Tokens     *pstoken.Tokens
	Ready      bool
	InFlight   int
}

// Capture returns the state of a VM at a moment.
func Capture(s Source, now time.Time) State {
	p := s.Snapshot
	state := State{
		VM: s.Settings.Name, Place: psselect.Place{FailureDomain: s.Settings.FailureDomain, Region: s.Settings.Region},
		TakenAt: now, Ready: s.Ready, InFlight: s.InFlight,
		Evacuated: slices.Sorted(maps.Keys(p.Evacuated)), FleetSize: p.FleetSize, Parts: p.Holding.Parts, VMs: p.VMs, Shares: p.RateShares, EvenShare: p.Holding.Part(),
		Runs: make(map[string]psestimate.Runs), MeanRuns: make(map[string]time.Duration),
		Demands: make(map[string]psshed.Demand), Usages: s.Usage.Amounts(now),
		ResponseBytes: make(map[string]int), RoundTrips: s.RoundTrips.All(),
	}
	if !p.ServersReadAt.IsZero() {
		state.ServersAge = now.Sub(p.ServersReadAt)
	}
	for _, list := range p.Servers {
		for _, v := range list {
			state.Servers = append(state.Servers, s.server(v, now))
		}
	}
	slices.SortFunc(state.Servers, func(a, b Server) int { return cmp.Compare(a.Entry.ID, b.Entry.ID) })
	if p.Index != nil {
		state.addConfiguration(p.Index.Configuration, s, now)
	}
	return state
}

func (s Source) server(v *psserver.Server, now time.Time) Server {
	out := Server{View: v.View(now), Region: v.Region, Objects: v.RecentObjects.Objects()}
	_, out.ColdSender = s.Snapshot.ColdShare(out.Entry)
	if out.Limit.Named {
		owner, _ := s.Snapshot.ServerTokenOwners(out.Entry, out.Region)
		out.TokenOwner, out.RequestedFraction = owner.VM, s.Tokens.Fraction(out.Entry.Run())
	}
	return out
}

// addConfiguration adds a configuration without its keys, and the estimates of its routes.
func (s *State) addConfiguration(c *psconfig.Configuration, from Source, now time.Time) {
	e := from.Estimates
	bare := *c
	bare.Workspaces = lo.Map(c.Workspaces, func(w psconfig.Workspace, _ int) psconfig.Workspace {
		w.Keys = nil
		return w
	})
	s.Configuration = &bare
	for _, r := range c.Routes {
		s.Runs[r.Name] = e.Runs(r.Name, r.TargetLatency)
		s.ResponseBytes[r.Name] = e.ResponseBytes(r.Name)
		for _, b := range r.Backends {
			s.MeanRuns[b.Service] = e.MeanRun(b.Service, s.Runs[r.Name].Cached)
			s.Demands[b.Service] = from.Demands.Of(b.Service, now)
		}
	}
}

// limit returns the rate of a workspace that this VM enforces: its share, or the whole rate if one VM
// owns the tokens.
func (s *State) limit(w psconfig.Workspace) Rate {
	l := psrate.Limit{Rate: w.Rate, Burst: w.Burst}
	if psrate.SingleOwner(l, s.Parts) {
		return Rate{PerSecond: w.Rate, Burst: w.Burst, SingleOwner: true}
	}
	share := psshare.Of(s.Shares, s.EvenShare, w.Name)
	return Rate{PerSecond: w.Rate * share, Burst: w.Burst * share}
}
