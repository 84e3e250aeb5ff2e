package psmeasure

import (
	"context"
	"net/http"
	"sync"
	"time"

	"persimmonstep/internal/process/psbudget"
	"persimmonstep/internal/process/psload"
	"persimmonstep/internal/request/psgate"
	"persimmonstep/internal/request/psproblem"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// Policy is a way to decide that an experiment compares.
type Policy struct {
	// Name identifies the policy in reports.
	Name string
	// Choice is how callers find their VM.
	Choice psload.Choice
	// Adjust changes the request path of each VM; nil leaves it.
	Adjust func(*psgate.Gate)
}

// Own is what the system does by itself.
func Own() Policy {
	return Policy{Name: "persimmonstep", Choice: psload.AskDirectory{}}
}

// Baseline splits each rate evenly and for good between the VMs, lends nothing, and lets
// callers take a VM at random.
func Baseline() Policy {
	return Policy{
		Name: "staticSplit", Choice: psload.TakeRandom{},
		Adjust: func(g *psgate.Gate) { g.Limiter = &evenSplit{buckets: make(map[psdoc.Name]*psbudget.Bucket)} },
	}
}

// evenSplit spends an even share of each rate.
type evenSplit struct {
	mutex   sync.Mutex
	buckets map[psdoc.Name]*psbudget.Bucket
}

// Spend takes one request from the VM's share of the workspace's rate.
func (s *evenSplit) Spend(_ context.Context, p *psplan.Plan, w *psplan.Workspace) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	k, found := s.buckets[w.Name]
	if !found {
		k = &psbudget.Bucket{}
		s.buckets[w.Name] = k
	}
	part := 1 / float64(len(p.VMs))
	// A share of the burst below one request would never admit any.
	k.Rate, k.Burst = w.Rate*part, max(1, w.Burst*part)
	now := time.Now()
	if k.Spend(1, now) {
		return nil
	}
	return psproblem.New(http.StatusTooManyRequests, "overRate", "the workspace is over its rate").After(k.Until(1, now))
}
