package psclaim_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/pkg/errors"

	"persimmonstep/internal/request/psclaim"
	"persimmonstep/internal/request/psproblem"
	"persimmonstep/internal/version/psdoc"
)

// end is what becomes of a request that may run.
type end int

const (
	endFinish end = iota
	endRelease
	endAbandon
	// endCrash kills the VM while the request runs.
	endCrash
	endKinds
)

// call is one call of a caller.
type call struct {
	At    time.Duration
	VM    int
	Key   string
	End   end
	Takes time.Duration
}

var callGenerator = rapid.Custom(func(t *rapid.T) call {
	return call{
		At:    time.Duration(rapid.IntRange(0, 8000).Draw(t, "at")) * time.Millisecond,
		VM:    rapid.IntRange(0, 2).Draw(t, "vm"),
		Key:   rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key"),
		End:   end(rapid.IntRange(0, int(endKinds)-1).Draw(t, "end")),
		Takes: time.Duration(rapid.IntRange(0, 3000).Draw(t, "takes")) * time.Millisecond,
	}
})

// world carries out calls and collects what must not happen.
type world struct {
	fleet   fleet
	context context.Context
	next    func() fault

	mutex sync.Mutex
	vms   [3]*vm
	// births counts the processes so far.
	births int
	// active counts the dispatched requests of a key that have not ended.
	active map[string]int
	// ran counts the requests of a key that may have had an effect.
	ran map[string]int
	// answers holds the answer that was recorded for a key.
	answers  map[string]string
	crashed  bool
	failures []string
}

func (w *world) fail(format string, args ...any) {
	w.failures = append(w.failures, fmt.Sprintf(format, args...))
}

func (w *world) birth(i int) {
	w.births++
	v := w.fleet.start(w.context, psdoc.Name(fmt.Sprintf("vm%d", i)), fmt.Sprint(w.births))
	v.table.next = w.next
	w.vms[i] = v
}

// crash ends a process at once: nothing that it sends from now on arrives.
func (w *world) crash(i int, v *vm) {
	if w.vms[i] != v {
		return
	}
	w.crashed = true
	v.table.set(func() { v.table.dead = true })
	v.stop()
	w.birth(i)
}

func (w *world) do(n int, c call) {
	time.Sleep(c.At)
	w.mutex.Lock()
	v := w.vms[c.VM]
	w.mutex.Unlock()
	result, err := v.Begin(context.Background(), order(c.Key, "x"))
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch r := result.(type) {
	case nil:
		var p *psproblem.Problem
		if !errors.As(err, &p) || p.Ran == psproblem.RanNo && p.RetryAfter == 0 {
			w.fail("call %d: refusal %v", n, err)
		}
	case psclaim.Replay:
		if string(r.Answer.Body) != w.answers[c.Key] {
			w.fail("call %d: replay of %q, not %q", n, r.Answer.Body, w.answers[c.Key])
		}
	case psclaim.Run:
		w.run(n, c, v, r)
	}
}

// run lets the dispatched request end. The mutex is held.
func (w *world) run(n int, c call, v *vm, r psclaim.Run) {
	if w.ran[c.Key] > 0 || w.active[c.Key] > 0 {
		w.fail("call %d: key %s is dispatched again (ran %d, active %d)", n, c.Key, w.ran[c.Key], w.active[c.Key])
	}
	w.active[c.Key]++
	w.mutex.Unlock()
	time.Sleep(c.Takes)
	w.mutex.Lock()
	w.active[c.Key]--
	switch c.End {
	case endFinish:
		w.ran[c.Key]++
		w.answers[c.Key] = fmt.Sprint(n)
		r.Finish(psclaim.Answer{Status: 200, Body: fmt.Append(nil, n)})
	case endRelease:
		r.Release()
	case endAbandon:
		w.ran[c.Key]++
		r.Abandon()
	case endCrash:
		w.ran[c.Key]++
		w.crash(c.VM, v)
	}
}

// settle demands, after all faults have ended, that each key has its true end on every VM.
func (w *world) settle() {
	time.Sleep(time.Minute)
	w.next = nil
	for _, v := range w.vms {
		v.table.set(func() { v.table.next = nil })
	}
	time.Sleep(5 * time.Minute)
	for _, key := range []string{"k1", "k2"} {
		for _, v := range w.vms {
			w.judge(key, v)
		}
	}
}

func (w *world) judge(key string, v *vm) {
	result, err := v.Begin(context.Background(), order(key, "x"))
	var p *psproblem.Problem
	refused := errors.As(err, &p)
	switch r := result.(type) {
	case psclaim.Run:
		if w.ran[key] > 0 {
			w.fail("key %s ran and may run again", key)
		}
		r.Release()
		time.Sleep(time.Minute)
	case psclaim.Replay:
		if string(r.Answer.Body) != w.answers[key] {
			w.fail("key %s: replay of %q, not %q", key, r.Answer.Body, w.answers[key])
		}
	default:
		switch {
		case !refused:
			w.fail("key %s: %v", key, err)
		case p.Ran == psproblem.RanNo:
			w.fail("key %s: refused as not run without a fault: %v", key, err)
		case w.ran[key] == 0 && !w.crashed:
			w.fail("key %s never ran and cannot run: %v", key, err)
		}
	}
}

// TestAtMostOnce runs calls on three VMs over faults, repeats and crashes: no key runs
// twice, a replay is the answer of the run, and a key that certainly did not run can run.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		calls := rapid.SliceOfN(callGenerator, 2, 14).Draw(rt, "calls")
		seed := rapid.Uint64().Draw(rt, "seed")
		// faulty is the percentage of calls to the table that meet a fault.
		faulty := rapid.IntRange(0, 70).Draw(rt, "faulty")
		var failures []string
		synctest.Test(t, func(*testing.T) { failures = runWorld(calls, seed, faulty) })
		if len(failures) > 0 {
			rt.Fatalf("%v", failures)
		}
	})
}

func runWorld(calls []call, seed uint64, faulty int) []string {
	random := rand.New(rand.NewPCG(seed, 1))
	var lock sync.Mutex
	ctx, stop := context.WithCancel(context.Background())
	w := &world{context: ctx, active: make(map[string]int), ran: make(map[string]int), answers: make(map[string]string)}
	w.fleet.gone = make(map[string]bool)
	w.next = func() fault {
		lock.Lock()
		defer lock.Unlock()
		if random.IntN(100) >= faulty {
			return faultNone
		}
		return fault(1 + random.IntN(int(faultKinds)-1))
	}
	for i := range w.vms {
		w.birth(i)
	}
	var calling sync.WaitGroup
	for n, c := range calls {
		calling.Go(func() { w.do(n, c) })
	}
	calling.Wait()
	w.settle()
	stop()
	w.fleet.running.Wait()
	w.fleet.late.Wait()
	return w.failures
}
