package psclaim_test

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"persimmonstep/internal/process/psstandin"
	"persimmonstep/internal/request/psclaim"
	"persimmonstep/internal/request/psproblem"
	"persimmonstep/internal/version/psdoc"
)

// vm is one process that claims.
type vm struct {
	*psclaim.Claims
	table *table
	stop  context.CancelFunc
}

// fleet is several VMs on one store.
type fleet struct {
	store psstandin.Store
	late  sync.WaitGroup
	// running are the goroutines of the VMs.
	running sync.WaitGroup
	mutex   sync.Mutex
	gone    map[string]bool
}

func (f *fleet) Gone(_ psdoc.Name, incarnation string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.gone[incarnation]
}

func (f *fleet) start(ctx context.Context, name psdoc.Name, incarnation string) *vm {
	t := &table{store: &f.store, late: &f.late}
	c := psclaim.New(psclaim.Options{VM: name, Incarnation: incarnation, Platform: t, Members: f, Logger: hclog.NewNullLogger()})
	ctx, stop := context.WithCancel(ctx)
	f.running.Go(func() { c.Run(ctx) })
	return &vm{Claims: c, table: t, stop: stop}
}

// inBubble runs a test with a fake clock.
func inBubble(t *testing.T, f func(c *qt.C, ctx context.Context, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		x := &fleet{gone: make(map[string]bool)}
		ctx, stop := context.WithCancel(context.Background())
		defer x.late.Wait()
		defer x.running.Wait()
		defer stop()
		f(qt.New(t), ctx, x)
	})
}

func order(key, body string) psclaim.Request {
	return psclaim.Request{Workspace: "w", Route: "orders", Key: key, Digest: psdoc.DigestOf(body)}
}

// refusal gives the status and the word on whether the request ran.
func refusal(c *qt.C, err error) (int, psproblem.Ran) {
	var p *psproblem.Problem
	c.Assert(errors.As(err, &p), qt.IsTrue, qt.Commentf("%v", err))
	return p.Status, p.Ran
}

func mustRun(c *qt.C, v *vm, r psclaim.Request) psclaim.Run {
	result, err := v.Begin(context.Background(), r)
	c.Assert(err, qt.IsNil)
	run, found := result.(psclaim.Run)
	c.Assert(found, qt.IsTrue, qt.Commentf("%v", result))
	return run
}

var recorded = psclaim.Answer{Status: http.StatusCreated, Header: http.Header{"X-Order": {"17"}}, Body: []byte("tray confirmed")}

// TestInsertUnderFaults lets each fault, and each pair of faults, meet an insert, and then
// demands that exactly one of two VMs' repeats runs.
func TestInsertUnderFaults(t *testing.T) {
	for first := faultNone; first < faultKinds; first++ {
		for second := faultNone; second < faultKinds; second++ {
			inBubble(t, func(c *qt.C, ctx context.Context, f *fleet) {
				comment := qt.Commentf("faults %d and %d", first, second)
				a, b := f.start(ctx, "a", "a1"), f.start(ctx, "b", "b1")
				// The first call reads the epoch.
				a.table.script = []fault{faultNone, first, second}
				result, err := a.Begin(ctx, order("k", "x"))
				run, ran := result.(psclaim.Run)
				if ran {
					run.Finish(recorded)
				} else {
					status, word := refusal(c, err)
					c.Assert(status, qt.Equals, http.StatusServiceUnavailable, comment)
					c.Assert(word, qt.Equals, psproblem.RanNo, comment)
				}
				time.Sleep(10 * time.Second)
				result, err = b.Begin(ctx, order("k", "x"))
				c.Assert(err, qt.IsNil, comment)
				if ran {
					c.Assert(result, qt.DeepEquals, psclaim.Replay{Answer: recorded}, comment)
					return
				}
				// Nothing ran, so the repeat must be able to.
				_, runs := result.(psclaim.Run)
				c.Assert(runs, qt.IsTrue, comment)
				_, err = a.Begin(ctx, order("k", "x"))
				_, word := refusal(c, err)
				c.Assert(word, qt.Equals, psproblem.RanUnknown, comment)
			})
		}
	}
}

// TestEndUnderFaults lets each fault meet the write that settles a claim.
func TestEndUnderFaults(t *testing.T) {
	large := psclaim.Answer{Status: http.StatusOK, Body: bytes.Repeat([]byte("x"), 17_000)}
	for kind := faultNone; kind < faultKinds; kind++ {
		inBubble(t, func(c *qt.C, ctx context.Context, f *fleet) {
			comment := qt.Commentf("fault %d", kind)
			a, b := f.start(ctx, "a", "a1"), f.start(ctx, "b", "b1")
			finished, big, released := mustRun(c, a, order("finished", "x")), mustRun(c, a, order("large", "x")), mustRun(c, a, order("released", "x"))
			a.table.set(func() { a.table.script = []fault{kind, kind, kind, kind} })
			finished.Finish(recorded)
			big.Finish(large)
			released.Release()
			// This VM knows the answers before they are stored.
			result, err := a.Begin(ctx, order("finished", "x"))
			c.Assert(err, qt.IsNil, comment)
			c.Assert(result, qt.DeepEquals, psclaim.Replay{Answer: recorded}, comment)
			time.Sleep(30 * time.Second)
			for key, answer := range map[string]psclaim.Answer{"finished": recorded, "large": large} {
				result, err = b.Begin(ctx, order(key, "x"))
				c.Assert(err, qt.IsNil, comment)
				c.Assert(result, qt.DeepEquals, psclaim.Replay{Answer: answer}, comment)
			}
			mustRun(c, b, order("released", "another body"))
			c.Assert(a.Unsettled(), qt.Equals, 0, comment)
		})
	}
}

func TestRepeats(t *testing.T) {
	inBubble(t, func(c *qt.C, ctx context.Context, f *fleet) {
		a, b := f.start(ctx, "a", "a1"), f.start(ctx, "b", "b1")
		run := mustRun(c, a, order("k", "x"))
		for _, v := range []*vm{a, b} {
			_, err := v.Begin(ctx, order("k", "y"))
			status, word := refusal(c, err)
			c.Assert([]any{status, word}, qt.DeepEquals, []any{http.StatusUnprocessableEntity, psproblem.RanNo})

			began := time.Now()
			_, err = v.Begin(ctx, order("k", "x"))
			status, word = refusal(c, err)
			c.Assert([]any{status, word}, qt.DeepEquals, []any{http.StatusConflict, psproblem.RanUnknown})
			c.Assert(time.Since(began) <= 3*time.Second, qt.IsTrue)
		}
		// A repeat that waits gets the answer when it comes, on either VM.
		var waiting sync.WaitGroup
		for _, v := range []*vm{a, b} {
			waiting.Go(func() {
				result, err := v.Begin(ctx, order("k", "x"))
				c.Check(err, qt.IsNil)
				c.Check(result, qt.DeepEquals, psclaim.Replay{Answer: recorded})
			})
		}
		time.Sleep(time.Second)
		run.Finish(recorded)
		waiting.Wait()
	})
}

func TestClaimOfADeadProcessStaysUnknown(t *testing.T) {
	inBubble(t, func(c *qt.C, ctx context.Context, f *fleet) {
		a, b := f.start(ctx, "a", "a1"), f.start(ctx, "b", "b1")
		mustRun(c, a, order("k", "x"))
		a.stop()
		f.gone["a1"] = true
		again := f.start(ctx, "a", "a2")
		for range 3 {
			for _, v := range []*vm{b, again} {
				began := time.Now()
				_, err := v.Begin(ctx, order("k", "x"))
				status, word := refusal(c, err)
				c.Assert([]any{status, word}, qt.DeepEquals, []any{http.StatusConflict, psproblem.RanUnknown})
				c.Assert(time.Since(began), qt.Equals, time.Duration(0))
			}
			time.Sleep(48 * time.Hour)
		}
	})
}

func TestGroupCommit(t *testing.T) {
	inBubble(t, func(c *qt.C, ctx context.Context, f *fleet) {
		a, b := f.start(ctx, "a", "a1"), f.start(ctx, "b", "b1")
		// One of the keys is taken, so its transaction is refused; the others must not suffer.
		mustRun(c, b, order("k5", "x")).Finish(recorded)
		time.Sleep(time.Second)
		a.table.script = []fault{faultSlow}
		const orders = 60
		var claiming sync.WaitGroup
		var mutex sync.Mutex
		var runs, replays int
		for i := range orders {
			claiming.Go(func() {
				result, err := a.Begin(ctx, order("k"+string(rune('0'+i)), "x"))
				c.Check(err, qt.IsNil)
				mutex.Lock()
				defer mutex.Unlock()
				switch result.(type) {
				case psclaim.Run:
					runs++
				case psclaim.Replay:
					replays++
				}
			})
		}
		claiming.Wait()
		c.Assert([]int{runs, replays}, qt.DeepEquals, []int{orders - 1, 1})
		// The first commit may carry few, the second is refused, the third succeeds.
		c.Assert(a.table.commits <= 4, qt.IsTrue, qt.Commentf("%d commits", a.table.commits))
	})
}
