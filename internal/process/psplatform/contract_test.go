package psplatform_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"persimmonstep/internal/process/psplatform"
	"persimmonstep/internal/process/psstandin"
)

func newGuard(p psplatform.Platform, fleet int) *psplatform.Guard {
	return psplatform.NewGuard(psplatform.GuardOptions{
		Platform: p,
		Fleet:    func() int { return fleet },
		Observe:  func(psplatform.Call, psplatform.End, time.Duration) {},
		Switched: func(bool) {},
		Now:      time.Now,
	})
}

// outcome is what a commit under a fault must look like.
type outcome struct {
	end     psplatform.End
	written bool
}

func isNever(f psstandin.Fault) bool {
	return f.Kind == psstandin.FaultNever
}

// patience bounds a call, shortly if it is never answered.
func patience(met ...psstandin.Fault) time.Duration {
	if slices.ContainsFunc(met, isNever) {
		return 30 * time.Millisecond
	}
	return 10 * time.Second
}

var (
	faults = []psstandin.Fault{
		{}, // no fault
		{Kind: psstandin.FaultRefuse},
		{Kind: psstandin.FaultLoseCall},
		{Kind: psstandin.FaultLoseAnswer},
		{Kind: psstandin.FaultNever},
		{Kind: psstandin.FaultSlow, Delay: 5 * time.Millisecond},
	}
	commitOutcomes = map[psstandin.FaultKind]outcome{
		"":                        {psplatform.EndDone, true},
		psstandin.FaultRefuse:     {psplatform.EndRefused, false},
		psstandin.FaultLoseCall:   {psplatform.EndUnknown, false},
		psstandin.FaultLoseAnswer: {psplatform.EndUnknown, true},
		psstandin.FaultNever:      {psplatform.EndUnknown, false},
		psstandin.FaultSlow:       {psplatform.EndDone, true},
	}
)

func startStandin(t *testing.T) (*psstandin.Server, *psplatform.Client) {
	t.Helper()
	s, clean, err := psstandin.NewServer(context.Background(), netip.MustParseAddrPort("127.0.0.1:0"))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(clean)
	c, clean := psplatform.NewClient(s.Address)
	t.Cleanup(clean)
	return s, c
}

// TestCommitContract lets each pair of faults meet two commits of the same write. What the
// first one's end says must be so, and the second one must succeed at most once.
func TestCommitContract(t *testing.T) {
	s, client := startStandin(t)
	for i, first := range faults {
		for j, second := range faults {
			c := qt.New(t)
			guard := newGuard(client, 1)
			comment := qt.Commentf("faults %q and %q", first.Kind, second.Kind)
			key := fmt.Sprintf("row/%d/%d", i, j)
			write := psplatform.Transaction{
				Conditions: []psplatform.Condition{{Key: key}},
				Writes:     []psplatform.Write{{Key: key, Value: []byte("x")}},
			}
			written := false
			for _, f := range []psstandin.Fault{first, second} {
				f.Path, f.Count = psplatform.PathCommit, 1
				s.Faults.Set()
				if f.Kind != "" {
					s.Faults.Set(f)
				}
				ctx, cancel := context.WithTimeout(t.Context(), patience(f))
				_, err := guard.Commit(ctx, write)
				cancel()
				expected := commitOutcomes[f.Kind]
				if written && expected.end == psplatform.EndDone {
					c.Assert(psplatform.IsRefused(err), qt.IsTrue, comment)
					continue
				}
				c.Assert(psplatform.EndOf(err), qt.Equals, expected.end, comment)
				written = written || expected.written
				c.Assert(s.Store.Read([]string{key})[0].Revision > 0, qt.Equals, written, comment)
			}
		}
	}
}

// TestReadingContract lets each pair of faults meet the other calls, which are repeated.
func TestReadingContract(t *testing.T) {
	s, client := startStandin(t)
	s.Store.Commit(psplatform.Transaction{Writes: []psplatform.Write{{Key: "row", Value: []byte("x")}}})
	s.Store.SetMachine("vm-1", psplatform.MachineLeaving)
	calls := map[string]func(context.Context, *psplatform.Guard) (string, error){
		psplatform.PathRead: func(ctx context.Context, g *psplatform.Guard) (string, error) {
			rows, err := g.Read(ctx, "absent", "row")
			return fmt.Sprint(len(rows) == 2 && rows[0].Revision == 0 && string(rows[1].Value) == "x"), err
		},
		psplatform.PathScan: func(ctx context.Context, g *psplatform.Guard) (string, error) {
			rows, err := g.Scan(ctx, "ro", "", 10)
			return fmt.Sprint(len(rows) == 1 && rows[0].Key == "row"), err
		},
		psplatform.PathMachines: func(ctx context.Context, g *psplatform.Guard) (string, error) {
			machines, _, err := g.Machines(ctx)
			return fmt.Sprint(len(machines) == 1 && machines[0].State == psplatform.MachineLeaving), err
		},
		psplatform.PathObjects: func(ctx context.Context, g *psplatform.Guard) (string, error) {
			if err := g.Put(ctx, "object", []byte("y")); err != nil {
				return "", err
			}
			content, err := g.Get(ctx, "object")
			return fmt.Sprint(string(content) == "y"), err
		},
	}
	for path, call := range calls {
		for _, first := range faults {
			for _, second := range faults {
				c := qt.New(t)
				comment := qt.Commentf("%s with %q and %q", path, first.Kind, second.Kind)
				s.Faults.Set()
				var rows []psstandin.Fault
				for _, f := range []psstandin.Fault{first, second} {
					if f.Kind != "" {
						f.Path, f.Count = path, 1
						rows = append(rows, f)
					}
				}
				s.Faults.Set(rows...)
				// After a slow answer only a path with two calls meets the second fault.
				met := []psstandin.Fault{first}
				if first.Kind != psstandin.FaultSlow || path == psplatform.PathObjects {
					met = append(met, second)
				}
				ctx, cancel := context.WithTimeout(t.Context(), patience(met...))
				answer, err := call(ctx, newGuard(client, 1))
				cancel()
				if slices.ContainsFunc(met, isNever) {
					c.Assert(err, qt.IsNotNil, comment)
					continue
				}
				c.Assert(err, qt.IsNil, comment)
				c.Assert(answer, qt.Equals, "true", comment)
			}
		}
	}
	_, err := newGuard(client, 1).Get(t.Context(), "absent")
	qt.Assert(t, psplatform.IsNotFound(err), qt.IsTrue)
}

// down is a platform that refuses calls, or takes them, and counts them.
type down struct {
	psplatform.Platform
	store psstandin.Store
	took  time.Duration

	mutex sync.Mutex
	err   error
	reads int
}

func (d *down) Read(_ context.Context, keys ...string) ([]psplatform.Row, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.reads++
	return d.store.Read(keys), d.err
}

func (d *down) count() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.reads
}

func (d *down) Commit(_ context.Context, t psplatform.Transaction) (uint64, error) {
	time.Sleep(d.took)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.err != nil {
		return 0, d.err
	}
	revision, _ := d.store.Commit(t)
	return revision, nil
}

func TestBreaker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := &down{err: &psplatform.UnavailableError{Cause: errors.New("down")}}
		g := newGuard(p, 9)
		ctx, cancel := context.WithCancel(t.Context())
		go g.Run(ctx)
		for range 2 {
			_, err := g.Read(ctx, "x")
			c.Assert(err, qt.IsNotNil)
		}
		before := p.count()
		for range 100 {
			_, err := g.Commit(ctx, psplatform.Transaction{})
			c.Assert(psplatform.IsOutage(err), qt.IsTrue)
			c.Assert(psplatform.EndOf(err), qt.Equals, psplatform.EndNotTried)
		}
		c.Assert(p.count(), qt.Equals, before)
		// An hour's outage costs probes alone.
		time.Sleep(time.Hour)
		probes := p.count() - before
		c.Assert(probes <= 2*int(time.Hour/(250*time.Millisecond)), qt.IsTrue, qt.Commentf("%d probes", probes))
		c.Assert(g.Heard().IsZero(), qt.IsTrue)
		p.mutex.Lock()
		p.err = nil
		p.mutex.Unlock()
		time.Sleep(time.Second)
		synctest.Wait()
		_, err := g.Commit(ctx, psplatform.Transaction{})
		c.Assert(err, qt.IsNil)
		c.Assert(time.Since(g.Heard()) < time.Second, qt.IsTrue)
		cancel()
	})
}

// TestBudget commits without pause on every VM of the fleet: together they stay within the
// platform's rate once it has slowed down.
func TestBudget(t *testing.T) {
	for _, tt := range []struct {
		name     string
		fleet    int
		took     time.Duration
		from, to int
	}{
		// 300/s for all: 33.3/s for each, and a burst.
		{"nine VMs have an equal share each", 9, 0, 320, 345},
		// A twelfth of 300/s.
		{"a busy VM takes what idle ones leave", 2200, 0, 150, 260},
		{"a slow platform lowers the rate to the share", 2200, 300 * time.Millisecond, 1, 40},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGuard(&down{took: tt.took}, tt.fleet)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				commits := 0
				for {
					if _, err := g.Commit(ctx, psplatform.Transaction{}); err != nil {
						break
					}
					commits++
				}
				qt.Assert(t, commits >= tt.from && commits <= tt.to, qt.IsTrue, qt.Commentf("%d commits", commits))
			})
		})
	}
}
