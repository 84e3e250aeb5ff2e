package psplatform

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/process/pswait"
)

const (
	// writeBudget and readBudget are the fleet's calls per second, below what the platform
	// carries.
	writeBudget = 300
	readBudget  = 1500
	// probeBudget is the probes per second of the whole fleet while the platform is down.
	probeBudget = 400
	// minProbe and maxProbe bound the time between two probes of one VM.
	minProbe = 250 * time.Millisecond
	maxProbe = 10 * time.Second
	// readTries bounds the tries of a call that may be repeated.
	readTries = 3
	// readTimeout bounds one try of such a call.
	readTimeout = time.Second
	// minBackoff and maxBackoff bound the wait between two tries.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// slowAnswer is the time from which an answer counts as slow.
	slowAnswer = 250 * time.Millisecond
	// probeKey is the row that probes read; it need not exist.
	probeKey = "probe"
)

// Call names a kind of call.
type Call string

// Kinds of calls.
const (
	CallRead     Call = "read"
	CallScan     Call = "scan"
	CallCommit   Call = "commit"
	CallPut      Call = "put"
	CallGet      Call = "get"
	CallMachines Call = "machines"
)

// End is how a call ended.
type End string

const (
	// EndDone says that the call was carried out.
	EndDone End = "done"
	// EndRefused says that nothing changed: a condition failed or the platform did not take
	// the call.
	EndRefused End = "refused"
	// EndUnknown says that the call may have taken effect.
	EndUnknown End = "unknown"
	// EndNotTried says that the breaker was open or the budget was used up.
	EndNotTried End = "notTried"
)

// EndOf sorts a call's error.
func EndOf(err error) End {
	var unavailable *UnavailableError
	switch {
	case err == nil || IsNotFound(err):
		return EndDone
	case IsOutage(err) || errors.Is(err, errBudget):
		return EndNotTried
	case IsRefused(err) || errors.As(err, &unavailable):
		return EndRefused
	}
	return EndUnknown
}

// GuardOptions are what a guard needs.
type GuardOptions struct {
	// Platform is the platform behind the guard.
	Platform Platform
	// Fleet returns the number of VMs, which share the platform's rate.
	Fleet func() int
	// Observe learns how each call ended.
	Observe func(c Call, e End, took time.Duration)
	// Switched learns when the breaker opens and closes.
	Switched func(open bool)
	// Now gives the time.
	Now func() time.Time
}

// Guard keeps calls to the platform within the fleet's rate, repeats those that may be
// repeated, and stops calling while the platform is down.
//
// A commit is never repeated by the guard: after an unknown end only its caller can find
// out what happened. While the breaker is open a call ends at once in an
// *UnavailableError caused by an *OutageError, and a probe looks for the platform's return.
type Guard struct {
	options GuardOptions
	breaker breaker
	writes  pacer
	reads   pacer
}

// NewGuard returns a guard. Run must run while it is in use.
func NewGuard(o GuardOptions) *Guard {
	return &Guard{
		options: o,
		writes:  pacer{budget: writeBudget, fleet: o.Fleet, now: o.Now},
		reads:   pacer{budget: readBudget, fleet: o.Fleet, now: o.Now},
	}
}

// Heard returns when the platform last answered; the zero time says never.
func (g *Guard) Heard() time.Time {
	return g.breaker.last()
}

// Run probes the platform while the breaker is open, until the context ends.
func (g *Guard) Run(ctx context.Context) {
	for pswait.Sleep(ctx, g.probeWait()) {
		if closed, _ := g.breaker.allow(); closed {
			continue
		}
		probing, cancel := context.WithTimeout(ctx, readTimeout)
		began := g.options.Now()
		_, err := g.options.Platform.Read(probing, probeKey)
		cancel()
		if ctx.Err() == nil {
			g.note(CallRead, err, began)
		}
	}
}

// probeWait spreads the fleet's probes.
func (g *Guard) probeWait() time.Duration {
	span := time.Duration(float64(g.options.Fleet()) / probeBudget * float64(time.Second))
	span = min(max(span, minProbe), maxProbe)
	return span/2 + rand.N(span)
}

// note sorts the end of a call for the breaker, the pacers and the observer.
func (g *Guard) note(c Call, err error, began time.Time) {
	now := g.options.Now()
	took := now.Sub(began)
	end := EndOf(err)
	g.options.Observe(c, end, took)
	alive := end == EndDone || IsRefused(err)
	if !alive || took > slowAnswer {
		g.pacer(c).slow()
	}
	if alive {
		if g.breaker.succeed(now) {
			g.options.Switched(false)
		}
		return
	}
	if g.breaker.fail(now, g.probeWait()) {
		g.options.Switched(true)
	}
}

func (g *Guard) pacer(c Call) *pacer {
	if c == CallCommit || c == CallPut {
		return &g.writes
	}
	return &g.reads
}

var errBudget = errors.New("the budget of calls is used up")

// try makes one call if the breaker and the budget let it.
func (g *Guard) try(ctx context.Context, c Call, f func(context.Context) error) error {
	if closed, until := g.breaker.allow(); !closed {
		return g.notTried(c, &OutageError{Until: until})
	}
	if !g.pacer(c).wait(ctx) {
		return g.notTried(c, errBudget)
	}
	began := g.options.Now()
	err := f(ctx)
	if err != nil && ctx.Err() != nil && g.options.Now().Sub(began) < readTimeout {
		// The caller went away early, which says nothing about the platform.
		g.options.Observe(c, EndOf(err), g.options.Now().Sub(began))
		return err
	}
	g.note(c, err, began)
	return err
}

func (g *Guard) notTried(c Call, cause error) error {
	g.options.Observe(c, EndNotTried, 0)
	return &UnavailableError{Cause: cause}
}

// repeat makes a call that has the same effect however often it is made.
func (g *Guard) repeat(ctx context.Context, c Call, f func(context.Context) error) error {
	backoff := minBackoff
	for n := 1; ; n++ {
		err := g.bounded(ctx, c, f)
		if EndOf(err) == EndDone || EndOf(err) == EndNotTried || n == readTries {
			return err
		}
		if !pswait.Sleep(ctx, rand.N(backoff)) {
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (g *Guard) bounded(ctx context.Context, c Call, f func(context.Context) error) error {
	return g.try(ctx, c, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		return f(ctx)
	})
}

// Read returns the rows of the keys.
func (g *Guard) Read(ctx context.Context, keys ...string) (out []Row, err error) {
	err = g.repeat(ctx, CallRead, func(ctx context.Context) error {
		out, err = g.options.Platform.Read(ctx, keys...)
		return err
	})
	return out, err
}

// Scan returns rows by prefix.
func (g *Guard) Scan(ctx context.Context, prefix, after string, limit int) (out []Row, err error) {
	err = g.repeat(ctx, CallScan, func(ctx context.Context) error {
		out, err = g.options.Platform.Scan(ctx, prefix, after, limit)
		return err
	})
	return out, err
}

// Commit carries out a transaction once.
func (g *Guard) Commit(ctx context.Context, t Transaction) (revision uint64, err error) {
	err = g.try(ctx, CallCommit, func(ctx context.Context) error {
		revision, err = g.options.Platform.Commit(ctx, t)
		return err
	})
	return revision, err
}

// Put stores an object. An object never changes, so a repeated call does no harm.
func (g *Guard) Put(ctx context.Context, name string, content []byte) error {
	return g.repeat(ctx, CallPut, func(ctx context.Context) error {
		return g.options.Platform.Put(ctx, name, content)
	})
}

// Get returns an object.
func (g *Guard) Get(ctx context.Context, name string) (out []byte, err error) {
	err = g.repeat(ctx, CallGet, func(ctx context.Context) error {
		out, err = g.options.Platform.Get(ctx, name)
		return err
	})
	return out, err
}

// Machines returns the platform's list and its age.
func (g *Guard) Machines(ctx context.Context) (out []Machine, age time.Duration, err error) {
	err = g.repeat(ctx, CallMachines, func(ctx context.Context) error {
		out, age, err = g.options.Platform.Machines(ctx)
		return err
	})
	return out, age, err
}
