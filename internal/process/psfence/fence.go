// Package psfence decides who may use the budget share of a VM that may be gone.
//
// The configuration gives each VM a base share of every budget. A part of it, [Retained],
// belongs to the VM for ever: a VM that is cut off from everything lives on it. The rest
// is revocable. Each VM has one guardian, another VM that follows from the configuration
// alone, and at any time at most one of the two may use the revocable part.
//
// The VM may use it while it holds a fence younger than [Term]: its guardian's promise not
// to adopt the part, or a read of the table that showed no adoption. The guardian adopts
// the part of a VM that has been silent for longer than any promise lasts. It writes a row
// into the table, waits until every read that missed the row is too old, and only then
// uses the part. When the VM speaks again, the guardian stops first and promises then.
//
// A promise needs no table and a read needs no guardian, so either may fail without effect.
// Where shares change with the configuration, the package also follows which VMs have
// confirmed the new layout; only then may a share that has grown be used.
package psfence

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"persimmonstep/internal/connection/pspeer"
	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psplatform"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

const (
	// Retained is the part of a base share that nobody ever adopts.
	Retained = 0.5
	// Term is how long a fence lasts.
	Term = 2 * time.Second
	// Margin covers the drift between two clocks over a term, and is far above it.
	Margin = 200 * time.Millisecond
	// Patience is how long a VM is silent before its guardian adopts its revocable part.
	Patience = time.Second
	// FreshTimeout is how long a process whose reachable peers remember no earlier layout
	// waits for the VMs that do not answer.
	FreshTimeout = 10 * time.Second
	// RemovedTimeout is how long a VM that was removed from the configuration may take to stop.
	RemovedTimeout = 30 * time.Second

	tick          = Term / 8
	settleTick    = 50 * time.Millisecond
	slowTick      = time.Second
	quickAsks     = 2 * time.Second
	callTimeout   = 500 * time.Millisecond
	tableTimeout  = time.Second
	methodRenew   = "fence.renew"
	methodConfirm = "fence.confirm"
	methodRows    = "fence.rows"
)

// Plans gives the plan in force.
type Plans interface {
	Plan() *psplan.Plan
}

// Heads tells which configuration version is the latest in the table.
type Heads interface {
	Head(ctx context.Context) (version uint64, err error)
}

// Caller calls other VMs.
type Caller interface {
	Call(ctx context.Context, to pspeer.Peer, method string, params, result any) error
}

// Handlers registers what answers other VMs.
type Handlers interface {
	Handle(method string, f pspeer.Handler)
}

// Adoption is the right to use the revocable part of another VM's share.
type Adoption struct {
	// VM is the VM whose part it is.
	VM psdoc.Name
	// Since is when the right began.
	Since time.Time
}

// Span is a span of time; its zero value is empty.
type Span struct {
	Since time.Time
	Until time.Time
}

// Holds reports whether the time lies in the span.
func (s Span) Holds(t time.Time) bool {
	return !t.Before(s.Since) && t.Before(s.Until)
}

// View is what a fence shows at one moment. It is immutable.
type View struct {
	// Plan is the plan whose layout the fence follows.
	Plan *psplan.Plan
	// Layout is the fingerprint of the plan's layout.
	Layout uint64
	// Settled says that shares that grew with the layout may be used.
	Settled bool
	// Original says that no earlier process of this VM and no earlier layout existed.
	Original bool
	// Held is the span for which the VM may use the revocable part of its own share; its
	// end moves on with each fence.
	Held Span
	// Adopted lists the VMs whose revocable part this VM may use.
	Adopted []Adoption
}

// Fence is that of one VM.
type Fence struct {
	self   psdoc.Name
	plans  Plans
	peers  Caller
	logger hclog.Logger
	now    func() time.Time
	drain  time.Duration
	reader *reader
	table  psplatform.Table
	heads  Heads

	published atomic.Pointer[View]

	// asked and readAt are when the guardian and the table were last asked; they belong to
	// the loop that renews the fence.
	asked  time.Time
	readAt time.Time

	// mutex guards what follows. It is held while changes are told.
	mutex   sync.Mutex
	core    *core
	changed []func()
	whole   bool
}

// Options are what a fence needs.
type Options struct {
	// Self is this VM.
	Self psdoc.Name
	// Plans gives the plan in force.
	Plans Plans
	// Heads tells whether the plan in force is the latest.
	Heads Heads
	// Peers reaches other VMs.
	Peers Caller
	// Table holds the adoption rows.
	Table psplatform.Table
	// Now is a monotonic clock.
	Now func() time.Time
	// Drain is the longest time for which a loan of a share can outlast the end of that share.
	Drain time.Duration
	// Logger takes the log lines.
	Logger hclog.Logger
}

// New returns the fence of a VM.
func New(o Options) *Fence {
	f := &Fence{
		self: o.Self, plans: o.Plans, heads: o.Heads, peers: o.Peers, logger: o.Logger, now: o.Now, drain: o.Drain,
		table: o.Table, reader: &reader{table: o.Table}, core: newCore(o.Self, o.Now(), o.Drain),
	}
	f.published.Store(&View{Plan: psplan.Empty()})
	return f
}

// Register registers the methods by which other VMs reach the fence.
func (f *Fence) Register(h Handlers) {
	h.Handle(methodRenew, func(_ context.Context, from psdoc.Name, _ json.RawMessage) (any, error) {
		return f.answerRenew(from), nil
	})
	h.Handle(methodConfirm, func(context.Context, psdoc.Name, json.RawMessage) (any, error) {
		return f.answerConfirm(), nil
	})
	h.Handle(methodRows, func(ctx context.Context, _ psdoc.Name, _ json.RawMessage) (any, error) {
		names, err := f.reader.adopted(ctx)
		return rows{Adopted: names}, err
	})
}

// OnChange registers a function that is called after a change of the plan, the layout or the
// adopted parts, and before any other VM can rely on the change. It may read the fence.
func (f *Fence) OnChange(g func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.changed = append(f.changed, g)
}

// Whole reports whether this VM may use the revocable part of its own share now.
func (f *Fence) Whole() bool {
	return f.published.Load().Held.Holds(f.now())
}

// View returns what the fence shows now.
func (f *Fence) View() *View {
	return f.published.Load()
}

// Refresh takes in the plan in force at once.
func (f *Fence) Refresh() {
	f.update(nil)
}

// Adopted lists the VMs whose revocable part this VM may use now.
func (f *Fence) Adopted() []Adoption {
	return f.published.Load().Adopted
}

// Settled reports whether shares that grew with the present layout may be used.
func (f *Fence) Settled() bool {
	return f.published.Load().Settled
}

// Run keeps the fence until the context ends.
func (f *Fence) Run(ctx context.Context) {
	f.announce(ctx)
	var calls sync.WaitGroup
	defer calls.Wait()
	loops := []struct {
		interval time.Duration
		step     func(context.Context)
	}{{settleTick, f.renew}, {tick, f.guard}, {settleTick, f.settle}}
	for _, l := range loops {
		calls.Go(func() { repeat(ctx, l.interval, l.step) })
	}
}

// announce finds out whether this is the VM's first process.
func (f *Fence) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	_, err := f.table.Commit(ctx, f.core.announcement())
	f.update(func(c *core, _ time.Time) { c.announced(err) })
}

func repeat(ctx context.Context, interval time.Duration, step func(context.Context)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// update runs a change of the core and shows its effects. The plan in force goes first.
func (f *Fence) update(change func(c *core, now time.Time)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.now()
	p := f.plans.Plan()
	if f.core.install(p, now) {
		psevent.LayoutChanged.Log(f.logger, p.Version, len(f.core.settlement.missing))
	}
	f.core.settlement.expire(now)
	if change != nil {
		change(f.core, now)
	}
	if f.core.settlement.version == p.Version {
		f.publish(now, p)
	}
}

func (f *Fence) publish(now time.Time, p *psplan.Plan) {
	v := &View{
		Plan: p, Layout: f.core.settlement.layout, Settled: f.core.settlement.usable(now, f.drain),
		Original: f.core.settlement.original(), Held: f.core.held, Adopted: f.core.adopted(now),
	}
	old := f.published.Swap(v)
	f.tell(old, v, now)
	if old.Plan == p && old.Layout == v.Layout && old.Settled == v.Settled && slices.Equal(old.Adopted, v.Adopted) {
		return
	}
	for _, g := range f.changed {
		g()
	}
}

// tell logs what others will see differently.
func (f *Fence) tell(old, v *View, now time.Time) {
	if !old.Settled && v.Settled {
		psevent.LayoutSettled.Log(f.logger, v.Plan.Version)
	}
	if whole := v.Held.Holds(now); whole != f.whole {
		f.whole = whole
		if whole {
			psevent.FenceHeld.Log(f.logger, v.Held.Until.Sub(now))
		} else {
			psevent.FenceLost.Log(f.logger)
		}
	}
	for _, a := range v.Adopted {
		if !slices.Contains(old.Adopted, a) {
			psevent.ShareAdopted.Log(f.logger, a.VM)
		}
	}
	for _, a := range old.Adopted {
		if !slices.Contains(v.Adopted, a) {
			psevent.ShareReturned.Log(f.logger, a.VM)
		}
	}
}

// renewal is the guardian's answer to a renewal.
type renewal struct {
	Promised bool `json:"promised"`
}

func (f *Fence) answerRenew(from psdoc.Name) renewal {
	var r renewal
	// The adoption's end is published before the promise is sent.
	f.update(func(c *core, now time.Time) { r.Promised = c.promise(from, now) })
	return r
}

func (f *Fence) answerConfirm() Confirmation {
	var c Confirmation
	f.update(func(k *core, _ time.Time) { c = k.settlement.answer() })
	return c
}

// renew asks the guardian for its promise, and the table where that fails. It asks sooner
// while a process that has just started holds nothing yet.
func (f *Fence) renew(ctx context.Context) {
	var guardian *psplan.VM
	var held Span
	var began time.Time
	f.update(func(c *core, _ time.Time) { guardian, held, began = c.guardian, c.held, c.settlement.began })
	now := f.now()
	hurry := !held.Holds(now) && now.Sub(began) < quickAsks
	if !hurry && now.Sub(f.asked) < tick {
		return
	}
	f.asked = now
	if guardian != nil && f.askGuardian(ctx, guardian) {
		f.update(func(c *core, at time.Time) { c.promised(now, at) })
		return
	}
	f.readTable(ctx)
}

// readTable holds the fence by a read that does not show this VM, at most once each tick.
func (f *Fence) readTable(ctx context.Context) {
	began := f.now()
	if began.Sub(f.readAt) < tick {
		return
	}
	f.readAt = began
	names, err := f.readRows(ctx, f.plans.Plan())
	if err != nil {
		return
	}
	f.update(func(c *core, now time.Time) { c.read(began, slices.Contains(names, f.self), now) })
}

func (f *Fence) askGuardian(ctx context.Context, g *psplan.VM) bool {
	var out renewal
	return f.call(ctx, g, methodRenew, &out) == nil && out.Promised
}

func (f *Fence) call(ctx context.Context, to *psplan.VM, method string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f.peers.Call(ctx, pspeer.Peer{Name: to.Name, Address: to.Peer}, method, struct{}{}, out)
}

// rows names the VMs whose part is adopted.
type rows struct {
	Adopted []psdoc.Name `json:"adopted"`
}

// readRows asks the domain's first VM for its read, so that a domain reads once, and reads
// the table itself where that fails.
func (f *Fence) readRows(ctx context.Context, p *psplan.Plan) ([]psdoc.Name, error) {
	v, found := p.VM(f.self)
	if !found {
		return nil, errors.New("this VM is not in the configuration")
	}
	first := slices.MinFunc(newNeighbours(p).domains[v.Domain.Name], func(a, b *psplan.VM) int {
		return cmp.Compare(a.Name, b.Name)
	})
	var out rows
	if first.Name != f.self && f.call(ctx, first, methodRows, &out) == nil {
		return out.Adopted, nil
	}
	return f.reader.adopted(ctx)
}

// settle asks the VMs that have not confirmed the layout.
func (f *Fence) settle(ctx context.Context) {
	var asks []*psplan.VM
	f.update(func(c *core, now time.Time) { asks = c.settlement.asks(c.current, now) })
	var asking sync.WaitGroup
	for _, v := range asks {
		asking.Go(func() {
			var out Confirmation
			if f.call(ctx, v, methodConfirm, &out) == nil {
				f.update(func(c *core, now time.Time) { c.settlement.confirm(v, out, now) })
			}
		})
	}
	asking.Wait()
}

// guard adopts the parts of silent wards and deletes the rows of those that came back.
func (f *Fence) guard(ctx context.Context) {
	var due []psdoc.Name
	var current bool
	f.update(func(c *core, now time.Time) { due, current = c.due(now), c.current })
	if !current {
		f.compare(ctx)
	}
	for _, vm := range due {
		f.guardOne(ctx, vm)
	}
}

// compare finds out whether the plan in force is the latest.
func (f *Fence) compare(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	if v, err := f.heads.Head(ctx); err == nil {
		f.update(func(c *core, _ time.Time) { c.latest(v) })
	}
}

// guardOne reads the row of a ward and carries out the one step that follows from it.
func (f *Fence) guardOne(ctx context.Context, vm psdoc.Name) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	found, err := f.table.Read(ctx, rowKey(vm))
	if err != nil {
		return
	}
	var t *psplatform.Transaction
	f.update(func(c *core, now time.Time) { t = c.step(vm, found[0], now) })
	if t == nil {
		return
	}
	_, err = f.table.Commit(ctx, *t)
	f.update(func(c *core, now time.Time) { c.committed(vm, *t, err, now) })
}
