package psusage_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/request/psusage"
)

const second = time.Second

// vm sends requests of workspaces to one VM at random times.
type vm struct {
	usage  psusage.Usage
	now    time.Time
	random *rand.Rand
}

func newVM(seed uint64) *vm {
	return &vm{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1))}
}

// play sends each workspace's number of requests a second for a time. It returns the marked fraction of each workspace's
// requests from half of that time on.
func (v *vm) play(span time.Duration, rates []float64) []float64 {
	sum := 0.0
	for _, r := range rates {
		sum += r
	}
	marked, all := make([]float64, len(rates)), make([]float64, len(rates))
	end := v.now.Add(span)
	for half := v.now.Add(span / 2); v.now.Before(end); v.now = v.now.Add(time.Duration(v.random.ExpFloat64() / sum * float64(second))) {
		left := v.random.Float64() * sum
		for i, r := range rates {
			if left -= r; left >= 0 {
				continue
			}
			m := v.usage.Observe(fmt.Sprint(i), false, v.now)
			if v.now.After(half) {
				all[i]++
				if m {
					marked[i]++
				}
			}
			break
		}
	}
	for i := range marked {
		marked[i] /= max(1, all[i])
	}
	return marked
}

// rates returns the same rate for a number of workspaces, of which the first one's is multiplied.
func rates(n int, each, first float64) []float64 {
	list := make([]float64, n)
	for i := range list {
		list[i] = each
	}
	list[0] *= first
	return list
}

func mean(list []float64) float64 {
	sum := 0.0
	for _, v := range list {
		sum += v / float64(len(list))
	}
	return sum
}

// TestBusyWorkspaceIsMarked guards against a busy workspace that a VM doesn't find although it gets only 20 requests a second of
// 84 workspaces, against one that becomes usual within seconds, and against others that are marked by chance.
func TestBusyWorkspaceIsMarked(t *testing.T) {
	for factor, least := range map[float64]float64{5: 0.2, 8: 0.45} {
		busy, others := 0.0, 0.0
		const seeds = 10
		for seed := range uint64(seeds) {
			v := newVM(seed)
			usual := v.play(40*second, rates(84, 0.25, 1))
			list := v.play(20*second, rates(84, 0.25, factor))
			busy += list[0] / seeds
			others += max(mean(usual), mean(list[1:])) / seeds
		}
		t.Logf("at %.0f times the usual amount: marked %.2f of the busy workspace's requests, %.3f of the others'", factor, busy, others)
		qt.Check(t, busy >= least, qt.IsTrue)
		qt.Check(t, others <= 0.03, qt.IsTrue)
	}
}

// TestVMsFindBusyWorkspaceTogether guards against busy workspaces that too few VMs report for the others to follow, and against
// usual ones that VMs report by chance, when each VM gets 20 requests a second of 84 workspaces.
func TestVMsFindBusyWorkspaceTogether(t *testing.T) {
	for factor, least := range map[float64]float64{5: 0.35, 8: 0.6} {
		found, chance := 0.0, 0.0
		const vms = 300
		for seed := range uint64(vms) {
			v := newVM(seed)
			v.play(40*second, rates(84, 0.25, 1))
			chance += float64(len(v.usage.Busy(v.now))) / 84 / vms
			v.play(3*second, rates(84, 0.25, factor))
			if slices.Contains(v.usage.Busy(v.now), "0") {
				found += 1.0 / vms
			}
		}
		t.Logf("at %.0f times the usual amount: %.2f of the VMs, %.4f by chance", factor, found, chance)
		qt.Check(t, found >= least, qt.IsTrue)
		qt.Check(t, chance <= 0.015, qt.IsTrue)
	}
}

// TestWaveOfAllWorkspacesIsUsual guards against requests that are marked because all callers send more, as when callers of
// another failure domain come.
func TestWaveOfAllWorkspacesIsUsual(t *testing.T) {
	v := newVM(1)
	v.play(40*second, rates(84, 0.25, 1))
	qt.Check(t, mean(v.play(10*second, rates(84, 1, 1))) <= 0.03, qt.IsTrue)
}

// TestLargeWorkspaceIsUsual guards against a workspace that is marked because it always sends more than others, or because it
// sends half as much again for a while.
func TestLargeWorkspaceIsUsual(t *testing.T) {
	v := newVM(1)
	v.play(40*second, rates(10, 2, 10))
	qt.Check(t, v.play(20*second, rates(10, 2, 10))[0], qt.Equals, 0.0)
	qt.Check(t, v.play(20*second, rates(10, 2, 15))[0] <= 0.05, qt.IsTrue)
}

// TestStartedVMMarksNothing guards against a VM that judges workspaces before it knows any usual amount.
func TestStartedVMMarksNothing(t *testing.T) {
	v := newVM(1)
	v.play(second, rates(10, 1, 1))
	for _, m := range v.play(8*second, rates(10, 1, 50)) {
		qt.Check(t, m, qt.Equals, 0.0)
	}
}

// TestNewWorkspaceIsAssumedAverage guards against a workspace that is marked because its callers were at other VMs before.
func TestNewWorkspaceIsAssumedAverage(t *testing.T) {
	v := newVM(1)
	known := rates(10, 2, 0)
	v.play(40*second, known)
	qt.Check(t, v.play(4*second, rates(10, 2, 1))[0] <= 0.1, qt.IsTrue)
}

// TestOnlyWorkspaceIsNeverMarked guards against an order among the requests of a deployment with a single workspace.
func TestOnlyWorkspaceIsNeverMarked(t *testing.T) {
	v := newVM(1)
	v.play(40*second, []float64{10})
	qt.Check(t, v.play(20*second, []float64{100})[0], qt.Equals, 0.0)
}

// TestLastingChangeBecomesUsual guards against a workspace that has grown and yields for ever.
func TestLastingChangeBecomesUsual(t *testing.T) {
	v := newVM(1)
	v.play(40*second, rates(10, 2, 1))
	qt.Check(t, v.play(20*second, rates(10, 2, 8))[0] >= 0.9, qt.IsTrue)
	v.play(180*second, rates(10, 2, 8))
	qt.Check(t, v.play(20*second, rates(10, 2, 8))[0] <= 0.1, qt.IsTrue)
}

// TestRetriesDoNotMakeWorkspaceBusy guards against a workspace that stays marked because its callers are rejected and retry.
func TestRetriesDoNotMakeWorkspaceBusy(t *testing.T) {
	v := newVM(1)
	v.play(40*second, rates(10, 2, 1))
	for range 100 {
		qt.Assert(t, v.usage.Observe("0", true, v.now), qt.IsFalse)
	}
}

// TestReportsOfOtherVMsCount guards against VMs that treat a workspace as usual which most others find busy, against a workspace
// that is marked because one VM is misled by chance, and against reports that count for ever after all other VMs have fallen
// silent.
func TestReportsOfOtherVMsCount(t *testing.T) {
	v := newVM(1)
	v.play(5*second, rates(10, 2, 1))
	marked := func() bool { return v.usage.Observe("0", true, v.now) }
	report := func(busy ...string) {
		for i := range 20 {
			if i < len(busy) {
				v.usage.RecordPeer(fmt.Sprint("vm-", i), busy[i:i+1], v.now)
			} else {
				v.usage.RecordPeer(fmt.Sprint("vm-", i), nil, v.now)
			}
		}
	}
	report("0")
	qt.Check(t, marked(), qt.IsFalse)
	report("0", "0", "0", "0", "unknown")
	qt.Check(t, marked(), qt.IsFalse)
	report("0", "0", "0", "0", "0", "0", "0", "0", "unknown")
	qt.Check(t, marked(), qt.IsTrue)
	qt.Check(t, v.usage.Amounts(v.now)["0"].Beyond > 0.99, qt.IsTrue)
	report()
	qt.Check(t, marked(), qt.IsFalse)
	report("0", "0", "0", "0", "0", "0", "0", "0")
	qt.Check(t, marked(), qt.IsTrue)
	v.now = v.now.Add(11 * second)
	qt.Check(t, marked(), qt.IsFalse)
	qt.Check(t, marked(), qt.IsFalse)
}

// TestOwnObservationOutweighsReports guards against a VM that gets many requests of a workspace and marks them because the
// workspace sends more than usual to other VMs.
func TestOwnObservationOutweighsReports(t *testing.T) {
	v := newVM(1)
	v.play(40*second, rates(10, 20, 1))
	for i := range 20 {
		v.usage.RecordPeer(fmt.Sprint("vm-", i), []string{"0"}, v.now)
	}
	qt.Check(t, v.usage.Amounts(v.now)["0"].Beyond <= 0.1, qt.IsTrue)
}

// TestBusyWorkspacesAreReported guards against reports that name workspaces as busy which send their usual amount, or omit one
// that is.
func TestBusyWorkspacesAreReported(t *testing.T) {
	v := newVM(1)
	v.play(40*second, rates(10, 2, 1))
	qt.Check(t, v.usage.Busy(v.now), qt.HasLen, 0)
	v.play(5*second, rates(10, 2, 8))
	qt.Check(t, v.usage.Busy(v.now), qt.DeepEquals, []string{"0"})
}

// TestOddReportsAreCountedOnce guards against reports that name a workspace more than once, which would count as several VMs.
func TestOddReportsAreCountedOnce(t *testing.T) {
	v := newVM(1)
	v.play(5*second, rates(10, 2, 1))
	v.usage.RecordPeer("vm-1", []string{"0", "0", "0"}, v.now)
	v.usage.RecordPeer("vm-2", []string{"unknown", "unknown"}, v.now)
	qt.Check(t, v.usage.Observe("0", true, v.now), qt.IsFalse)
	v.usage.RecordPeer("vm-2", []string{"0"}, v.now)
	qt.Check(t, v.usage.Observe("0", true, v.now), qt.IsTrue)
}

// BenchmarkObserve measures what a request costs at a VM with 84 workspaces.
func BenchmarkObserve(b *testing.B) {
	v := newVM(1)
	v.play(40*second, rates(84, 0.25, 1))
	names := make([]string, 84)
	for i := range names {
		names[i] = fmt.Sprint(i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		v.now = v.now.Add(50 * time.Millisecond)
		v.usage.Observe(names[i%len(names)], false, v.now)
	}
}

// BenchmarkReport measures what a VM's own report, and the reports of 13 others in the same time, cost.
func BenchmarkReport(b *testing.B) {
	v := newVM(1)
	v.play(40*second, rates(84, 0.25, 1))
	b.ReportAllocs()
	for b.Loop() {
		v.now = v.now.Add(50 * time.Millisecond)
		v.usage.Busy(v.now)
		for i := range 13 {
			v.usage.RecordPeer(fmt.Sprint("vm-", i), []string{"1", "2"}, v.now)
		}
	}
}
