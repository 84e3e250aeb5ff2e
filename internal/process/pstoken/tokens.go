// Package pstoken enforces the request rates that hold over all VMs together: those of workspaces, and the limits that
// backend servers name.
//
// A large rate of a workspace is split over all VMs, and each VM grants tokens of its own share. The
// tokens of a small rate have one owner, which grants them to all VMs; package psrate decides which of
// the two applies and how much a VM may grant. The tokens of a server's limit always have one owner, a
// VM near the server: only the owner's bucket bounds the sum over VMs that each send a small and
// changing part of the requests. This package holds the token buckets of one VM and requests tokens
// from other VMs where those own them.
package pstoken

import (
	"context"
	"maps"
	"math"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"persimmonstep/internal/process/pslease"
	"persimmonstep/internal/process/pslimit"
	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/psrate"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/process/psshare"
	"persimmonstep/internal/process/pssnapshot"
	"persimmonstep/internal/version/psconfig"
)

const (
	// ownerBackoff is how long an owner that didn't answer is not asked again.
	ownerBackoff = time.Second
	// ownerChangeWait is when to retry for a workspace whose tokens another VM owns.
	ownerChangeWait = 300 * time.Millisecond
	// unknownWorkspaceWait is when to retry for a workspace that the owner doesn't know yet.
	unknownWorkspaceWait = 300 * time.Millisecond
)

// errBackoff is returned for a VM that is not asked because it didn't answer recently.
var errBackoff = errors.New("request token: the VM did not answer recently")

// Client requests tokens from other VMs.
type Client interface {
	RequestToken(ctx context.Context, to netip.AddrPort, t psmessage.TokenRequest) (psmessage.TokenResponse, error)
}

// Verdict is the result of a request for a token: [Granted], [OverLimit] or [Unavailable].
type Verdict interface{ verdict() }

// Granted means that the request is within its workspace's rate.
type Granted struct {
	// Ahead states that this VM held the token before the request arrived.
	Ahead bool
}

// OverLimit means that the workspace exceeds its rate.
type OverLimit struct {
	// Wait is the time until the next token is available.
	Wait time.Duration
	// Excess states that the demand has exceeded the rate for a sustained time.
	Excess bool
}

// Unavailable means that no owner of the tokens answered.
type Unavailable struct{}

func (Granted) verdict()     {}
func (OverLimit) verdict()   {}
func (Unavailable) verdict() {}

// Options are the dependencies of [Tokens].
type Options struct {
	// Self is the name of the VM.
	Self   string
	Client Client
	Logger hclog.Logger
	// Now returns the current time with a monotonic reading.
	Now func() time.Time
	// Background runs a function for which no request waits, and After runs one after a time. They default to a goroutine and a
	// timer; a test with virtual time replaces both.
	Background func(run func())
	After      func(d time.Duration, run func())
}

// withDefaults returns options whose optional fields are set.
func (o Options) withDefaults() Options {
	if o.Background == nil {
		o.Background = func(run func()) { go run() }
	}
	if o.After == nil {
		o.After = func(d time.Duration, run func()) { time.AfterFunc(d, run) }
	}
	return o
}

// Tokens holds the token buckets of one VM. It is safe for concurrent use.
type Tokens struct {
	self      string
	client    Client
	logger    hclog.Logger
	limitLog  *pslimit.Log
	now       func() time.Time
	startedAt time.Time

	background func(run func())
	after      func(d time.Duration, run func())

	mutex sync.Mutex
	// split holds the buckets of this VM's shares of split rates, by workspace.
	split map[string]*psrate.Bucket
	// owned holds the buckets that this VM owns for the whole fleet.
	owned map[ownedKey]*psrate.Bucket
	// shares are this VM's uses of servers' limits, and ownedServers the buckets of the limits that it owns.
	shares       map[psserver.Run]*serverShare
	ownedServers map[ownedServerKey]*ownedServer
	// ahead holds the tokens that owners have granted to this VM ahead of requests, by workspace.
	ahead map[string]*aheadToken
	// backoffUntil is the time until which a VM is not asked, by name.
	backoffUntil map[string]time.Time
}

// ownedKey identifies a bucket that this VM owns, as the primary or as the backup owner.
type ownedKey struct {
	workspace string
	backup    bool
}

// limit returns what the owner grants of a limit. fraction is the fraction of the limit for which it is the owner.
func (k ownedKey) limit(l psrate.Limit, fraction float64) psrate.Limit {
	if k.backup {
		return psrate.OwnerLimit(l, psrate.BackupShare, fraction)
	}
	return psrate.OwnerLimit(l, psrate.PrimaryShare, fraction)
}

// New returns the tokens of a VM that starts now.
func New(o Options) *Tokens {
	o = o.withDefaults()
	return &Tokens{
		self: o.Self, client: o.Client, logger: o.Logger, limitLog: pslimit.NewLog(o.Logger), now: o.Now, startedAt: o.Now(),
		background: o.Background, after: o.After,
		split: make(map[string]*psrate.Bucket), owned: make(map[ownedKey]*psrate.Bucket),
		shares: make(map[psserver.Run]*serverShare), ownedServers: make(map[ownedServerKey]*ownedServer),
		ahead: make(map[string]*aheadToken), backoffUntil: make(map[string]time.Time),
	}
}

// Take takes a token of a workspace, from a bucket of this VM or from the owner. A late caller is one that
// retries and can't be answered within its latency target any more.
func (t *Tokens) Take(ctx context.Context, s *pssnapshot.Snapshot, w *psconfig.Workspace, late bool) Verdict {
	l := limitOf(w)
	if l.Rate <= 0 {
		return Granted{}
	}
	owned, split := Modes(l, s.Holding)
	if split {
		v := t.takeSplit(s, w.Name, l, late)
		if _, granted := v.(Granted); !granted || !owned {
			return v
		}
	}
	v := t.takeOwned(ctx, s, w.Name, late)
	if _, granted := v.(Granted); split && !granted {
		t.returnSplit(w.Name)
	}
	return v
}

// Modes reports whether the tokens of a rate have one owner, and whether the rate is split. After a change of the number of parts
// both may apply for some time.
func Modes(l psrate.Limit, h pslease.Holding) (owned, split bool) {
	for _, parts := range h.DecisiveParts {
		if psrate.SingleOwner(l, parts) {
			owned = true
		} else {
			split = true
		}
	}
	return owned, split
}

// takeSplit takes a token of this VM's share of a split rate.
func (t *Tokens) takeSplit(s *pssnapshot.Snapshot, workspace string, l psrate.Limit, late bool) Verdict {
	share := psshare.Of(s.RateShares, s.Holding.Part(), workspace)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return verdict(take(t.bucket(workspace), l, share, late, t.now()))
}

// returnSplit puts back a token of this VM's share of a split rate.
func (t *Tokens) returnSplit(workspace string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.bucket(workspace).Return()
}

// take takes a token from a bucket.
func take(b *psrate.Bucket, l psrate.Limit, share float64, late bool, now time.Time) psmessage.TokenResponse {
	from := b.Take
	if late {
		from = b.TakeLate
	}
	granted, wait := from(l, share, now)
	return psmessage.TokenResponse{Granted: granted, Wait: wait, Excess: !granted && b.Excess(l, share, now)}
}

// Return puts back the token of a request that was not sent to a server. A token that another VM owns is not
// returned.
func (t *Tokens) Return(s *pssnapshot.Snapshot, w *psconfig.Workspace) {
	l := limitOf(w)
	if l.Rate <= 0 {
		return
	}
	if _, split := Modes(l, s.Holding); split {
		t.returnSplit(w.Name)
	}
}

func limitOf(w *psconfig.Workspace) psrate.Limit {
	return psrate.Limit{Rate: w.Rate, Burst: w.Burst}
}

func verdict(g psmessage.TokenResponse) Verdict {
	if g.Granted {
		return Granted{}
	}
	return OverLimit{g.Wait, g.Excess}
}

// bucket returns this VM's bucket of a split rate. The caller holds the mutex.
func (t *Tokens) bucket(workspace string) *psrate.Bucket {
	b, found := t.split[workspace]
	if !found {
		b = psrate.NewBucket(t.startedAt)
		t.split[workspace] = b
	}
	return b
}

// askOwners requests a token from the primary owner, or from the backup if the primary doesn't answer or no longer owns the
// tokens.
func (t *Tokens) askOwners(ctx context.Context, s *pssnapshot.Snapshot, primary, backup psmessage.Identity, q psmessage.TokenRequest) (psmessage.TokenResponse, error) {
	g, err := t.askVM(ctx, s, primary, q)
	if err == nil && !g.NotOwner {
		return g, nil
	}
	q.Backup, q.Ahead = true, false
	return t.askVM(ctx, s, backup, q)
}

// askVM requests a token from one VM. It fails at once during the backoff of a VM that didn't answer.
func (t *Tokens) askVM(ctx context.Context, s *pssnapshot.Snapshot, vm psmessage.Identity, q psmessage.TokenRequest) (psmessage.TokenResponse, error) {
	if vm.VM == t.self {
		return t.Grant(s, q), nil
	}
	if t.inBackoff(vm.VM) {
		return psmessage.TokenResponse{}, errBackoff
	}
	g, err := t.client.RequestToken(ctx, vm.PeerAddress, q)
	if err != nil && ctx.Err() == nil {
		t.startBackoff(vm.VM)
	}
	return g, err
}

func (t *Tokens) inBackoff(vm string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.now().Before(t.backoffUntil[vm])
}

func (t *Tokens) startBackoff(vm string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.backoffUntil[vm] = t.now().Add(ownerBackoff)
}

// Grant answers a request for tokens that this VM owns.
func (t *Tokens) Grant(s *pssnapshot.Snapshot, q psmessage.TokenRequest) psmessage.TokenResponse {
	if q.Server != nil {
		return t.grantServer(s, q)
	}
	if s.Index == nil {
		return psmessage.TokenResponse{Wait: unknownWorkspaceWait}
	}
	w, found := s.Index.WorkspaceByName(q.Workspace)
	if !found {
		return psmessage.TokenResponse{Wait: unknownWorkspaceWait}
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	k := ownedKey{q.Workspace, q.Backup}
	fraction := s.TokenFraction(q.Workspace, q.Backup)
	if owned, _ := Modes(limitOf(w), s.Holding); fraction <= 0 || !owned {
		// Another VM owns the tokens now, or this one splits the rate. If they return to this one, it begins with an empty bucket.
		delete(t.owned, k)
		return psmessage.TokenResponse{NotOwner: true, Wait: ownerChangeWait}
	}
	b, found := t.owned[k]
	if !found {
		b = psrate.NewBucket(s.Holding.Since)
		t.owned[k] = b
	}
	return grant(b, k.limit(limitOf(w), fraction), q, t.now())
}

// Update applies a new snapshot: it fills the buckets by the shares that held until now, and drops the buckets of tokens that
// this VM no longer owns.
func (t *Tokens) Update(s *pssnapshot.Snapshot) {
	if s.Index == nil {
		return
	}
	now := t.now()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	list := s.Index.Configuration.Workspaces
	for i := range list {
		l := limitOf(&list[i])
		if _, split := Modes(l, s.Holding); split && l.Rate > 0 {
			t.bucket(list[i].Name).Refill(l, psshare.Of(s.RateShares, s.Holding.Part(), list[i].Name), now)
		}
	}
	maps.DeleteFunc(t.owned, func(k ownedKey, b *psrate.Bucket) bool {
		w, found := s.Index.WorkspaceByName(k.workspace)
		fraction := s.TokenFraction(k.workspace, k.backup)
		if !found || fraction <= 0 {
			return true
		}
		b.Refill(k.limit(limitOf(w), fraction), 1, now)
		return false
	})
}

// demandSteps is the number of steps of one request per second in which demands are reported. Each digit more costs a byte for
// each workspace in each report.
const demandSteps = 10

// Demands returns the demand in requests per second of each workspace with a split rate.
func (t *Tokens) Demands(now time.Time) map[string]float64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	m := make(map[string]float64, len(t.split))
	for name, b := range t.split {
		if d := math.Round(b.Demand(now)*demandSteps) / demandSteps; d > 0 {
			m[name] = d
		}
	}
	return m
}
