package psclaim

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psplatform"
	"persimmonstep/internal/process/pswait"
	"persimmonstep/internal/request/psproblem"
	"persimmonstep/internal/version/psdoc"
)

const (
	// insertWait bounds the wait for a claim's insert.
	insertWait = time.Second
	// repeatWait bounds the wait of a repeat for the first request's outcome.
	repeatWait = 2 * time.Second
	// minPoll and maxPoll bound the time between two looks at another VM's claim.
	minPoll = 20 * time.Millisecond
	maxPoll = 300 * time.Millisecond
	// retryAfter is the advice to callers while the table does not answer.
	retryAfter = time.Second
	// maxUnsettled bounds the claims that wait for the table, so that an outage cannot fill
	// the memory.
	maxUnsettled = 20_000
	nonceBytes   = 16
)

// Members knows which processes are gone.
type Members interface {
	// Gone reports whether the incarnation of the VM has certainly ended.
	Gone(vm psdoc.Name, incarnation string) bool
}

// Options are what claims need.
type Options struct {
	// VM and Incarnation name this process.
	VM          psdoc.Name
	Incarnation string
	// Platform keeps the claims.
	Platform psplatform.Platform
	// Members knows which processes are gone.
	Members Members
	// Observe learns the size and the end of each group commit.
	Observe func(batch int, err error)
	// Logger takes the log lines.
	Logger hclog.Logger
}

// Claims hands out claims. Run must run while it is in use.
type Claims struct {
	options   Options
	committer *committer
	recording sync.WaitGroup
	// stop ends the storing of large bodies when the VM stops.
	stop context.Context

	mutex   sync.Mutex
	entries map[string]*entry
}

// phase is how far a request has come on this VM.
type phase int

const (
	// phaseClaiming says that the request waits for its claim.
	phaseClaiming phase = iota
	// phaseRunning says that the request may be dispatched.
	phaseRunning
	// phaseUnrun says that the request certainly did not run and its row is being settled.
	phaseUnrun
	// phaseDone says that the answer is there and is being recorded.
	phaseDone
	// phaseUnknown says that the request may have run and its row is being settled.
	phaseUnknown
)

// entry is a request that this VM has in hand. At most one write of its row is under way.
type entry struct {
	key    string
	digest psdoc.Digest
	// changed is closed and replaced at each change of phase, and closed when the entry goes.
	changed chan struct{}
	phase   phase
	answer  Answer
}

// New returns claims.
func New(o Options) *Claims {
	if o.Observe == nil {
		o.Observe = func(int, error) {}
	}
	return &Claims{
		options:   o,
		committer: newCommitter(o.Platform, o.Incarnation, o.Observe),
		entries:   make(map[string]*entry),
	}
}

// Run commits claims until the context ends; then it settles for a bounded time what is left.
func (c *Claims) Run(ctx context.Context) {
	c.mutex.Lock()
	c.stop = ctx
	c.mutex.Unlock()
	c.committer.run(ctx)
	c.recording.Wait()
}

// Unsettled returns the number of requests that are in hand.
func (c *Claims) Unsettled() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.entries)
}

// Begin claims a request: it may run, or its recorded answer is replayed, or the error
// refuses it. The error is a *psproblem.Problem.
func (c *Claims) Begin(ctx context.Context, r Request) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, repeatWait)
	defer cancel()
	key := rowKey(r)
	for {
		e, mine, err := c.enter(key, r.Digest)
		if err != nil {
			return nil, err
		}
		if mine {
			return c.claim(ctx, e, r)
		}
		result, err := c.join(ctx, e, r)
		if result != nil || err != nil {
			return result, err
		}
	}
}

// enter returns the entry of the key, and true if it was made for the caller.
func (c *Claims) enter(key string, d psdoc.Digest) (*entry, bool, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if e, found := c.entries[key]; found {
		return e, false, nil
	}
	if len(c.entries) >= maxUnsettled {
		return nil, false, storeDown()
	}
	e := &entry{key: key, digest: d, changed: make(chan struct{})}
	c.entries[key] = e
	return e, true, nil
}

func (c *Claims) leave(e *entry) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.entries, e.key)
	close(e.changed)
}

// advance sets the phase unless the entry has gone.
func (c *Claims) advance(e *entry, p phase) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.entries[e.key] != e {
		return
	}
	e.phase = p
	close(e.changed)
	e.changed = make(chan struct{})
}

// join waits for a request with the same key that this VM has in hand. It returns neither
// a result nor an error when the entry has gone.
func (c *Claims) join(ctx context.Context, e *entry, r Request) (Result, error) {
	for {
		c.mutex.Lock()
		current, found := c.entries[e.key]
		changed, phase, answer := e.changed, e.phase, e.answer
		c.mutex.Unlock()
		switch {
		case !found || current != e:
			return nil, nil
		case e.digest != r.Digest && phase != phaseUnrun:
			return nil, otherBody()
		case phase == phaseDone:
			return Replay{Answer: answer}, nil
		case phase == phaseUnknown:
			return nil, unknown()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			if phase == phaseUnrun {
				return nil, storeDown()
			}
			return nil, inProgress()
		}
	}
}

// claim inserts the row, or goes by the one that is there.
func (c *Claims) claim(ctx context.Context, e *entry, r Request) (Result, error) {
	var v verdict
	poll := minPoll
	for {
		w, o, err := c.insert(ctx, e, r, v)
		switch {
		case err != nil && v.running:
			return nil, inProgress()
		case err != nil:
			return nil, err
		case o.won:
			return c.run(e, w, o), nil
		}
		var result Result
		v, result, err = c.judge(ctx, o.current, r)
		if result != nil || err != nil {
			c.leave(e)
			return result, err
		}
		if v.running && !pswait.Sleep(ctx, poll) {
			c.leave(e)
			return nil, inProgress()
		}
		poll = min(2*poll, maxPoll)
	}
}

// verdict says how to go on after another claim was in the way.
type verdict struct {
	// running says that the other claim's request runs, as far as is known.
	running bool
	// revision is the one to take over.
	revision uint64
}

// judge goes by a row that is in the way. It returns a result, an error, or how to go on.
func (c *Claims) judge(ctx context.Context, row psplatform.Row, r Request) (verdict, Result, error) {
	if row.Revision == 0 {
		return verdict{}, nil, nil
	}
	current, err := decode(row)
	if err != nil {
		return verdict{}, nil, psproblem.Unknown(http.StatusConflict, "badClaim", err.Error())
	}
	switch {
	case current.State == stateReleased:
		return verdict{revision: row.Revision}, nil, nil
	case current.Digest != r.Digest:
		return verdict{}, nil, otherBody()
	case current.State == stateDone:
		result, err := c.replay(ctx, current)
		return verdict{}, result, err
	case current.State == stateUnknown || c.gone(current):
		return verdict{}, nil, unknown()
	}
	// The row's revision stays the condition: it changes when the other VM settles it.
	return verdict{running: true}, nil, nil
}

// gone reports whether the claiming process has ended without settling its claim.
func (c *Claims) gone(r record) bool {
	if r.VM == c.options.VM {
		// A claim that this process has in hand would have been joined.
		return true
	}
	return c.options.Members != nil && c.options.Members.Gone(r.VM, r.Incarnation)
}

// replay makes the result of a recorded answer.
func (c *Claims) replay(ctx context.Context, r record) (Result, error) {
	if r.Answer == nil {
		return nil, unknown()
	}
	if r.Object == "" {
		return Replay{Answer: *r.Answer}, nil
	}
	body, err := c.options.Platform.Get(ctx, r.Object)
	if err != nil {
		return nil, psproblem.Unknown(http.StatusServiceUnavailable, "storeDown", "the request ran; its recorded answer cannot be read now").After(retryAfter)
	}
	answer := *r.Answer
	answer.Body = body
	return Replay{Answer: answer}, nil
}

// insert puts in the row under the condition that its revision is the verdict's. An error
// says that the insert did not end in time; nothing may be dispatched then.
func (c *Claims) insert(ctx context.Context, e *entry, r Request, v verdict) (*write, outcome, error) {
	ended := make(chan outcome, 1)
	// A claim that runs elsewhere is looked at before any write is spent on it.
	w := &write{key: e.key, revision: v.revision, record: c.newRecord(r), stale: v.running}
	w.settled = func(o outcome) {
		if w.isAbandoned() {
			c.leave(e)
			return
		}
		ended <- o
	}
	c.committer.submit(w)
	ctx, cancel := context.WithTimeout(ctx, insertWait)
	defer cancel()
	var o outcome
	select {
	case o = <-ended:
	case <-ctx.Done():
		if w.abandon() {
			c.advance(e, phaseUnrun)
			return nil, outcome{}, storeDown()
		}
		o = <-ended
	}
	if o.outage {
		c.leave(e)
		return nil, outcome{}, storeDown()
	}
	return w, o, nil
}

func (c *Claims) newRecord(r Request) record {
	return record{
		Workspace: r.Workspace, Route: r.Route, Key: r.Key, Digest: r.Digest,
		VM: c.options.VM, Incarnation: c.options.Incarnation, Nonce: newNonce(), State: stateRunning,
	}
}

func newNonce() string {
	var b [nonceBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// run makes the result that lets the request run. From here on it may be dispatched.
func (c *Claims) run(e *entry, w *write, o outcome) Run {
	c.advance(e, phaseRunning)
	rec := w.record
	rec.Epoch = o.epoch
	psevent.Claimed.Log(c.options.Logger, rec.Workspace, rec.Route, rec.Key, rec.Epoch)
	return Run{
		Release: func() { c.settle(e, rec, o.revision, stateReleased, phaseUnrun) },
		Abandon: func() { c.settle(e, rec, o.revision, stateUnknown, phaseUnknown) },
		Finish:  func(a Answer) { c.finish(e, rec, o.revision, a) },
	}
}

// settle writes the end of a claim; the committer goes on until the table has it.
func (c *Claims) settle(e *entry, rec record, revision uint64, s state, p phase) {
	c.advance(e, p)
	rec.State = s
	psevent.ClaimSettled.Log(c.options.Logger, rec.Workspace, rec.Route, rec.Key, string(s))
	c.committer.submit(&write{key: e.key, revision: revision, record: rec, settled: func(o outcome) {
		if !o.won {
			psevent.ClaimLost.Log(c.options.Logger, rec.Workspace, rec.Route, rec.Key, string(s))
		}
		c.leave(e)
	}})
}

// finish records the answer. Repeats on this VM get it at once, others once it is stored.
func (c *Claims) finish(e *entry, rec record, revision uint64, a Answer) {
	c.mutex.Lock()
	e.answer = a
	stop := c.stop
	c.mutex.Unlock()
	if len(a.Body) <= maxInlineBytes {
		rec.Answer = &a
		c.settle(e, rec, revision, stateDone, phaseDone)
		return
	}
	rec.Object = fmt.Sprintf("claim-%d-%s", rec.Epoch, rec.Nonce)
	rec.Answer = &Answer{Status: a.Status, Header: a.Header}
	c.advance(e, phaseDone)
	c.recording.Go(func() {
		// Without its body the claim stays running in the table, and unknown after this process.
		if c.store(stop, rec.Object, a.Body) {
			c.settle(e, rec, revision, stateDone, phaseDone)
		}
	})
}

// store puts an object and repeats until it is there or the context ends.
func (c *Claims) store(ctx context.Context, name string, body []byte) bool {
	if ctx == nil {
		panic("psclaim: claims do not run")
	}
	for wait := minPoll; ; wait = min(2*wait, maxBackoff) {
		if c.options.Platform.Put(ctx, name, body) == nil {
			return true
		}
		if !pswait.Sleep(ctx, wait) {
			return false
		}
	}
}

func otherBody() error {
	return psproblem.New(http.StatusUnprocessableEntity, "otherBody", "the Idempotency-Key was used with another request")
}

func storeDown() error {
	return psproblem.New(http.StatusServiceUnavailable, "storeDown", "the claim could not be stored; nothing was sent").After(retryAfter)
}

func inProgress() error {
	return psproblem.Unknown(http.StatusConflict, "inProgress", "a request with the same Idempotency-Key has not ended").After(retryAfter)
}

func unknown() error {
	return psproblem.Unknown(http.StatusConflict, "outcomeUnknown", "a request with the same Idempotency-Key may have run; its outcome is not known")
}
