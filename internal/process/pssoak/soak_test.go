// Package pssoak_test runs the real programs as processes of their own and harms them from
// outside, in an order that a seed draws. It checks the promises from what callers and
// backend servers see.
package pssoak_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psserver"
)

var (
	firstSeed     = flag.Uint64("soak.seed", 1, "the first seed")
	seeds         = flag.Int("soak.seeds", 1, "the number of seeds")
	faultDuration = flag.Duration("soak.span", 6*time.Second, "how long faults come for each seed")
	logDirectory  = flag.String("soak.keep", "", "a directory for the logs of seeds that fail")
)

// callers is the number of callers that send at the same time.
const callerCount = 12

// regressions are seeds that failed once.
var regressions = []struct {
	seed  uint64
	cause string
}{}

func TestSoak(t *testing.T) {
	binary := buildBinary(t)
	for _, r := range regressions {
		t.Run(fmt.Sprintf("regression-%d", r.seed), func(t *testing.T) { soak(t, binary, r.seed) })
	}
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { soak(t, binary, seed) })
	}
}

// build builds the program.
func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "persimmonstep")
	out, err := exec.Command("go", "build", "-o", binary, "persimmonstep/cmd/persimmonstep").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return binary
}

func soak(t *testing.T, binary string, seed uint64) {
	all := &runs{count: map[string]int{}}
	w := newCluster(t, binary, all)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wait sync.WaitGroup
	list := make([]*caller, callerCount)
	for i := range list {
		list[i] = newCaller(w, all, i, seed)
		wait.Go(func() { list[i].run(ctx) })
	}
	time.Sleep(time.Second)
	w.injectFaults(seed)
	w.clearFaults()
	w.checkServed(list)
	stop()
	wait.Wait()
	var served, refused, failed int64
	for _, c := range list {
		served, refused, failed = served+c.served.Load(), refused+c.refused.Load(), failed+c.failed.Load()
	}
	t.Logf("seed %d: %d served, %d refused, %d failed", seed, served, refused, failed)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, f := range w.findings {
		t.Errorf("seed %d: %s", seed, f)
	}
	if t.Failed() {
		w.keepLogs(seed)
	}
}

// keepLogs copies the VMs' logs to where they outlive the test.
func (w *cluster) keepLogs(seed uint64) {
	if *logDirectory == "" {
		return
	}
	for _, p := range w.vms {
		data, err := os.ReadFile(p.log)
		if err == nil {
			err = os.WriteFile(filepath.Join(*logDirectory, fmt.Sprintf("%d-%s.log", seed, p.name)), data, 0o600)
		}
		qt.Check(w.t, err, qt.IsNil)
	}
}

// harm injects faults one after the other; each lasts for a while, so that they overlap.
func (w *cluster) injectFaults(seed uint64) {
	random := rand.New(rand.NewPCG(seed, seed))
	var wait sync.WaitGroup
	for end := time.Now().Add(*faultDuration); time.Now().Before(end); {
		fault := random.IntN(11)
		vm, server := w.vms[random.IntN(len(w.vms))], w.servers[random.IntN(len(w.servers))]
		lasts := time.Duration(200+random.IntN(1500)) * time.Millisecond
		how := []mode{delayed, reset, blackholed, responsesDropped}[random.IntN(4)]
		wait.Go(func() { w.injectFault(fault, vm, server, lasts, how) })
		time.Sleep(time.Duration(100+random.IntN(500)) * time.Millisecond)
	}
	wait.Wait()
}

func (w *cluster) injectFault(fault int, vm *process, s *server, span time.Duration, how mode) {
	switch fault {
	case 0, 1:
		w.restart(vm, syscall.SIGTERM)
	case 2:
		w.restart(vm, syscall.SIGKILL)
	case 3:
		vm.signal(syscall.SIGSTOP)
		time.Sleep(span)
		vm.signal(syscall.SIGCONT)
	case 4:
		vm.signal(syscall.SIGHUP)
	case 5:
		w.disruptStore(span, how)
	case 6, 7:
		s.proxy.set(how)
		time.Sleep(span)
		s.proxy.set(pass)
	case 8:
		w.configure(span > time.Second)
	case 9:
		s.register(psserver.Draining)
		time.Sleep(drainBound + 2*time.Second)
		s.register(psserver.Ready)
	case 10:
		w.restoreStore(span)
	}
}

// restoreStore lets the store come back from a copy of some time ago. A second later servers and operator
// have written again what it lost. It excuses nothing: what VMs knew stays as it is.
func (w *cluster) restoreStore(age time.Duration) {
	kept := w.store.Copy()
	time.Sleep(age)
	w.store.Restore(kept)
	time.Sleep(time.Second)
	for _, s := range w.servers {
		s.rewriteEntry()
	}
	w.mutex.Lock()
	second := w.revoked.IsZero()
	w.mutex.Unlock()
	w.configure(second)
}

func (w *cluster) disruptStore(span time.Duration, how mode) {
	note := func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.lastStoreFault = time.Now()
	}
	note()
	w.storeProxy.set(how)
	time.Sleep(span)
	w.storeProxy.set(pass)
	note()
}

// restart ends a process and starts it again. A process that was asked to stop ends in its grace time.
func (w *cluster) restart(p *process, s syscall.Signal) {
	p.mutex.Lock()
	// Two restarts of one process don't overlap, and a stopped process can't leave in time.
	if p.command == nil || p.paused {
		p.mutex.Unlock()
		return
	}
	c, ended := p.command, p.ended
	p.command = nil
	p.disturbed = time.Now()
	p.mutex.Unlock()
	_ = c.Process.Signal(s)
	select {
	case <-ended:
	case <-time.After(graceBound + time.Second):
		w.reportViolation("%s has not ended %s after signal %d", p.name, graceBound+time.Second, s)
		_ = c.Process.Kill()
		<-ended
	}
	p.start(w.t, w.binary)
}

// heal ends all faults.
func (w *cluster) clearFaults() {
	w.storeProxy.set(pass)
	for _, s := range w.servers {
		s.proxy.set(pass)
		s.register(psserver.Ready)
	}
	for _, p := range w.vms {
		p.signal(syscall.SIGCONT)
	}
	w.configure(true)
}

// checkServed checks that callers are served again soon after the last fault.
func (w *cluster) checkServed(list []*caller) {
	count := func() (served int64) {
		for _, c := range list {
			served += c.served.Load()
		}
		return served
	}
	time.Sleep(4 * time.Second)
	before := count()
	time.Sleep(2 * time.Second)
	if n := count() - before; n < 2*callerCount {
		w.reportViolation("%d requests served in 2 s after all faults", n)
	}
}
