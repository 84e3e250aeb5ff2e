// Package psfanout asks every VM of the fleet the same question.
//
// The asking VM sends one call to each failure domain; the VM that takes it asks the others
// of its domain and answers for all of them. The cost for the asking VM thus grows with the
// number of domains. Where the asked VM fails, the next one of its domain is asked.
package psfanout

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"persimmonstep/internal/connection/pspeer"
	"persimmonstep/internal/process/pswait"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

const (
	methodVM     = "fanout.vm"
	methodDomain = "fanout.domain"
	// retryInterval is the time between two questions to a domain that has not confirmed.
	retryInterval = 50 * time.Millisecond
	// vmTimeout bounds a question to one VM of the own domain.
	vmTimeout = 300 * time.Millisecond
	// domainTimeout bounds a question to another domain.
	domainTimeout = 600 * time.Millisecond
)

// Plans gives the plan in force.
type Plans interface {
	Plan() *psplan.Plan
}

// Peers calls other VMs.
type Peers interface {
	Call(ctx context.Context, to pspeer.Peer, method string, params, result any) error
	Handle(method string, f pspeer.Handler)
}

// Handler answers a question on one VM: true confirms it.
type Handler func(ctx context.Context, from psdoc.Name, params json.RawMessage) bool

// question is what travels to a VM or to a domain.
type question struct {
	Topic  string          `json:"topic"`
	Params json.RawMessage `json:"params"`
	// VMs lists the VMs to be asked on behalf of the sender.
	VMs []psdoc.Name `json:"vms,omitempty"`
}

// reply lists the VMs that confirmed.
type reply struct {
	Confirmed []psdoc.Name `json:"confirmed"`
}

// Fanout asks and answers questions.
type Fanout struct {
	self  psdoc.Name
	plans Plans
	peers Peers

	mutex    sync.Mutex
	handlers map[string]Handler
}

// New returns a fan-out.
func New(self psdoc.Name, p Plans, h Peers) *Fanout {
	f := &Fanout{self: self, plans: p, peers: h, handlers: make(map[string]Handler)}
	h.Handle(methodVM, f.answerVM)
	h.Handle(methodDomain, f.answerDomain)
	return f
}

// Handle registers the handler of a topic.
func (f *Fanout) Handle(topic string, h Handler) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if _, found := f.handlers[topic]; found {
		panic("psfanout: topic " + topic + " has a handler already")
	}
	f.handlers[topic] = h
}

// Ask asks all VMs of the plan, and goes on until all have confirmed or the context ends.
// Both lists are sorted.
func (f *Fanout) Ask(ctx context.Context, topic string, params any) (confirmed, missing []psdoc.Name, err error) {
	data, err := json.Marshal(params)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "encode a question about %s", topic)
	}
	var mutex sync.Mutex
	var asking sync.WaitGroup
	for _, vms := range lo.GroupBy(f.plans.Plan().VMs, func(v *psplan.VM) psdoc.Name { return v.Domain.Name }) {
		asking.Go(func() {
			yes, no := f.askDomain(ctx, vms, question{Topic: topic, Params: data})
			mutex.Lock()
			defer mutex.Unlock()
			confirmed, missing = append(confirmed, yes...), append(missing, no...)
		})
	}
	asking.Wait()
	slices.Sort(confirmed)
	slices.Sort(missing)
	return confirmed, missing, nil
}

// askDomain asks the VMs of one domain, a different one first on each round.
func (f *Fanout) askDomain(ctx context.Context, vms []*psplan.VM, q question) (confirmed, missing []psdoc.Name) {
	known := make(map[psdoc.Name]bool)
	for round := 0; ; round++ {
		q.VMs = lo.FilterMap(vms, func(v *psplan.VM, _ int) (psdoc.Name, bool) { return v.Name, !known[v.Name] })
		for _, n := range f.askThrough(ctx, vms[round%len(vms)], q) {
			known[n] = true
		}
		if len(known) == len(vms) || !pswait.Sleep(ctx, retryInterval) {
			break
		}
	}
	for _, v := range vms {
		if known[v.Name] {
			confirmed = append(confirmed, v.Name)
		} else {
			missing = append(missing, v.Name)
		}
	}
	return confirmed, missing
}

// askThrough lets one VM ask for its domain. Only VMs that were asked for count.
func (f *Fanout) askThrough(ctx context.Context, v *psplan.VM, q question) []psdoc.Name {
	if v.Name == f.self {
		return f.askEach(ctx, f.self, q)
	}
	ctx, cancel := context.WithTimeout(ctx, domainTimeout)
	defer cancel()
	var out reply
	if f.peers.Call(ctx, pspeer.Peer{Name: v.Name, Address: v.Peer}, methodDomain, q, &out) != nil {
		return nil
	}
	return lo.Intersect(out.Confirmed, q.VMs)
}

// askEach asks the VMs that the question lists.
func (f *Fanout) askEach(ctx context.Context, from psdoc.Name, q question) []psdoc.Name {
	ctx, cancel := context.WithTimeout(ctx, vmTimeout)
	defer cancel()
	plan := f.plans.Plan()
	var mutex sync.Mutex
	var confirmed []psdoc.Name
	var asking sync.WaitGroup
	for _, n := range q.VMs {
		asking.Go(func() {
			if !f.askVM(ctx, plan, n, from, q) {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			confirmed = append(confirmed, n)
		})
	}
	asking.Wait()
	return confirmed
}

func (f *Fanout) askVM(ctx context.Context, p *psplan.Plan, n, from psdoc.Name, q question) bool {
	if n == f.self {
		return f.confirm(ctx, from, q)
	}
	v, found := p.VM(n)
	if !found {
		return false
	}
	var out reply
	err := f.peers.Call(ctx, pspeer.Peer{Name: n, Address: v.Peer}, methodVM, question{Topic: q.Topic, Params: q.Params}, &out)
	return err == nil && slices.Contains(out.Confirmed, n)
}

func (f *Fanout) confirm(ctx context.Context, from psdoc.Name, q question) bool {
	f.mutex.Lock()
	h, found := f.handlers[q.Topic]
	f.mutex.Unlock()
	return found && h(ctx, from, q.Params)
}

func (f *Fanout) answerVM(ctx context.Context, from psdoc.Name, params json.RawMessage) (any, error) {
	var q question
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, errors.Wrap(err, "decode a question")
	}
	if !f.confirm(ctx, from, q) {
		return reply{}, nil
	}
	return reply{Confirmed: []psdoc.Name{f.self}}, nil
}

func (f *Fanout) answerDomain(ctx context.Context, from psdoc.Name, params json.RawMessage) (any, error) {
	var q question
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, errors.Wrap(err, "decode a question to a domain")
	}
	return reply{Confirmed: f.askEach(ctx, from, q)}, nil
}
