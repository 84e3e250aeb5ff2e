// Package pssoak_test is a soak test with fault injection. It runs the VMs as separate processes and
// injects random faults from outside: restarts, paused processes, network faults, drains, a store
// restored from an older snapshot, and servers that limit their requests. It checks the guarantees from
// the view of callers and backend servers. A seed determines the sequence of faults.
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

	"persimmonstep/internal/process/pslimit"
	"persimmonstep/internal/process/psserver"
)

var (
	firstSeed     = flag.Uint64("soak.seed", 1, "the first seed")
	seeds         = flag.Int("soak.seeds", 1, "the number of seeds")
	faultDuration = flag.Duration("soak.span", 6*time.Second, "how long faults are injected for each seed")
	earlierBinary = flag.String("soak.earlier", "", "the path of an earlier binary, which some VMs run at first and after some restarts")
	logDirectory  = flag.String("soak.keep", "", "the directory in which the logs of failed seeds are saved")
)

// limitChanges is the number of limits that a server names one after the other, for at least limitDuration together.
const (
	limitChanges  = 3
	limitDuration = 8 * time.Second
)

// callerCount is the number of callers that send at the same time.
const callerCount = 12

// regressions are seeds that failed in the past, each with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{34036, "the soak took a paused process for a running one after a reload signal, and stopped it"},
}

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

// buildBinary builds the program and returns the path of the binary.
func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "persimmonstep")
	out, err := exec.Command("go", "build", "-o", binary, "persimmonstep/cmd/persimmonstep").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return binary
}

func soak(t *testing.T, binary string, seed uint64) {
	counts := &runs{count: map[string]int{}}
	cl := newCluster(t, binary, counts)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wait sync.WaitGroup
	list := make([]*caller, callerCount)
	for i := range list {
		list[i] = newCaller(cl, counts, i, seed)
		wait.Go(func() { list[i].run(ctx) })
	}
	time.Sleep(time.Second)
	cl.injectFaults(seed)
	cl.clearFaults()
	cl.checkServed(list)
	stop()
	wait.Wait()
	cl.checkLimits()
	var served, rejected, failed int64
	for _, c := range list {
		served, rejected, failed = served+c.served.Load(), rejected+c.rejected.Load(), failed+c.failed.Load()
	}
	t.Logf("seed %d: %d served, %d rejected, %d failed", seed, served, rejected, failed)
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	for _, f := range cl.violations {
		t.Errorf("seed %d: %s", seed, f)
	}
	if t.Failed() {
		cl.keepLogs(seed)
	}
}

// keepLogs copies the VMs' logs to the directory of the flag soak.keep.
func (cl *cluster) keepLogs(seed uint64) {
	if *logDirectory == "" {
		return
	}
	for _, p := range cl.vms {
		data, err := os.ReadFile(p.log)
		if err == nil {
			err = os.WriteFile(filepath.Join(*logDirectory, fmt.Sprintf("%d-%s.log", seed, p.name)), data, 0o600)
		}
		qt.Check(cl.t, err, qt.IsNil)
	}
}

// injectFaults injects random faults one after the other. Each lasts for a while, so that they overlap.
func (cl *cluster) injectFaults(seed uint64) {
	random := rand.New(rand.NewPCG(seed, seed))
	var wait sync.WaitGroup
	for end := time.Now().Add(*faultDuration); time.Now().Before(end); {
		fault := random.IntN(13)
		vm, server := cl.vms[random.IntN(len(cl.vms))], cl.servers[random.IntN(len(cl.servers))]
		span := time.Duration(200+random.IntN(1500)) * time.Millisecond
		m := []mode{delayed, reset, blackholed, responsesDropped}[random.IntN(4)]
		wait.Go(func() { cl.injectFault(fault, vm, server, span, m) })
		time.Sleep(time.Duration(100+random.IntN(500)) * time.Millisecond)
	}
	wait.Wait()
}

// injectFault injects the fault with a number into a VM, a server or the store, and ends it after the span.
func (cl *cluster) injectFault(fault int, vm *process, s *server, span time.Duration, m mode) {
	switch fault {
	case 0, 1:
		cl.restart(vm, syscall.SIGTERM)
	case 2:
		cl.restart(vm, syscall.SIGKILL)
	case 3:
		vm.signal(syscall.SIGSTOP)
		time.Sleep(span)
		vm.signal(syscall.SIGCONT)
	case 4:
		vm.signal(syscall.SIGHUP)
	case 5:
		cl.disruptStore(span, m)
	case 6, 7:
		s.proxy.set(m)
		time.Sleep(span)
		s.proxy.set(pass)
	case 8:
		cl.configure(span > time.Second)
	case 9:
		s.register(psserver.Draining)
		time.Sleep(drainBound + 2*time.Second)
		s.register(psserver.Ready)
	case 10:
		cl.restoreStore(span)
	case 11, 12:
		cl.limitServer(s, span)
	}
}

// limitServer makes a server name limits for some seconds, which change after each span. The limits are a small part of
// the load, or 0.
func (cl *cluster) limitServer(s *server, span time.Duration) {
	defer s.setLimit(pslimit.Limit{})
	for i := range limitChanges {
		s.setLimit(pslimit.Limit{Named: true, PerSecond: float64(int(span.Milliseconds())*(i+1)%4) * 2.5})
		time.Sleep(max(span, limitDuration/limitChanges))
	}
}

// restoreStore restores the store from a snapshot of the given age. A second later, servers and the
// operator rewrite what the store lost. It is not recorded as a disruption, because VMs keep the state that
// they had, and all guarantees hold during a restore.
func (cl *cluster) restoreStore(age time.Duration) {
	snapshot := cl.store.Snapshot()
	time.Sleep(age)
	cl.store.Restore(snapshot)
	time.Sleep(time.Second)
	for _, s := range cl.servers {
		s.rewriteEntry()
	}
	cl.mutex.Lock()
	secondKeyValid := cl.revoked.IsZero()
	cl.mutex.Unlock()
	cl.configure(secondKeyValid)
}

// disruptStore injects a network fault between the VMs and the store, and records it as a disruption.
func (cl *cluster) disruptStore(span time.Duration, m mode) {
	record := func() {
		cl.mutex.Lock()
		defer cl.mutex.Unlock()
		cl.lastStoreFault = time.Now()
	}
	record()
	cl.storeProxy.set(m)
	time.Sleep(span)
	cl.storeProxy.set(pass)
	record()
}

// restart ends a process with a signal and starts it again. It reports a violation if the process takes
// longer than graceBound to end, with a margin of 1 s.
func (cl *cluster) restart(p *process, s syscall.Signal) {
	p.mutex.Lock()
	// Two restarts of one process must not overlap, and a paused process can't shut down in time.
	if p.command == nil || p.paused {
		p.mutex.Unlock()
		return
	}
	c, ended := p.command, p.ended
	p.command = nil
	p.disruptions = append(p.disruptions, time.Now())
	p.mutex.Unlock()
	_ = c.Process.Signal(s)
	select {
	case <-ended:
	case <-time.After(graceBound + time.Second):
		cl.reportViolation("%s did not end within %s after signal %d", p.name, graceBound+time.Second, s)
		_ = c.Process.Kill()
		<-ended
	}
	p.start(cl.t, cl.nextBinary())
}

// clearFaults ends all faults.
func (cl *cluster) clearFaults() {
	cl.storeProxy.set(pass)
	for _, s := range cl.servers {
		s.proxy.set(pass)
		s.register(psserver.Ready)
		s.setLimit(pslimit.Limit{})
	}
	for _, p := range cl.vms {
		p.signal(syscall.SIGCONT)
	}
	cl.configure(true)
}

// checkServed checks that callers are served again within 4 s after the last fault.
func (cl *cluster) checkServed(list []*caller) {
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
		cl.reportViolation("only %d requests were served in 2 s after the end of all faults", n)
	}
}
