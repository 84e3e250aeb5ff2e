package psclaim_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/request/psclaim"
)

func (f *fleet) cleaner() *psclaim.Cleaner {
	return &psclaim.Cleaner{
		Table:  &table{store: &f.store, late: &f.late},
		Chosen: func(uint64) bool { return true },
		Now:    time.Now,
		Logger: hclog.NewNullLogger(),
	}
}

func TestRetention(t *testing.T) {
	inBubble(t, func(c *qt.C, ctx context.Context, f *fleet) {
		a := f.start(ctx, "a", "a1")
		mustRun(c, a, order("finished", "x")).Finish(recorded)
		mustRun(c, a, order("running", "x"))
		mustRun(c, a, order("abandoned", "x")).Abandon()
		began := time.Now()
		for range 2 {
			f.running.Go(func() { f.cleaner().Run(ctx) })
		}
		// Whatever the cleaners' pace, the answer is replayed for a day.
		for time.Since(began) < 24*time.Hour {
			result, err := a.Begin(ctx, order("finished", "x"))
			c.Assert(err, qt.IsNil)
			c.Assert(result, qt.DeepEquals, psclaim.Replay{Answer: recorded})
			time.Sleep(7 * time.Minute)
		}
		time.Sleep(24 * time.Hour)
		b := f.start(ctx, "b", "b1")
		mustRun(c, b, order("finished", "x"))
		for _, key := range []string{"running", "abandoned"} {
			_, err := b.Begin(ctx, order(key, "x"))
			status, _ := refusal(c, err)
			c.Assert(status, qt.Equals, 409)
		}
	})
}

// TestEpochNeedsOneWholeObservation starts a cleaner anew before each epoch's end: none has seen
// the epoch for its whole length, so it must not advance.
func TestEpochNeedsOneWholeObservation(t *testing.T) {
	inBubble(t, func(c *qt.C, ctx context.Context, f *fleet) {
		x := f.cleaner()
		for range 50 {
			x = f.cleaner()
			c.Assert(x.Look(ctx), qt.IsNil)
			time.Sleep(psclaim.EpochLength - time.Second)
			c.Assert(x.Look(ctx), qt.IsNil)
		}
		c.Assert(f.store.Read([]string{"claimEpoch"})[0].Revision, qt.Equals, uint64(0))
		time.Sleep(time.Second)
		c.Assert(x.Look(ctx), qt.IsNil)
		c.Assert(f.store.Read([]string{"claimEpoch"})[0].Revision, qt.Equals, uint64(1))
	})
}

// TestInsertInAChangedEpoch claims on a VM that holds an old epoch.
func TestInsertInAChangedEpoch(t *testing.T) {
	inBubble(t, func(c *qt.C, ctx context.Context, f *fleet) {
		a, x := f.start(ctx, "a", "a1"), f.cleaner()
		mustRun(c, a, order("k1", "x")).Finish(recorded)
		c.Assert(x.Look(ctx), qt.IsNil)
		time.Sleep(psclaim.EpochLength)
		c.Assert(x.Look(ctx), qt.IsNil)
		// The VM still holds the old epoch; its insert is refused once and then succeeds.
		mustRun(c, a, order("k2", "x")).Finish(recorded)
		time.Sleep(time.Second)
		c.Assert(f.store.Scan("claimLog/00000000000000000001/", "", 10), qt.HasLen, 1)
	})
}
