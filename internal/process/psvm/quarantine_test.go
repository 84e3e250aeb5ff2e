package psvm_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"persimmonstep/internal/process/psbackend"
)

// crashing makes every stand-in crash under one path.
func (f *fleet) crashing(path string, down time.Duration) {
	for _, s := range f.Servers {
		s.Set(psbackend.Behaviour{ServiceTime: 2 * time.Millisecond, Faults: []psbackend.Fault{{Path: path, Kind: psbackend.FaultCrash, Delay: down}}})
	}
}

func (f *fleet) crashes() int {
	return lo.SumBy(f.Servers, func(s *psbackend.Server) int { return s.Stats().Crashes })
}

// bystanders sends lookups through every VM until the context ends and counts refusals by code.
func (f *fleet) bystanders(ctx context.Context, each time.Duration) func() (sent int, failed map[string]int) {
	var running sync.WaitGroup
	var total atomic.Int64
	var mutex sync.Mutex
	failures := make(map[string]int)
	for vm := range f.Ready.Callers {
		running.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				r := f.send(context.WithoutCancel(ctx), vm, "GET", fmt.Sprintf("/prices/item-%d", n%7), nil)
				total.Add(1)
				if r.status != 200 {
					mutex.Lock()
					failures[fmt.Sprint(r.status, " ", r.code)]++
					mutex.Unlock()
				}
				time.Sleep(each)
			}
		})
	}
	return func() (int, map[string]int) {
		running.Wait()
		return int(total.Load()), failures
	}
}

// TestPoisonRunsTwiceAtMost has a caller repeat a request that crashes each server that runs
// it, through one VM after the other, while others look things up on the same servers.
func TestPoisonRunsTwiceAtMost(t *testing.T) {
	for _, tt := range []struct{ method, path string }{
		{"GET", "/prices/poison"},
		{"POST", "/orders/poison"},
		{"POST", "/photos/poison"},
	} {
		t.Run(tt.path, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := startFleet(t, 2*time.Second)
			f.crashing(tt.path, 300*time.Millisecond)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			end := f.bystanders(ctx, 2*time.Millisecond)
			time.Sleep(50 * time.Millisecond)
			var last reply
			for n := range 3 * len(f.Ready.Callers) {
				last = f.send(t.Context(), n%len(f.Ready.Callers), tt.method, tt.path, []byte("poison"))
			}
			c.Assert(last.code, qt.Equals, "quarantined")
			c.Assert(last.ran, qt.Equals, "no")
			c.Assert(f.crashes() <= 2, qt.IsTrue, qt.Commentf("%d crashes", f.crashes()))
			time.Sleep(100 * time.Millisecond)
			cancel()
			sent, failed := end()
			t.Logf("%s: %d crashes, %d bystanders, failed %v", tt.path, f.crashes(), sent, failed)
			c.Assert(failed["422 quarantined"], qt.Equals, 0)
		})
	}
}
