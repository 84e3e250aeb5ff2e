package psselect_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// knowledge is what VMs know of the usual amounts of workspaces.
type knowledge int

const (
	// ignored lets each request be decided without regard to its workspace.
	ignored knowledge = iota
	// local lets VMs know what they observe themselves, and reported also what the others report.
	local
	reported
	// complete lets all VMs know all requests at once.
	complete
)

// beyondUsual reports whether a VM finds that a request exceeds the usual amount of its workspace.
func (p *replay) beyondUsual(k *kindResult, vm int, retry bool, at time.Time) bool {
	switch {
	case k.workspace == "" || p.load.knowledge == ignored:
		return false
	case p.load.knowledge == complete:
		vm = 0
	}
	return p.usages[vm].Observe(k.workspace, retry, at)
}

const (
	// domainVMs is the number of VMs that report to each other directly, as in a failure domain of a large fleet. Reports of the
	// others arrive digestDelay report intervals later, and as often.
	domainVMs   = 14
	digestDelay = 4
)

// exchangeUsages lets the VMs report to each other which workspaces they find busy.
func (p *replay) exchangeUsages(at time.Time) {
	if p.load.knowledge != reported {
		return
	}
	reports := make([][]string, len(p.usages))
	for i := range p.usages {
		reports[i] = p.usages[i].Busy(at)
	}
	p.busy = append(p.busy, reports)
	digest := len(p.busy) - 1 - digestDelay
	for i := range p.usages {
		for j := range p.usages {
			switch {
			case i == j:
			case i/domainVMs == j/domainVMs:
				p.usages[j].RecordPeer(fmt.Sprint("vm-", i), reports[i], at)
			case digest >= 0 && digest%digestDelay == 0:
				p.usages[j].RecordPeer(fmt.Sprint("vm-", i), p.busy[digest][i], at)
			}
		}
	}
}

const (
	// busyFactor is the ratio of what busy workspaces send to their usual amount, and busySpan how long they do.
	busyFactor = 8
	busySpan   = 5 * time.Second
	// usualLoad is the usual load, as a fraction of the capacity of all slots.
	usualLoad = 0.7
)

// workspaceLoad is a load of workspaces of which some are busy from a time on.
type workspaceLoad struct {
	load
	busy []bool
	from time.Duration
}

var allWorkspaceLoads = flag.Bool("psselect.allworkspaceloads", false, "replay all loads of workspaces, also those of 84 VMs")

// workspaceLoads returns loads for which slots become short.
func workspaceLoads() map[string]workspaceLoad {
	base := load{
		vms: 6, servers: 10, slots: 6, span: 12*time.Second + busySpan, run: 72 * time.Millisecond, objects: 50, cacheSize: 60,
		domains: 2, roundTrip: 3 * time.Millisecond, retries: true, queueLimit: 24, runSpread: 0.25, knowledge: reported,
	}
	list := make(map[string]workspaceLoad)
	add := func(factor float64, name string, classes ...int) {
		list[fmt.Sprintf("%s, load %.1f", name, factor)] = newWorkspaceLoad(base, factor, classes, 1)
	}
	add(1.3, "three classes", 4, 5, 4)
	add(2.5, "three classes", 4, 5, 4)
	if *allWorkspaceLoads {
		add(1.8, "three classes", 4, 5, 4)
		for _, factor := range []float64{1.3, 1.8, 2.5} {
			add(factor, "one class", 0, 13, 0)
		}
		// Each VM gets some 20 requests a second of 84 workspaces.
		l := base
		l.vms, l.servers, l.slots, l.objects, l.span = 84, 60, 3, 300, 20*time.Second+busySpan
		list["84 VMs, load 1.3"] = newWorkspaceLoad(l, 1.3, []int{28, 28, 28}, 3)
		list["84 VMs, load 2.5"] = newWorkspaceLoad(l, 2.5, []int{28, 28, 28}, 3)
	}
	return list
}

// newWorkspaceLoad returns a load of workspaces, of which classes gives the number by priority. For the last busySpan the load is
// a multiple of the capacity: the first busy workspaces of the second class send busyFactor times their usual amount, and then
// all send more or less as far as the multiple requires it.
func newWorkspaceLoad(l load, factor float64, classes []int, busy int) workspaceLoad {
	v := workspaceLoad{load: l, from: l.span - busySpan}
	all := 0
	for _, n := range classes {
		all += n
	}
	for priority, n := range classes {
		for i := range n {
			k := kind{priority: priority, fraction: 1 / float64(all), workspace: fmt.Sprint("workspace-", priority, "-", i)}
			isBusy := priority == 1 && i < busy
			if isBusy {
				k.bursts = []burst{{v.from, busyFactor}}
			}
			v.kinds, v.busy = append(v.kinds, k), append(v.busy, isBusy)
		}
	}
	v.perSecond = usualLoad * float64(l.servers*l.slots) / l.run.Seconds()
	v.bursts = []burst{{v.from, factor / usualLoad * float64(all) / float64(all+busy*(busyFactor-1))}}
	return v
}

// shortage is what came of the callers of workspaces during a shortage.
type shortage struct {
	// usual and busy are the served fractions of the workspaces of the second class, urgent and less those of the other classes.
	urgent, usual, busy, less float64
	// worstUsual and worst are the served fractions of the worst-served tenth of the usual workspaces of the second class, and
	// of all workspaces.
	worstUsual, worst float64
	// all is the served fraction of all requests, least that of the workspace for which it is lowest.
	all, least      float64
	inTarget, swing float64
}

func (s shortage) String() string {
	return fmt.Sprintf("served: urgent %.2f, usual %.2f (worst tenth %.2f), busy %.2f, less urgent %.2f, all %.2f; worst tenth of all %.2f; in target %.0f, deviation of the admitted fraction %.3f",
		s.urgent, s.usual, s.worstUsual, s.busy, s.less, s.all, s.worst, s.inTarget, s.swing)
}

// replayShortage replays a load with several seeds.
func replayShortage(l workspaceLoad, seeds uint64) shortage {
	list := make([]result, len(l.kinds))
	var v shortage
	for seed := range seeds {
		p := replayLoad(l.load, true, seed)
		for i, k := range p.kinds {
			for w := l.from / window; w < (l.span-window)/window; w++ {
				list[i].requests += float64(k.requests[w])
				list[i].served += float64(k.served[w])
				v.inTarget += float64(k.inTarget[w])
			}
		}
		v.swing += p.oscillation(l.from+time.Second, l.span-window) / float64(seeds)
	}
	var all, usual []float64
	var urgentSum, usualSum, busySum, lessSum, sum result
	for i, r := range list {
		fraction := r.served / r.requests
		all = append(all, fraction)
		sum.add(r)
		switch {
		case l.busy[i]:
			busySum.add(r)
		case l.kinds[i].priority == 0:
			urgentSum.add(r)
		case l.kinds[i].priority == 1:
			usualSum.add(r)
			usual = append(usual, fraction)
		default:
			lessSum.add(r)
		}
	}
	v.urgent, v.usual, v.busy, v.less, v.all = urgentSum.fraction(), usualSum.fraction(), busySum.fraction(), lessSum.fraction(), sum.fraction()
	v.worst, v.worstUsual, v.least = worstTenth(all), worstTenth(usual), slices.Min(all)
	return v
}

func (r *result) add(v result) {
	r.requests += v.requests
	r.served += v.served
}

func (r result) fraction() float64 { return r.served / max(1, r.requests) }

// worstTenth returns the mean of the lowest tenth of some numbers, of one at least.
func worstTenth(list []float64) float64 {
	slices.Sort(list)
	n := max(1, len(list)/10)
	sum := 0.0
	for _, v := range list[:n] {
		sum += v / float64(n)
	}
	return sum
}

// TestBusyWorkspacesYieldToOthersOfTheirClass guards against workspaces at eight times their usual amount that take the slots of
// others of their class, against such workspaces and less urgent ones that starve, against a busy workspace whose urgent requests
// yield to less urgent ones, against an admitted fraction that swings, and against all this costing responses in target.
func TestBusyWorkspacesYieldToOthersOfTheirClass(t *testing.T) {
	for name, l := range workspaceLoads() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			now := replayShortage(l, seeds)
			l.knowledge = ignored
			before := replayShortage(l, seeds)
			t.Logf("before: %s", before)
			t.Logf("now:    %s", now)
			gain, least := 0.05, 0.98
			if l.vms > 50 {
				// Most requests are rejected for queues that VMs don't see, whatever their place, and the replays differ by 5%.
				gain, least = 0.02, 0.9
			}
			qt.Check(t, now.usual >= before.usual+gain, qt.IsTrue)
			qt.Check(t, now.worstUsual >= before.worstUsual+gain/2, qt.IsTrue)
			qt.Check(t, now.usual >= now.busy+gain, qt.IsTrue)
			qt.Check(t, now.least >= now.all/4, qt.IsTrue)
			qt.Check(t, now.busy >= now.less, qt.IsTrue)
			qt.Check(t, now.inTarget >= least*before.inTarget, qt.IsTrue)
			qt.Check(t, now.swing <= 0.06, qt.IsTrue)
		})
	}
}
