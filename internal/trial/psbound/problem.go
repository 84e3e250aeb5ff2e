// Package psbound computes how many requests of an experiment's load could be served in target by a scheduler that knows all
// arrivals, the servers' slots and caches, the slow spells of their machines and the latencies beforehand.
//
// [Upper] is a relaxation that no scheduler exceeds, and [Lower] the result of a schedule that keeps to the model. The
// true optimum of the model lies between them. Both are pure functions of a [Problem].
package psbound

import (
	"time"

	"persimmonstep/internal/trial/psdev"
	"persimmonstep/internal/trial/psload"
	"persimmonstep/internal/trial/psscenario"
	"persimmonstep/internal/trial/psspell"
)

// Problem is what the scheduler knows.
type Problem struct {
	// Services are independent of each other: each has its own servers, objects and requests.
	Services []Service
	// Workspaces limits the requests of each workspace that may run.
	Workspaces map[string]psload.Allowance
	// From and Span are the times between which requests count.
	From, Span time.Duration
	// Latency returns the round trip time between the failure domain of a VM, by its index, and a server.
	Latency func(domain int, s *Server) time.Duration
	// SameRegion reports whether a failure domain is in the region of a server.
	SameRegion func(domain int, s *Server) bool
}

// Service is the servers and the requests of one service.
type Service struct {
	Servers []Server
	// Requests are in the order of their arrival.
	Requests []Request
}

// Server is a backend server.
type Server struct {
	Domain psdev.Domain
	Slots  int
	// CacheSize is the number of objects that it caches.
	CacheSize int
	// Spells are the slow spells of its machine.
	Spells psspell.Spells
}

// Request is one request.
type Request struct {
	// At is when its caller sends it, Ready when it reaches a VM, Due when its response must leave the VM to be in target, and End
	// when the response must leave it to reach the caller before the caller's deadline.
	At, Ready, Due, End time.Duration
	// Entitled states that it is within the rate of its workspace.
	Entitled bool
	// Domain is the index of the caller's failure domain, and Workspace the caller's workspace.
	Domain    int
	Workspace string
	// Object is the object of the request; -1 without one.
	Object int
	// Work is how long it runs with its object cached, and Uncached without, on a machine that isn't slow.
	Work, Uncached time.Duration
	Priority       int
	Weight         float64
}

// density returns the weight of the request for each second of a slot.
func (r *Request) density() float64 { return r.Weight / r.Work.Seconds() }

// New returns the problem of a scenario's load.
func New(f psscenario.Firm, s *psscenario.Scenario, t psdev.Topology, arrivals []psload.Arrival) *Problem {
	p := &Problem{From: s.Settle.Duration, Span: s.Span.Duration, Workspaces: f.Allowances()}
	p.Latency = func(domain int, v *Server) time.Duration { return f.LatencyBetween(t.Domains[domain], v.Domain) }
	p.SameRegion = func(domain int, v *Server) bool { return t.Domains[domain].Region == v.Domain.Region }
	services, pools := make(map[string]int), make(map[string]psscenario.Pool)
	for _, v := range f.Pools {
		pools[v.Name] = v
		if _, found := services[v.ServiceName()]; !found {
			services[v.ServiceName()] = len(services)
		}
	}
	p.Services = make([]Service, len(services))
	for _, v := range t.Servers {
		b, service := v.Behaviour, &p.Services[services[v.Service]]
		server := Server{Domain: v.Domain, Slots: b.Slots, CacheSize: b.CacheSize}
		if b.Spells != nil {
			server.Spells = *b.Spells
		}
		service.Servers = append(service.Servers, server)
	}
	entitled := psload.Entitled(arrivals, p.Workspaces)
	for _, a := range arrivals {
		if a.Stream.Marker != "" {
			continue
		}
		v := pools[a.Stream.Route]
		service := &p.Services[services[v.ServiceName()]]
		r := newRequest(a, v, f.CallerLatency)
		r.Entitled = entitled[a.Sequence]
		service.Requests = append(service.Requests, r)
	}
	return p
}

// newRequest returns the request of an arrival at a pool. The latency is that between callers and VMs.
func newRequest(a psload.Arrival, v psscenario.Pool, latency time.Duration) Request {
	r := Request{
		At: a.At, Ready: a.At + latency, Due: a.At + v.TargetLatency() - latency, End: a.At + a.Stream.Deadline - latency,
		Domain: a.Domain, Workspace: a.Stream.Workspace, Object: -1, Work: v.CachedWork(), Uncached: v.ServiceTime,
		Priority: v.Priority, Weight: v.Weight(),
	}
	if v.Objects > 0 {
		r.Object = a.Object
	}
	return r
}

// counts reports whether a request counts as in target or not.
func (p *Problem) counts(r *Request) bool { return r.At >= p.From }
