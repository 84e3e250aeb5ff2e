// Package pstoken counts requests against the rates of their workspaces.
//
// A large workspace's rate is split over the VMs, and a small one's tokens are kept by one VM
// for all; package psrate says which and how much. This package holds a VM's tokens and asks
// other VMs for those that they keep.
package pstoken

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/process/pscontrol"
	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/psrate"
	"persimmonstep/internal/process/psshare"
	"persimmonstep/internal/version/psconfig"
)

const (
	// silentSpan is how long a keeper that didn't answer isn't asked again.
	silentSpan = time.Second
	// unknownWait is when to ask again for a workspace that the keeper doesn't know yet.
	unknownWait = 300 * time.Millisecond
)

// errSilent says that a VM isn't asked because it didn't answer lately.
var errSilent = errors.New("the VM did not answer lately")

// Lenders asks other VMs for tokens.
type Lenders interface {
	Take(ctx context.Context, to netip.AddrPort, t psfleet.Take) (psfleet.Grant, error)
}

// Verdict is the answer to a request for a token: [Granted], [Over] or [Unasked].
type Verdict interface{ verdict() }

// Granted says that the request is within its workspace's rate.
type Granted struct{}

// Over says that the workspace is over its rate.
type Over struct {
	// Wait is how long until there is a token again.
	Wait time.Duration
	// Excess says that callers have been asking for more than the rate for a while.
	Excess bool
}

// Unasked says that no keeper of the tokens answered.
type Unasked struct{}

func (Granted) verdict() {}
func (Over) verdict()    {}
func (Unasked) verdict() {}

// Tokens are the tokens of one VM. They are safe for concurrent use.
type Tokens struct {
	self    string
	lenders Lenders
	now     func() time.Time
	begun   time.Time

	mutex sync.Mutex
	// split are this VM's parts of rates that are split.
	split map[string]*psrate.Bucket
	// kept are the tokens that this VM keeps for all, by workspace and whether it stands in.
	kept map[keeping]*psrate.Bucket
	// silentUntil says until when a VM isn't asked.
	silentUntil map[string]time.Time
}

// keeping names the tokens that a VM keeps, as the first one to ask or the second.
type keeping struct {
	workspace string
	second    bool
}

// New returns the tokens of a VM that starts now.
func New(self string, l Lenders, now func() time.Time) *Tokens {
	return &Tokens{
		self: self, lenders: l, now: now, begun: now(), split: make(map[string]*psrate.Bucket),
		kept: make(map[keeping]*psrate.Bucket), silentUntil: make(map[string]time.Time),
	}
}

// Take takes a token of a workspace. A late caller is one that comes back and can't be answered within
// its target any more.
func (t *Tokens) Take(ctx context.Context, s *pscontrol.Snapshot, w *psconfig.Workspace, late bool) Verdict {
	l := limitOf(w)
	switch {
	case l.Rate <= 0:
		return Granted{}
	case psrate.Kept(l, s.FleetSize):
		return t.ask(ctx, s, psfleet.Take{Workspace: w.Name, Late: late})
	}
	part := psshare.PartOf(s.RateShares, s.EvenShare, w.Name)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return verdict(take(t.bucket(w.Name), l, part, late, t.now()))
}

// take takes a token of a bucket.
func take(b *psrate.Bucket, l psrate.Limit, part float64, late bool, now time.Time) psfleet.Grant {
	from := b.Take
	if late {
		from = b.TakeLate
	}
	granted, wait := from(l, part, now)
	return psfleet.Grant{Granted: granted, Wait: wait, Excess: !granted && b.Excess(l, part, now)}
}

// Return gives back a token of a request that was not sent to a server. One that another VM keeps is
// lost.
func (t *Tokens) Return(s *pscontrol.Snapshot, w *psconfig.Workspace) {
	if l := limitOf(w); l.Rate <= 0 || psrate.Kept(l, s.FleetSize) {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.bucket(w.Name).Return()
}

func limitOf(w *psconfig.Workspace) psrate.Limit {
	return psrate.Limit{Rate: w.Rate, Burst: w.Burst}
}

func verdict(g psfleet.Grant) Verdict {
	if g.Granted {
		return Granted{}
	}
	return Over{g.Wait, g.Excess}
}

// bucket returns the bucket of a split rate. The mutex is held.
func (t *Tokens) bucket(workspace string) *psrate.Bucket {
	b, found := t.split[workspace]
	if !found {
		b = psrate.NewBucket(t.begun)
		t.split[workspace] = b
	}
	return b
}

// ask asks the keeper of a workspace's tokens, or the VM that stands in for it.
func (t *Tokens) ask(ctx context.Context, s *pscontrol.Snapshot, q psfleet.Take) Verdict {
	first, second := s.TokenOwners(q.Workspace)
	g, err := t.askVM(ctx, s, first, q)
	if err != nil {
		q.Second = true
		g, err = t.askVM(ctx, s, second, q)
	}
	if err != nil {
		return Unasked{}
	}
	return verdict(g)
}

// askVM asks one VM. One that didn't answer lately isn't asked.
func (t *Tokens) askVM(ctx context.Context, s *pscontrol.Snapshot, vm psfleet.Identity, q psfleet.Take) (psfleet.Grant, error) {
	if vm.VM == t.self {
		return t.Lend(s, q), nil
	}
	if t.isSilent(vm.VM) {
		return psfleet.Grant{}, errSilent
	}
	g, err := t.lenders.Take(ctx, vm.Peers, q)
	if err != nil && ctx.Err() == nil {
		t.noteSilent(vm.VM)
	}
	return g, err
}

func (t *Tokens) isSilent(vm string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.now().Before(t.silentUntil[vm])
}

func (t *Tokens) noteSilent(vm string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.silentUntil[vm] = t.now().Add(silentSpan)
}

// Lend grants a token that this VM keeps for all.
func (t *Tokens) Lend(s *pscontrol.Snapshot, q psfleet.Take) psfleet.Grant {
	if s.Index == nil {
		return psfleet.Grant{Wait: unknownWait}
	}
	w, found := s.Index.Named(q.Workspace)
	if !found {
		return psfleet.Grant{Wait: unknownWait}
	}
	l := psrate.KeptLimit(limitOf(w), q.Second, s.ReachableFraction())
	t.mutex.Lock()
	defer t.mutex.Unlock()
	k := keeping{q.Workspace, q.Second}
	b, found := t.kept[k]
	if !found {
		b = psrate.NewBucket(t.begun)
		t.kept[k] = b
	}
	return take(b, l, 1, q.Late, t.now())
}

// Demands returns the requests per second that callers ask for, by workspace with a split rate.
func (t *Tokens) Demands(now time.Time) map[string]float64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	m := make(map[string]float64, len(t.split))
	for name, b := range t.split {
		if d := b.Demand(now); d > 0 {
			m[name] = d
		}
	}
	return m
}
