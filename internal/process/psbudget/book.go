// Package psbudget keeps the rate and burst of each workspace over all VMs together,
// without a message per request.
//
// The split of a budget over the VMs follows from the configuration alone: each VM has a
// base share, and the shares add up to the whole. A VM that spends only its share can never
// break the bound, whatever happens to the links and the platform. Loans move unused share
// to where the requests arrive: the lender lowers its own limits first and answers then;
// the borrower counts the loan's term from before it asked. So a lost answer wastes share
// for a term and never creates any. What a VM has of its own follows from [psfence].
//
// Tokens go with the burst that is lent, so that at any moment the tokens of all VMs and of
// all messages together are at most the workspace's burst.
package psbudget

import (
	"cmp"
	"context"
	"crypto/rand"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"persimmonstep/internal/connection/pspeer"
	"persimmonstep/internal/process/psfence"
	"persimmonstep/internal/request/psproblem"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

const (
	// MaxWait is how long a request waits for a loan before it is refused.
	MaxWait = 50 * time.Millisecond
	// idleTime is how long an account without use is kept.
	idleTime = time.Minute
	// upkeepInterval is the time between two looks at all accounts.
	upkeepInterval = Term / 8
	// lowTokens is the part of the burst below which a loan is looked for at once.
	lowTokens = 0.5
	// longestFill is a time in which any bucket fills.
	longestFill = 24 * time.Hour
	// longestReady bounds the wait for the first filling of the buckets.
	longestReady = time.Second
	// leastRetryAfter is the shortest advice to a caller over its rate.
	leastRetryAfter = 100 * time.Millisecond
)

// Shares tells what part of each budget is this VM's own.
type Shares interface {
	// View returns what the fence shows now.
	View() *psfence.View
	// Refresh takes in the plan in force at once.
	Refresh()
	// OnChange registers a function to be called before another VM can use what this VM loses.
	OnChange(f func())
}

// Caller calls other VMs.
type Caller interface {
	Call(ctx context.Context, to pspeer.Peer, method string, params, result any) error
}

// Options are what a book needs.
type Options struct {
	// Self is this VM.
	Self psdoc.Name
	// Process identifies this process among those of the VM; a random one when empty.
	Process string
	// Shares tells what is this VM's own.
	Shares Shares
	// Peers reaches other VMs.
	Peers Caller
	// Now is a monotonic clock.
	Now func() time.Time
	// Metrics counts what happens.
	Metrics *Metrics
	// Logger takes the log lines.
	Logger hclog.Logger
}

// Book keeps this VM's accounts, one for each workspace in use. It admits requests of a
// workspace in the order in which they came.
type Book struct {
	self    psdoc.Name
	shares  Shares
	peers   Caller
	now     func() time.Time
	metrics *Metrics
	logger  hclog.Logger
	process string
	kicks   chan psdoc.Name

	mutex    sync.Mutex
	regime   regime
	accounts map[psdoc.Name]*account
	// sequence is the highest number that an account which was forgotten has used.
	sequence uint64
	// changed is when the shares last changed.
	changed time.Time
	// ready is when the buckets have filled for the first time.
	ready time.Time
}

// NewBook returns the book of a VM.
func NewBook(o Options) *Book {
	b := &Book{
		self: o.Self, shares: o.Shares, peers: o.Peers, now: o.Now, metrics: o.Metrics, logger: o.Logger,
		process: cmp.Or(o.Process, rand.Text()), kicks: make(chan psdoc.Name, 256), accounts: make(map[psdoc.Name]*account),
		changed: o.Now(),
	}
	o.Shares.OnChange(b.follow)
	return b
}

// Ready reports whether this VM has a share, its buckets have had the time to fill, and it
// holds its fence or has tried to for a while.
func (b *Book) Ready() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.now()
	if len(b.regime.plans) == 0 || now.Before(b.ready) {
		return false
	}
	return b.shares.View().Held.Holds(now) || now.Sub(b.ready) > psfence.Term
}

// follow takes in a change of the shares.
func (b *Book) follow() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.now()
	v := b.shares.View()
	began := len(b.regime.plans) == 0
	b.regime.follow(v)
	b.changed = now
	if began && len(b.regime.plans) > 0 {
		b.begin(v, now)
	}
	for _, a := range b.accounts {
		b.restand(a, v, now)
	}
}

// begin starts the use of this VM's share. The buckets of a VM that never had another
// process or layout are full.
func (b *Book) begin(v *psfence.View, now time.Time) {
	b.ready = now
	if v.Original {
		b.changed = now.Add(-longestFill)
		clear(b.accounts)
		return
	}
	for _, w := range v.Plan.Workspaces {
		fill := time.Duration(w.Burst / max(w.Rate, dust) * float64(time.Second))
		b.ready = later(b.ready, now.Add(min(fill, longestReady)))
	}
}

// restand gives an account its part under the present shares.
func (b *Book) restand(a *account, v *psfence.View, now time.Time) {
	s := b.regime.standing(b.self, a.key, v)
	whole, found := wholeOf(v.Plan, a.key)
	a.lenders = nil
	if found {
		a.lenders = b.lenders(v.Plan, Split(v.Plan, a.key, whole.Burst), whole)
	}
	a.rank()
	a.setStanding(s, whole, v.Held, now)
}

// lenders lists the other VMs that hold a share.
func (b *Book) lenders(p *psplan.Plan, shares []Share, whole Amount) []lender {
	self, found := p.VM(b.self)
	if !found {
		return nil
	}
	var out []lender
	for _, s := range shares {
		if s.VM.Name == b.self {
			continue
		}
		l := lender{vm: s.VM, distance: 2, base: whole.times(s.Part)}
		switch {
		case s.VM.Domain.Name == self.Domain.Name:
			l.distance = 0
		case s.VM.Domain.Region.Name == self.Domain.Region.Name:
			l.distance = 1
		}
		out = append(out, l)
	}
	return out
}

// account finds or opens a workspace's account and brings it up to date. The mutex is held.
func (b *Book) account(workspace psdoc.Name) *account {
	v := b.shares.View()
	a, found := b.accounts[workspace]
	if !found {
		// A workspace without an account has spent and lent nothing since the last change.
		a = newAccount(workspace, b.self, b.changed)
		a.sequence = b.sequence
		b.accounts[workspace] = a
		b.restand(a, v, b.changed)
	}
	a.held = v.Held
	return a
}

// Spend takes one request from the workspace's rate, or returns a refusal of type
// *psproblem.Problem. Where a loan or the next tokens are near it waits, at most MaxWait.
func (b *Book) Spend(ctx context.Context, p *psplan.Plan, w *psplan.Workspace) error {
	if p.Version > b.shares.View().Plan.Version {
		b.shares.Refresh()
	}
	b.mutex.Lock()
	now := b.now()
	a := b.account(w.Name)
	a.used = now
	a.demand.arrive(1, now)
	if len(a.waiting) == 0 && a.spend(1, now) {
		b.kickWhenLow(a, now)
		b.mutex.Unlock()
		b.metrics.admitted.Inc()
		return nil
	}
	for range poolTries {
		pool := a.poolOf(now)
		if pool == nil {
			break
		}
		b.mutex.Unlock()
		if answered, err := b.take(ctx, w.Name, pool); answered {
			return err
		}
		b.mutex.Lock()
		now = b.now()
	}
	q, advice := b.enqueue(a, false, now)
	b.mutex.Unlock()
	if q == nil {
		b.metrics.refused.Inc()
		return overRate(advice)
	}
	return b.await(ctx, q)
}

// kickWhenLow has loans looked for when tokens run low. The mutex is held.
func (b *Book) kickWhenLow(a *account, now time.Time) {
	if a.tokens < lowTokens*a.limit.Burst && now.Sub(a.kicked) > kickPause {
		a.kicked = now
		b.kick(a.key)
	}
}

func overRate(advice time.Duration) *psproblem.Problem {
	return psproblem.New(http.StatusTooManyRequests, "overRate", "the workspace is over its rate").After(max(advice, leastRetryAfter))
}

// kick has the loans of a workspace looked at soon.
func (b *Book) kick(workspace psdoc.Name) {
	select {
	case b.kicks <- workspace:
	default:
	}
}

// Run keeps the loans until the context ends, and then gives them back.
func (b *Book) Run(ctx context.Context) {
	t := time.NewTicker(upkeepInterval)
	defer t.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			b.handBack(&calls)
			return
		case w := <-b.kicks:
			b.upkeep(ctx, w, &calls)
		case <-t.C:
			for _, w := range b.inUse() {
				b.upkeep(ctx, w, &calls)
			}
		}
	}
}

// inUse lists the workspaces with an account and forgets those that are idle.
func (b *Book) inUse() []psdoc.Name {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.now()
	for name, a := range b.accounts {
		if b.account(name).idle(now) {
			b.sequence = max(b.sequence, a.sequence)
			delete(b.accounts, name)
		}
	}
	return lo.Keys(b.accounts)
}

// handBack gives all loans back when the process stops.
func (b *Book) handBack(calls *sync.WaitGroup) {
	ctx := context.Background()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.now()
	for name := range b.accounts {
		for _, q := range b.account(name).returns(b.process, now) {
			calls.Go(func() { b.ask(ctx, q) })
		}
	}
}

// upkeep renews, looks for and gives back the loans of a workspace.
func (b *Book) upkeep(ctx context.Context, workspace psdoc.Name, calls *sync.WaitGroup) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.now()
	a := b.account(workspace)
	for _, q := range a.asks(b.process, now) {
		calls.Go(func() { b.ask(ctx, q) })
	}
	if len(a.waiting) == 0 {
		return
	}
	v := b.shares.View()
	for _, vm := range a.recalls("", now) {
		if to, found := v.Plan.VM(vm); found {
			calls.Go(func() { b.recall(ctx, workspace, to) })
		}
	}
}
