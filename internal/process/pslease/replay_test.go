package pslease_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/version/psconfig"
)

const (
	// replayVMs and hotWorkspace are those of a day on which callers were refused within their rate.
	replayVMs = 84
	// usualRatio and hotRatio are the ratios of demand to rate at usual times, and of a workspace that sends eight times as much.
	usualRatio = 0.38
	hotRatio   = 8 * usualRatio
	// used is the least fraction of a rate that must be granted while callers ask for more, and served that of requests within the
	// rate.
	used   = 0.9
	served = 0.99
)

var hotWorkspace = psconfig.Workspace{Name: "trays", Rate: 1539, Burst: 1539}

// replay sends the requests of one workspace to the VMs of a model.
type replay struct {
	*model
	workspace psconfig.Workspace
	grants    *grants
	// most is the highest number of grants in a window.
	most int
}

func newReplay(vms int, w psconfig.Workspace) *replay {
	return &replay{model: newModel(*modelSeed, vms, w), workspace: w, grants: newGrants([]psconfig.Workspace{w})}
}

// play plays some time, in which demand returns the requests per second at each VM. It returns the requests and how many of them
// were granted.
func (r *replay) play(d time.Duration, demand func(vm int) float64) (asked, granted int) {
	for range d / modelStep {
		for _, v := range r.vms {
			v.demands = v.tokens.Demands(r.now)
		}
		r.step()
		n, g := r.request(demand)
		r.grants.add([]int{g})
		r.most = max(r.most, r.grants.sums[0])
		asked, granted = asked+n, granted+g
	}
	return asked, granted
}

// request sends the requests of one step.
func (r *replay) request(demand func(vm int) float64) (asked, granted int) {
	for i, v := range r.vms {
		if !v.running || v.isNew(r.now) {
			continue
		}
		for range r.arrivals(demand(i) * modelStep.Seconds()) {
			asked++
			if v.take(r.workspace.Name) {
				granted++
			}
		}
	}
	return asked, granted
}

// readyTimeout is how long a VM that was added waits until it can borrow.
const readyTimeout = 6 * time.Second

// isNew reports whether a VM takes no callers yet, because it was added and can't borrow so far.
func (v *modelVM) isNew(now time.Time) bool {
	return v.book.Guest() && v.snapshot.Holding.Total() <= 0 && now.Sub(v.startedAt) < readyTimeout
}

// arrivals returns a random number of arrivals with a mean.
func (r *replay) arrivals(mean float64) int {
	n, p := 0, r.random.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= r.random.Float64()
	}
	return n
}

// checkWindows checks that no window has more grants than the limit allows.
func (r *replay) checkWindows(t *testing.T) {
	t.Helper()
	t.Logf("%d granted in a window, %.0f allowed", r.most, bound(r.workspace))
	qt.Check(t, float64(r.most) <= bound(r.workspace), qt.IsTrue)
}

// checkUsed checks that most of the rate is granted in each of some seconds, in which callers ask for more.
func (r *replay) checkUsed(t *testing.T, seconds int, demand func(vm int) float64) {
	t.Helper()
	least := math.MaxInt
	for n := range seconds {
		_, granted := r.play(time.Second, demand)
		least = min(least, granted)
		qt.Check(t, float64(granted) >= used*r.workspace.Rate, qt.IsTrue, qt.Commentf("second %d: %d of %g granted", n, granted, r.workspace.Rate))
	}
	t.Logf("at least %d of %g granted in a second", least, r.workspace.Rate)
}

// checkServed checks that nearly all requests are granted in each of some seconds, in which callers stay within the rate.
func (r *replay) checkServed(t *testing.T, seconds int, demand func(vm int) float64) {
	t.Helper()
	for n := range seconds {
		asked, granted := r.play(time.Second, demand)
		qt.Check(t, float64(granted) >= served*float64(asked), qt.IsTrue, qt.Commentf("second %d: %d of %d granted", n, granted, asked))
	}
}

// spread returns the demand at each VM of a replay, of a number of times the rate over all VMs.
type spread func(r *replay, ratio float64) func(vm int) float64

// even spreads the demand evenly.
func even(r *replay, ratio float64) func(int) float64 {
	return func(int) float64 { return ratio * r.workspace.Rate / float64(len(r.vms)) }
}

// byRegion spreads the demand by region, by up to 55% above or below the mean.
func byRegion(r *replay, ratio float64) func(int) float64 {
	return func(vm int) float64 { return even(r, ratio)(vm) * (0.45 + 0.55*float64(vm%3)) }
}

var spreads = map[string]spread{"even": even, "by region": byRegion}

// cutOff cuts VMs off from the others.
func (r *replay) cutOff(off func(vm int) bool) {
	for a := range r.vms {
		for b := range r.vms {
			r.cut[[2]int{a, b}] = off(a) != off(b)
		}
	}
}

// TestEachSideOfCutGrantsWholeRate guards against both sides of a cut granting a workspace's whole rate once they have not heard
// each other for some time. See docs/incidents/each-side-of-a-cut-quota.md.
func TestEachSideOfCutGrantsWholeRate(t *testing.T) {
	t.Parallel()
	r := newReplay(9, psconfig.Workspace{Name: "trays", Rate: 249, Burst: 249})
	r.play(startSpan, even(r, 0))
	r.play(2*time.Second, even(r, usualRatio))
	r.cutOff(func(vm int) bool { return vm%6 == 1 })
	r.play(4500*time.Millisecond, even(r, usualRatio))
	r.play(13500*time.Millisecond, even(r, hotRatio))
	clear(r.cut)
	r.play(5*time.Second, even(r, hotRatio))
	r.checkWindows(t)
}

// TestCutStopsGrowthOfShares guards against refusals within the rate while VMs are cut off from each other: a workspace sends
// eight times its usual while 29 of 84 VMs, two failure domains and one of a third, don't hear the others for 12 s.
func TestCutStopsGrowthOfShares(t *testing.T) {
	t.Parallel()
	for name, spread := range spreads {
		t.Run(name, func(t *testing.T) {
			byHand(t, name == "even")
			t.Parallel()
			r := newReplay(replayVMs, hotWorkspace)
			r.play(startSpan, even(r, 0))
			r.play(8*time.Second, spread(r, usualRatio))
			r.cutOff(func(vm int) bool { return vm%6 < 2 || vm == 2 })
			r.play(time.Second, spread(r, usualRatio))
			r.checkUsed(t, 11, spread(r, hotRatio))
			clear(r.cut)
			r.checkUsed(t, 6, spread(r, hotRatio))
			r.checkWindows(t)
		})
	}
}

// TestFirstCallersFindFloor guards against refusals within the rate in the first seconds of traffic, when VMs know of each
// other's demands before their own count.
func TestFirstCallersFindFloor(t *testing.T) {
	t.Parallel()
	for name, spread := range spreads {
		t.Run(name, func(t *testing.T) {
			byHand(t, name == "even")
			t.Parallel()
			r := newReplay(replayVMs, hotWorkspace)
			r.play(startSpan, even(r, 0))
			r.checkServed(t, 8, spread(r, 0.6))
			r.checkUsed(t, 6, spread(r, 3))
			r.checkWindows(t)
		})
	}
}

// suddenVMs and suddenWorkspace are those of a replay in which a workspace suddenly sends many times its usual rate.
const suddenVMs = 74

var suddenWorkspace = psconfig.Workspace{Name: "trays", Rate: 656, Burst: 656}

// TestSuddenOverloadGetsTheRate guards against shares that fall when all VMs get more callers at once, because each VM knows the
// demands of the others before its own counts.
func TestSuddenOverloadGetsTheRate(t *testing.T) {
	t.Parallel()
	for _, factor := range []float64{3, 5.7, 11} {
		t.Run(fmt.Sprintf("%v times", factor), func(t *testing.T) {
			byHand(t, factor != 5.7)
			t.Parallel()
			r := newReplay(suddenVMs, suddenWorkspace)
			r.play(startSpan, even(r, 0))
			r.play(8*time.Second, even(r, usualRatio))
			r.checkUsed(t, 12, even(r, factor*usualRatio))
			r.checkWindows(t)
		})
	}
}

// TestRequestsWithinTheRateAreGranted guards against refusals of a workspace that sends half of its rate to many VMs. Each sees
// four requests a second, so that chance moves its demand.
func TestRequestsWithinTheRateAreGranted(t *testing.T) {
	t.Parallel()
	for name, spread := range spreads {
		t.Run(name, func(t *testing.T) {
			byHand(t, name == "even")
			t.Parallel()
			r := newReplay(suddenVMs, suddenWorkspace)
			r.play(startSpan, even(r, 0))
			r.play(time.Second, spread(r, 0.45))
			r.checkRefusals(t, "within the rate", 19*time.Second, 0.005, spread(r, 0.45))
		})
	}
}
