// Package psstate holds what a VM believes at one moment, as a document.
//
// Operators read a [State] from a VM or from a file, and let [Explain] tell what would be
// decided for a request then, by the code that decides about requests.
package psstate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"persimmonstep/internal/process/pscontrol"
	"persimmonstep/internal/process/psnode"
	"persimmonstep/internal/process/psrate"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/process/psshare"
	"persimmonstep/internal/request/psestimate"
	"persimmonstep/internal/request/psselect"
	"persimmonstep/internal/version/psconfig"
)

// State is what a VM believes. It holds no keys.
type State struct {
	VM string `json:"vm"`
	// Place is where the VM runs.
	Place psselect.Place `json:"place"`
	// TakenAt is the time of day of the state.
	TakenAt time.Time `json:"takenAt"`
	// Ready says that the VM takes callers.
	Ready bool `json:"ready"`
	// Configuration is the version in force, nil before the first one.
	Configuration *psconfig.Configuration `json:"configuration"`
	// ServersAge is how long ago the servers were read from the store.
	ServersAge time.Duration `json:"serversAge"`
	Servers    []Server      `json:"servers"`
	// Evacuated lists the failure domains whose servers get nothing.
	Evacuated []string `json:"evacuated"`
	// FleetSize is the number of VMs that may be in use, and VMs those that take callers.
	FleetSize int            `json:"fleetSize"`
	VMs       []pscontrol.VM `json:"vms"`
	// Parts gives this VM's part of each workspace's rate that is split, and EvenPart that of others.
	Parts    map[string]float64 `json:"parts"`
	EvenPart float64            `json:"evenPart"`
	// Runs are the estimated run times by route, and MeanRuns those by service.
	Runs     map[string]psestimate.Runs `json:"runs"`
	MeanRuns map[string]time.Duration   `json:"meanRuns"`
	// AnswerBytes are the mean sizes of answers by route.
	AnswerBytes map[string]int `json:"answerBytes"`
	// Travels are the times to servers and back by failure domain, where any was seen.
	Travels map[string]time.Duration `json:"travels"`
	// InFlight is the number of requests without an answer.
	InFlight int `json:"inFlight"`
}

// Server is a backend server as the VM sees it.
type Server struct {
	psserver.View
	Region string `json:"region"`
	// MayGetCold says that this VM is among those that send requests to the server while it
	// is cold.
	MayGetCold bool `json:"mayGetCold"`
	// Objects are those that this VM sent there lately.
	Objects []uint64 `json:"objects"`
}

// Source is where a state comes from.
type Source struct {
	Settings  *psnode.Settings
	Snapshot  *pscontrol.Snapshot
	Estimates *psestimate.Estimates
	Travels   *psestimate.Travels
	Ready     bool
	InFlight  int
}

// Of returns the state of a VM at a moment.
func Of(s Source, now time.Time) State {
	p := s.Snapshot
	state := State{
		VM: s.Settings.Name, Place: psselect.Place{FailureDomain: s.Settings.FailureDomain, Region: s.Settings.Region},
		TakenAt: now, Ready: s.Ready, InFlight: s.InFlight,
		Evacuated: slices.Sorted(maps.Keys(p.Evacuated)), FleetSize: p.FleetSize, VMs: p.VMs, Parts: p.RateShares, EvenPart: p.EvenShare,
		Runs: make(map[string]psestimate.Runs), MeanRuns: make(map[string]time.Duration),
		AnswerBytes: make(map[string]int), Travels: s.Travels.All(),
	}
	if !p.ServersReadAt.IsZero() {
		state.ServersAge = now.Sub(p.ServersReadAt)
	}
	for _, list := range p.Servers {
		for _, v := range list {
			state.Servers = append(state.Servers, serverOf(v, p, now))
		}
	}
	slices.SortFunc(state.Servers, func(a, b Server) int { return cmp.Compare(a.Entry.ID, b.Entry.ID) })
	if p.Index != nil {
		state.configure(p.Index.Configuration, s.Estimates)
	}
	return state
}

func serverOf(v *psserver.Server, p *pscontrol.Snapshot, now time.Time) Server {
	s := Server{View: v.View(now), Region: v.Region, Objects: v.RecentObjects.Objects()}
	_, s.MayGetCold = p.ColdShare(s.Entry)
	return s
}

// configure takes in a configuration without its keys, and the estimates of its routes.
func (s *State) configure(c *psconfig.Configuration, e *psestimate.Estimates) {
	bare := *c
	bare.Workspaces = lo.Map(c.Workspaces, func(w psconfig.Workspace, _ int) psconfig.Workspace {
		w.Keys = nil
		return w
	})
	s.Configuration = &bare
	for _, r := range c.Routes {
		s.Runs[r.Name] = e.Runs(r.Name, r.TargetLatency)
		s.AnswerBytes[r.Name] = e.AnswerBytes(r.Name)
		for _, b := range r.Backends {
			s.MeanRuns[b.Service] = e.Mean(b.Service, s.Runs[r.Name].Held)
		}
	}
}

// limit returns the rate of a workspace as this VM counts it: its part, or the whole of a
// rate that one VM keeps for all.
func (s *State) limit(w psconfig.Workspace) Rate {
	l := psrate.Limit{Rate: w.Rate, Burst: w.Burst}
	if psrate.Kept(l, s.FleetSize) {
		return Rate{PerSecond: w.Rate, Burst: w.Burst, Kept: true}
	}
	part := psshare.PartOf(s.Parts, s.EvenPart, w.Name)
	return Rate{PerSecond: w.Rate * part, Burst: w.Burst * part}
}
