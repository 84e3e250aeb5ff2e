// Package psheartbeat exchanges small messages between VMs at a steady pace.
//
// A heartbeat shows that its sender is alive and carries the sections that other packages
// have to say, such as the configuration version in force or spare budget. The answer to a
// heartbeat carries the same sections back.
package psheartbeat

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/connection/pspeer"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

const (
	// Interval is the time between two heartbeats to the same VM.
	Interval = 250 * time.Millisecond
	// timeout bounds one heartbeat.
	timeout    = time.Second
	methodBeat = "heartbeat"
)

// Section is a part of each heartbeat that belongs to one package.
type Section interface {
	// Name identifies the section.
	Name() string
	// Produce returns what this VM has to say; nil says nothing.
	Produce() json.RawMessage
	// Consume takes in what another VM said.
	Consume(from psdoc.Name, data json.RawMessage)
}

// Plans gives the plan in force.
type Plans interface {
	Plan() *psplan.Plan
}

// beat is one heartbeat or its answer.
type beat struct {
	Sections map[string]json.RawMessage `json:"sections"`
}

// Heart sends and answers heartbeats.
type Heart struct {
	self  psdoc.Name
	plans Plans
	hub   *pspeer.Hub

	mutex    sync.Mutex
	sections map[string]Section
	heard    map[psdoc.Name]time.Time
	pending  map[psdoc.Name]bool
}

// New returns the heart of a VM. Sections must be added before it runs.
func New(self psdoc.Name, p Plans, h *pspeer.Hub) *Heart {
	t := &Heart{
		self: self, plans: p, hub: h,
		sections: make(map[string]Section),
		heard:    make(map[psdoc.Name]time.Time),
		pending:  make(map[psdoc.Name]bool),
	}
	h.Handle(methodBeat, t.answer)
	return t
}

// Add registers a section.
func (h *Heart) Add(s Section) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.sections[s.Name()] = s
}

// Run beats until the context ends.
func (h *Heart) Run(ctx context.Context) {
	t := time.NewTicker(Interval)
	defer t.Stop()
	var beating sync.WaitGroup
	defer beating.Wait()
	for {
		for _, v := range h.plans.Plan().VMs {
			if v.Name != h.self && h.begin(v.Name) {
				beating.Go(func() { h.beat(ctx, v) })
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// begin marks a heartbeat as under way, so that a stalled VM has at most one.
func (h *Heart) begin(vm psdoc.Name) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.pending[vm] {
		return false
	}
	h.pending[vm] = true
	return true
}

func (h *Heart) beat(ctx context.Context, v *psplan.VM) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var out beat
	err := h.hub.Call(ctx, pspeer.Peer{Name: v.Name, Address: v.Peer}, methodBeat, h.produce(), &out)
	if err == nil {
		h.consume(v.Name, out)
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.pending, v.Name)
}

func (h *Heart) answer(_ context.Context, from psdoc.Name, params json.RawMessage) (any, error) {
	var in beat
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, errors.Wrap(err, "decode a heartbeat")
	}
	h.consume(from, in)
	return h.produce(), nil
}

func (h *Heart) list() []Section {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	out := make([]Section, 0, len(h.sections))
	for _, s := range h.sections {
		out = append(out, s)
	}
	return out
}

func (h *Heart) produce() beat {
	out := beat{Sections: make(map[string]json.RawMessage)}
	for _, s := range h.list() {
		if data := s.Produce(); data != nil {
			out.Sections[s.Name()] = data
		}
	}
	return out
}

func (h *Heart) consume(from psdoc.Name, b beat) {
	h.mutex.Lock()
	h.heard[from] = time.Now()
	h.mutex.Unlock()
	for _, s := range h.list() {
		if data, found := b.Sections[s.Name()]; found {
			s.Consume(from, data)
		}
	}
}

// Heard returns when the VM was last heard of; the zero time says never.
func (h *Heart) Heard(vm psdoc.Name) time.Time {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.heard[vm]
}
