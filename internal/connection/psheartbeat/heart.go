// Package psheartbeat exchanges small messages between VMs at a steady pace.
//
// A heartbeat shows that its sender is alive and carries the sections that other packages
// have to say, such as the configuration version in force or spare budget. The answer to a
// heartbeat carries the same sections back.
//
// A VM beats to all VMs of its own failure domain and to one VM of each other domain, so
// that the cost grows with the size of a domain and the number of domains. A VM that was
// heard of lately, in a heartbeat or in an answer to one, is not sent another.
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
	// Interval is the least time between two heartbeats to the same VM.
	Interval = 250 * time.Millisecond
	// timeout bounds one heartbeat.
	timeout    = time.Second
	methodBeat = "heartbeat"
	// tick is the time between two looks for VMs that are due.
	tick = 50 * time.Millisecond
	// silentIntervals is the number of intervals after which a VM counts as silent.
	silentIntervals = 4
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
	sent     map[psdoc.Name]time.Time
	pending  map[psdoc.Name]bool
	last     time.Time
	plan     *psplan.Plan
	targets  targets
	urgent   bool

	wake chan struct{}
}

// New returns the heart of a VM. Sections must be added before it runs.
func New(self psdoc.Name, p Plans, h *pspeer.Hub) *Heart {
	t := &Heart{
		self: self, plans: p, hub: h,
		sections: make(map[string]Section),
		heard:    make(map[psdoc.Name]time.Time),
		sent:     make(map[psdoc.Name]time.Time),
		pending:  make(map[psdoc.Name]bool),
		wake:     make(chan struct{}, 1),
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
	t := time.NewTicker(tick)
	defer t.Stop()
	var beating sync.WaitGroup
	defer beating.Wait()
	for {
		for _, v := range h.due() {
			beating.Go(func() { h.beat(ctx, v) })
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-h.wake:
		}
	}
}

// Now has a heartbeat sent to all targets at once.
func (h *Heart) Now() {
	h.mutex.Lock()
	h.urgent = true
	h.mutex.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// due picks the VMs that are due for a heartbeat and marks them, so that a stalled VM has
// at most one under way.
func (h *Heart) due() []*psplan.VM {
	p := h.plans.Plan()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if p != h.plan {
		h.plan, h.targets = p, newTargets(p, h.self)
	}
	interval := h.targets.interval()
	if h.urgent {
		interval = 0
	}
	h.urgent = false
	now := time.Now()
	var out []*psplan.VM
	pick := func(v *psplan.VM) {
		if !h.pending[v.Name] && now.Sub(h.heard[v.Name]) >= interval && now.Sub(h.sent[v.Name]) >= interval {
			h.pending[v.Name], h.sent[v.Name] = true, now
			out = append(out, v)
		}
	}
	for _, v := range h.targets.near {
		pick(v)
	}
	for _, vms := range h.targets.far {
		pick(h.preferred(vms, now))
	}
	return out
}

// preferred returns the first VM that is not silent. Where all are, each is tried in turn.
// The mutex is held.
func (h *Heart) preferred(vms []*psplan.VM, now time.Time) *psplan.VM {
	interval := h.targets.interval()
	oldest := vms[0]
	for _, v := range vms {
		waiting := now.Sub(h.sent[v.Name]) < interval
		if waiting || now.Sub(h.heard[v.Name]) < silentIntervals*interval {
			return v
		}
		if h.sent[v.Name].Before(h.sent[oldest.Name]) {
			oldest = v
		}
	}
	return oldest
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
	h.last = time.Now()
	h.heard[from] = h.last
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

// LastHeard returns when any VM was last heard of; the zero time says never.
func (h *Heart) LastHeard() time.Time {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.last
}
