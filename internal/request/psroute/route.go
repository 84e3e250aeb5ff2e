// Package psroute decides where a request runs.
//
// The decision is a pure function of the request and of the candidates, which are the
// backend servers of its route as this VM sees them: no I/O, no locks and no clock.
// Nearer servers come first: those of the VM's own failure domain, then of its region,
// then of other regions. Among equally near servers the one with the lowest expected
// time wins. A server runs a request only in a slot that this VM may use.
package psroute

import (
	"time"

	"persimmonstep/internal/version/psplan"
)

// Request is what the decision needs to know of a request.
type Request struct {
	// Route is the request's route.
	Route *psplan.Route
	// Workspace is the request's workspace, nil on open routes.
	Workspace *psplan.Workspace
	// Domain is the failure domain of the deciding VM.
	Domain *psplan.Domain
	// Home is the region in which the request runs without being shifted.
	Home *psplan.Region
	// MayShift admits servers outside the home region.
	MayShift bool
	// Tried lists the servers that an earlier attempt was sent to.
	Tried []*psplan.Server
	// Seed breaks ties.
	Seed uint64
}

// Candidate is a backend server as this VM sees it.
type Candidate struct {
	// Server is the backend server.
	Server *psplan.Server
	// Limit is the number of slots that this VM may use at a time.
	Limit int
	// InFlight is the number of slots that this VM uses now.
	InFlight int
	// Excluded marks a server that must receive no new work, such as a leaving or an ejected one.
	Excluded bool
	// Latency is the recently observed time of one request; 0 when unknown.
	Latency time.Duration
}

// Decision is what to do with a request: [Send], [Wait] or [Refuse].
type Decision interface {
	decision()
}

// Send sends the request to a backend server.
type Send struct {
	// Server is the chosen backend server.
	Server *psplan.Server
	// Shifted says that it stands outside the home region.
	Shifted bool
	// Reason names the rule that chose it.
	Reason Reason
}

// Wait keeps the request until a slot is free.
type Wait struct {
	// Reason names the rule.
	Reason Reason
}

// Refuse gives the request up.
type Refuse struct {
	// Reason names the rule.
	Reason Reason
}

func (Send) decision()   {}
func (Wait) decision()   {}
func (Refuse) decision() {}

// Reason names the rule behind a decision.
type Reason string

const (
	// ReasonSameDomain chose a server in the VM's failure domain.
	ReasonSameDomain Reason = "sameFailureDomain"
	// ReasonSameRegion chose a server in another failure domain of the VM's region.
	ReasonSameRegion Reason = "sameRegion"
	// ReasonOtherRegion chose a server in another region.
	ReasonOtherRegion Reason = "otherRegion"
	// ReasonSlotsBusy found usable servers without a free slot.
	ReasonSlotsBusy Reason = "slotsBusy"
	// ReasonQueueFull foresaw that no slot would be free before the request's time is over.
	ReasonQueueFull Reason = "queueFull"
	// ReasonShiftCapped found free slots only where the shift cap forbids them.
	ReasonShiftCapped Reason = "shiftCapped"
	// ReasonNoServer found no usable server at all.
	ReasonNoServer Reason = "noServer"
)

// tier ranks a server: first by whether it stands in the home region, so that the shift
// cap is kept for need, then by its distance from the VM.
type tier int

const (
	tierDomain tier = iota
	tierRegion
	tierElsewhere
	tierCount
)

func distanceOf(r Request, s *psplan.Server) tier {
	switch {
	case r.Domain == nil:
		return tierElsewhere
	case s.Domain.Name == r.Domain.Name:
		return tierDomain
	case s.Domain.Region.Name == r.Domain.Region.Name:
		return tierRegion
	}
	return tierElsewhere
}

func tierOf(r Request, s *psplan.Server) tier {
	t := distanceOf(r, s)
	if Shifted(r, s) {
		t += tierCount
	}
	return t
}

func (t tier) reason() Reason {
	return [...]Reason{ReasonSameDomain, ReasonSameRegion, ReasonOtherRegion}[t%tierCount]
}

// Decide chooses among the candidates.
func Decide(r Request, candidates []Candidate) Decision {
	var best *Candidate
	var bestTier tier
	var bestCost float64
	busy, capped := false, false
	for i := range candidates {
		c := &candidates[(uint64(i)+r.Seed)%uint64(len(candidates))]
		if c.Excluded || wasTried(r, c.Server) {
			continue
		}
		if Shifted(r, c.Server) && !r.MayShift {
			capped = true
			continue
		}
		if c.InFlight >= c.Limit {
			busy = busy || c.Limit > 0
			continue
		}
		t, cost := tierOf(r, c.Server), cost(c)
		if best == nil || t < bestTier || (t == bestTier && cost < bestCost) {
			best, bestTier, bestCost = c, t, cost
		}
	}
	switch {
	case best != nil:
		return Send{Server: best.Server, Shifted: Shifted(r, best.Server), Reason: bestTier.reason()}
	case busy:
		return Wait{Reason: ReasonSlotsBusy}
	case capped:
		return Refuse{Reason: ReasonShiftCapped}
	}
	return Refuse{Reason: ReasonNoServer}
}

// Shifted reports whether a server stands outside the request's home region.
func Shifted(r Request, s *psplan.Server) bool {
	return r.Home != nil && s.Domain.Region.Name != r.Home.Name
}

func wasTried(r Request, s *psplan.Server) bool {
	for _, t := range r.Tried {
		if t.Name == s.Name {
			return true
		}
	}
	return false
}

// defaultLatency stands for the latency of a server that was not observed yet.
const defaultLatency = time.Millisecond

// cost estimates the time until the server would answer one request more.
func cost(c *Candidate) float64 {
	latency := c.Latency
	if latency <= 0 {
		latency = defaultLatency
	}
	return float64(c.InFlight+1) / float64(c.Limit) * latency.Seconds()
}
