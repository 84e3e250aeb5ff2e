package pscredit

import (
	"context"
	"encoding/json"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"persimmonstep/internal/connection/pspeer"
	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/pspool"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

const (
	// tickInterval is the time between two looks at running loans.
	tickInterval = 100 * time.Millisecond
	// borrowTimeout bounds one question for a loan.
	borrowTimeout = 300 * time.Millisecond
	// settleTimeout bounds one renewal.
	settleTimeout = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a round in which nobody lent anything.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 160 * time.Millisecond
	// maxAsked bounds the VMs that are asked in one round.
	maxAsked = 8
	// silentFor is how long a VM that did not answer is not asked again.
	silentFor = time.Second
	// goneAfter is after how many failures in a row a VM is taken for gone.
	goneAfter = 2
	// maxAskedAtStart bounds the VMs that are asked for loans of an earlier process; in a
	// larger fleet a started VM waits until all such loans have run out.
	maxAskedAtStart = 256
	// startInterval is the time between two rounds of questions after a start.
	startInterval = 100 * time.Millisecond
)

// Plans gives the plan in force.
type Plans interface {
	Plan() *psplan.Plan
}

// Fence tells about the shares of VMs that are gone.
type Fence interface {
	pspool.Fence
	// Guardian returns the VM that may adopt the share of another one; nil if there is none.
	Guardian(p *psplan.Plan, vm psdoc.Name) *psplan.VM
}

// Caller sends calls to other VMs.
type Caller interface {
	Call(ctx context.Context, to pspeer.Peer, method string, params, result any) error
}

// Config is what a bank needs.
type Config struct {
	Self        psdoc.Name
	Incarnation string
	Plans       Plans
	Fence       Fence
	Dispatcher  *pspool.Dispatcher
	Peers       Caller
	Logger      hclog.Logger
	Now         func() time.Time
}

// Bank borrows and lends slots for one VM.
type Bank struct {
	config Config
	hungry chan psdoc.Name

	mutex     sync.Mutex
	borrowing map[psdoc.Name]bool
	silent    map[psdoc.Name]silence
	spare     map[spareKey]spareHint
	epoch     map[psdoc.Name]int
	offers    map[psdoc.Name]offer
	tickets   uint64
	calls     Calls
}

// Calls counts the messages that this VM sent.
type Calls struct {
	// Borrow counts questions for loans, Settle renewals and returns.
	Borrow, Settle uint64
	// Slots counts the slots that were borrowed.
	Slots uint64
}

// New returns a bank. Its hungry channel must be fed by Hungry.
func New(c Config) *Bank {
	return &Bank{
		config:    c,
		hungry:    make(chan psdoc.Name, 64),
		borrowing: make(map[psdoc.Name]bool),
		silent:    make(map[psdoc.Name]silence),
		spare:     make(map[spareKey]spareHint),
		epoch:     make(map[psdoc.Name]int),
		offers:    make(map[psdoc.Name]offer),
	}
}

// Hungry notes that requests of a pool find no slot. It never waits.
func (b *Bank) Hungry(pool psdoc.Name) {
	select {
	case b.hungry <- pool:
	default:
	}
}

// Calls returns the messages so far.
func (b *Bank) Calls() Calls {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.calls
}

// Run borrows, renews and returns until the context ends.
func (b *Bank) Run(ctx context.Context) {
	var working sync.WaitGroup
	defer working.Wait()
	working.Go(func() { b.recover(ctx) })
	working.Go(func() { b.watchWhole(ctx) })
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-b.hungry:
			if b.begin(n) {
				working.Go(func() { b.feed(ctx, n) })
			}
		case <-t.C:
			b.config.Dispatcher.Refresh()
			b.settleAll(ctx, &working, b.config.Dispatcher.Tick())
		}
	}
}

// begin marks a pool as borrowing, so that one loop at a time feeds it.
func (b *Bank) begin(pool psdoc.Name) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.borrowing[pool] {
		return false
	}
	b.borrowing[pool] = true
	return true
}

// feed borrows for a pool until no request waits in it.
func (b *Bank) feed(ctx context.Context, pool psdoc.Name) {
	defer b.end(ctx, pool)
	backoff := minBackoff
	for ctx.Err() == nil {
		h := b.config.Dispatcher.Hunger(pool)
		if h.Want == 0 {
			return
		}
		lenders, hope := b.lenders(pool, h)
		got := b.round(ctx, pool, h.Want, lenders)
		if got > 0 && b.config.Dispatcher.Hunger(pool).Want < h.Want {
			backoff = minBackoff
			continue
		}
		if !hope {
			b.config.Dispatcher.RefuseHopeless(pool)
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(backoff*2, maxBackoff)
	}
}

// end unmarks a pool. A request that came between the last look and now is noted again.
func (b *Bank) end(ctx context.Context, pool psdoc.Name) {
	b.mutex.Lock()
	delete(b.borrowing, pool)
	b.mutex.Unlock()
	if ctx.Err() == nil && b.config.Dispatcher.Hunger(pool).Want > 0 {
		b.Hungry(pool)
	}
}

// round asks VMs that could lend until the need is met, and returns the borrowed slots.
// VMs that had nothing to spare a moment ago are passed over.
func (b *Bank) round(ctx context.Context, pool psdoc.Name, want int, lenders []*psplan.VM) int {
	got, asked := 0, 0
	for _, v := range lenders {
		if got >= want || asked >= maxAsked {
			break
		}
		if b.spareOf(pool, v.Name) == 0 {
			continue
		}
		asked++
		got += b.borrow(ctx, v, pool, min(want-got, maxWant))
	}
	return got
}

func (b *Bank) borrow(ctx context.Context, v *psplan.VM, pool psdoc.Name, want int) int {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	b.mutex.Lock()
	epoch := b.epoch[v.Name]
	b.calls.Borrow++
	b.mutex.Unlock()
	sent := b.config.Now()
	var out borrowResponse
	if err := b.config.Peers.Call(ctx, peerOf(v), methodBorrow, borrowRequest{Pool: pool, Want: want}, &out); err != nil {
		b.setSilent(v.Name)
		return 0
	}
	b.setHeard(v.Name)
	b.setSpare(pool, v.Name, out.Spare)
	return b.take(v.Name, out.Grants, sent, epoch)
}

// spareKey names what a VM could lend of a pool.
type spareKey struct {
	pool, vm psdoc.Name
}

// spareHint is what a VM said that it could lend.
type spareHint struct {
	slots int
	at    time.Time
}

// spareFor is how long such a hint is believed.
const spareFor = 200 * time.Millisecond

func (b *Bank) setSpare(pool, vm psdoc.Name, slots int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.spare[spareKey{pool, vm}] = spareHint{slots, b.config.Now()}
}

// spareOf returns what a VM can probably lend; a VM that said nothing lately may be rich.
func (b *Bank) spareOf(pool, vm psdoc.Name) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	h, found := b.spare[spareKey{pool, vm}]
	if !found {
		return maxWant
	}
	if b.config.Now().Sub(h.at) > spareFor {
		delete(b.spare, spareKey{pool, vm})
		return maxWant
	}
	return h.slots
}

// take enters loans unless their lender restarted meanwhile and was told that they do not
// exist. The mutex covers both, so that no loan slips in after such an answer.
func (b *Bank) take(lender psdoc.Name, grants []pspool.Grant, sent time.Time, epoch int) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.epoch[lender] != epoch {
		return 0
	}
	b.config.Dispatcher.Borrow(lender, grants, sent)
	got := 0
	for _, g := range grants {
		got += g.Slots
		psevent.SlotsBorrowed.Log(b.config.Logger, lender, g.Server, g.Slots)
	}
	b.calls.Slots += uint64(got)
	return got
}

// silence is what is known of a VM that did not answer.
type silence struct {
	// at is when it last failed to answer, and failures how often in a row.
	at       time.Time
	failures int
}

func (b *Bank) setSilent(vm psdoc.Name) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.silent[vm] = silence{at: b.config.Now(), failures: b.silent[vm].failures + 1}
}

func (b *Bank) setHeard(vm psdoc.Name) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.silent, vm)
}

// isSilent reports whether a VM should not be asked now, and whether it is probably gone.
func (b *Bank) isSilent(vm psdoc.Name) (silent, gone bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	s, found := b.silent[vm]
	return found && b.config.Now().Sub(s.at) <= silentFor, s.failures >= goneAfter
}

func peerOf(v *psplan.VM) pspeer.Peer {
	return pspeer.Peer{Name: v.Name, Address: v.Peer}
}

func (b *Bank) settleAll(ctx context.Context, working *sync.WaitGroup, due []pspool.Due) {
	for _, d := range due {
		working.Go(func() { b.settle(ctx, d) })
	}
}

// settle renews and returns the loans of one lender.
func (b *Bank) settle(ctx context.Context, d pspool.Due) {
	v, found := b.config.Plans.Plan().VM(d.Lender)
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	b.mutex.Lock()
	b.calls.Settle++
	b.mutex.Unlock()
	sent := b.config.Now()
	var out settleResponse
	if b.config.Peers.Call(ctx, peerOf(v), methodSettle, settleRequest{Renew: d.Renew, Return: d.Return}, &out) != nil {
		return
	}
	for _, r := range out.Renewed {
		b.config.Dispatcher.Renewed(r.ID, r.Slots, sent)
	}
}

// Leave returns all loans in which nothing runs.
func (b *Bank) Leave(ctx context.Context) {
	var working sync.WaitGroup
	b.settleAll(ctx, &working, b.config.Dispatcher.ReturnAll())
	working.Wait()
}

// Handlers takes the handlers of calls from other VMs.
type Handlers interface {
	Handle(method string, f pspeer.Handler)
}

// Register registers the handlers.
func (b *Bank) Register(h Handlers) {
	h.Handle(methodBorrow, b.onBorrow)
	h.Handle(methodSettle, b.onSettle)
	h.Handle(methodHeld, b.onHeld)
	h.Handle(methodRunning, b.onRunning)
	h.Handle(methodOffer, b.onOffer)
	h.Handle(methodLeave, b.onLeave)
}

func (b *Bank) onBorrow(_ context.Context, from psdoc.Name, params json.RawMessage) (any, error) {
	var in borrowRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, errors.Wrap(err, "decode a question for slots")
	}
	grants := b.config.Dispatcher.Lend(from, in.Pool, in.Want, b.config.Incarnation)
	return borrowResponse{Grants: grants, Spare: b.config.Dispatcher.Spare(in.Pool)}, nil
}

func (b *Bank) onSettle(_ context.Context, from psdoc.Name, params json.RawMessage) (any, error) {
	var in settleRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, errors.Wrap(err, "decode a settlement of slots")
	}
	b.config.Dispatcher.TakeBack(from, in.Return)
	var out settleResponse
	for _, h := range in.Renew {
		if n, found := b.config.Dispatcher.Renew(from, h); found {
			out.Renewed = append(out.Renewed, renewal{ID: h.ID, Slots: n})
		}
	}
	return out, nil
}

func (b *Bank) onHeld(_ context.Context, from psdoc.Name, _ json.RawMessage) (any, error) {
	b.setHeard(from)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.epoch[from]++
	b.config.Dispatcher.Disinherit(from)
	version := b.config.Plans.Plan().Version
	running, _ := b.config.Dispatcher.RunningFor(from)
	return heldResponse{Held: b.config.Dispatcher.HeldOf(from), Version: version, Running: running}, nil
}

func (b *Bank) onRunning(_ context.Context, from psdoc.Name, _ json.RawMessage) (any, error) {
	running, known := b.config.Dispatcher.RunningFor(from)
	if !known {
		return nil, errStarting
	}
	return runningResponse{Running: running}, nil
}

// errStarting says that a started VM does not know yet what an earlier process lent.
var errStarting = errors.New("the VM does not know yet what an earlier process lent")

// refusedConnection reports that no process listens at the VM's address, so that it holds
// no loans.
func refusedConnection(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
