package psrate_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"
	"pgregory.net/rapid"

	"persimmonstep/internal/process/psrate"
)

const (
	window        = 5 * time.Second
	tolerance     = 1.1
	slack         = 20
	step          = 10 * time.Millisecond
	simulatedSpan = 20 * time.Second
	// exchangeInterval is the time between two reports of a small fleet.
	exchangeInterval = 250 * time.Millisecond
)

// grants counts the granted requests of each step.
type grants []int

// maxInWindow returns the highest number of grants in any window.
func (g grants) maxInWindow() int {
	n := int(window / step)
	sum, most := 0, 0
	for i, v := range g {
		sum += v
		if i >= n {
			sum -= g[i-n]
		}
		most = max(most, sum)
	}
	return most
}

// fleet is some VMs that each own an equal part of a rate and lend it to each other, as package psshare does.
type fleet struct {
	rate float64
	// exchange is the time between two reports of a VM.
	exchange time.Duration
	// reported are the last demands that VMs sent to the others, and history those before.
	reported []float64
	history  []psrate.DemandHistory
}

func newFleet(rate float64, exchange time.Duration, vms int) *fleet {
	return &fleet{rate, exchange, make([]float64, vms), make([]psrate.DemandHistory, vms)}
}

// report records the demand that a VM reports now, and returns the VM's share. It goes on to use its own part for the demand that
// another one may know, which is one exchange old. VMs lend for demands of others that have lasted for two, and borrow for their
// own after one more.
func (f *fleet) report(i int, demand float64, now time.Time) float64 {
	f.reported[i] = demand
	f.history[i].Record(demand, now)
	lasting := make([]float64, len(f.reported))
	for j := range f.history {
		lasting[j] = f.history[j].Propagated(2*f.exchange, now)
	}
	own := f.history[i].Propagated
	return shareOf(f.rate, i, own(f.exchange, now), own(3*f.exchange, now), f.reported, lasting)
}

// shareOf returns the share of a rate for the i-th of some VMs, which needs its own part for one demand and may borrow for
// another one. The others have reported theirs, of which lasting are those for which VMs lend.
func shareOf(rate float64, i int, keeping, borrowing float64, reported, lasting []float64) float64 {
	terms, needs, spares := psrate.NewTerms([]float64{rate}, []int{len(reported)}), 0.0, 0.0
	for j, d := range reported {
		if j != i {
			needs += terms.OtherNeed(lasting[j], false)
			spares += terms.OtherSpare(d)
		}
	}
	need := terms.OwnNeed(borrowing, false)
	return (terms.Kept(terms.OwnSpare(keeping), needs) + terms.Borrowed(spares, need, needs+need)) / float64(len(reported))
}

// TestSplitRatesStayWithinLimit simulates a workspace that sends many times its rate. Its callers move between
// VMs, and VMs restart. The larger the fleet, the less often VMs exchange demands.
func TestSplitRatesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.SampledFrom([]int{2, 3, 9, 25, 74}).Draw(t, "vms")
		exchange := max(250*time.Millisecond, time.Duration(vms)*18*time.Millisecond)
		rate := float64(rapid.IntRange(3*vms, 10*vms+100).Draw(t, "rate"))
		l := psrate.Limit{Rate: rate, Burst: rate * rapid.Float64Range(0, 1).Draw(t, "burst")}
		demands := rapid.SliceOfN(rapid.Float64Range(0, 8), 40*vms, 40*vms).Draw(t, "demands")
		onset := rapid.IntRange(0, 1500).Draw(t, "onset")
		restart := rapid.IntRange(0, 1500).Draw(t, "restart")
		restarted := rapid.IntRange(0, vms).Draw(t, "restarted")
		now := time.Unix(0, 0)
		buckets := make([]*psrate.Bucket, vms)
		for i := range buckets {
			buckets[i] = psrate.NewBucket(now)
		}
		fleet := newFleet(l.Rate, exchange, vms)
		shares := make([]float64, vms)
		pending := make([]float64, vms)
		g := make(grants, simulatedSpan/step)
		for n := range g {
			now = now.Add(step)
			for i, b := range buckets {
				if n == restart && i < restarted {
					b = psrate.NewBucket(now)
					buckets[i], fleet.history[i] = b, psrate.DemandHistory{}
				}
				if n == 0 || (n+i)%int(exchange/step) == 0 {
					shares[i] = fleet.report(i, b.Demand(now), now)
				}
				demand := demands[(n/50*vms+i)%len(demands)]
				if n < onset {
					demand = 0.6
				}
				pending[i] += demand * rate / float64(vms) * step.Seconds()
				for ; pending[i] >= 1; pending[i]-- {
					if granted, _ := buckets[i].Take(l, shares[i], now); granted {
						g[n]++
					}
				}
			}
		}
		bound := (l.Rate*window.Seconds()+l.Burst)*tolerance + slack
		if most := g.maxInWindow(); float64(most) > bound {
			t.Fatalf("%d granted in a window, %.0f allowed", most, bound)
		}
	})
}

// onset is the time at which the demand changes in [suddenDemand].
const onset = 8 * time.Second

// suddenDemand simulates 74 VMs that receive each other's demands one report interval late. A workspace sends a fraction of its
// rate, from onset on that times a factor. It returns the granted and the refused requests of each step.
func suddenDemand(l psrate.Limit, fraction, factor float64) (granted, refused grants) {
	const (
		vms      = 74
		exchange = 1330 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(0, 0)
	buckets := make([]*psrate.Bucket, vms)
	for i := range buckets {
		buckets[i] = psrate.NewBucket(now)
	}
	fleet := newFleet(l.Rate, exchange, vms)
	phases, shares := random.Perm(vms), make([]float64, vms)
	granted, refused = make(grants, simulatedSpan/step), make(grants, simulatedSpan/step)
	for n := range granted {
		now = now.Add(step)
		demand := fraction * l.Rate
		if time.Duration(n)*step >= onset {
			demand *= factor
		}
		for i, b := range buckets {
			if n == 0 || (n+phases[i])%int(exchange/step) == 0 {
				shares[i] = fleet.report(i, b.Demand(now), now)
			}
			for random.Float64() < demand/vms*step.Seconds() {
				if ok, _ := b.Take(l, shares[i], now); ok {
					granted[n]++
				} else {
					refused[n]++
				}
			}
		}
	}
	return granted, refused
}

// sum returns the requests from one time to another.
func (g grants) sum(from, to time.Duration) int { return lo.Sum(g[from/step : to/step]) }

// TestSuddenOverloadStaysWithinLimit covers a workspace that suddenly sends many times its rate to all VMs.
func TestSuddenOverloadStaysWithinLimit(t *testing.T) {
	l := psrate.Limit{Rate: 656, Burst: 656}
	g, _ := suddenDemand(l, 0.38, 11)
	bound := (l.Rate*window.Seconds()+l.Burst)*tolerance + slack
	t.Logf("%d granted in a window, %.0f allowed", g.maxInWindow(), bound)
	qt.Assert(t, float64(g.maxInWindow()) <= bound, qt.IsTrue)
}

// TestSuddenOverloadGetsTheRate covers the same workspace: its shares must not fall while VMs know of the demand of the others
// what these don't count themselves yet.
func TestSuddenOverloadGetsTheRate(t *testing.T) {
	l := psrate.Limit{Rate: 656, Burst: 656}
	for _, factor := range []float64{3, 5.7, 11} {
		g, _ := suddenDemand(l, 0.38, factor)
		for at := onset; at < simulatedSpan; at += time.Second {
			n := g.sum(at, at+time.Second)
			qt.Check(t, float64(n) > 0.9*l.Rate, qt.IsTrue, qt.Commentf("factor %v, from %v: %d granted", factor, at, n))
		}
	}
}

// TestRequestsWithinTheRateAreGranted covers a workspace that sends half of its rate to many VMs. Each sees four requests a
// second, so that chance moves its demand.
func TestRequestsWithinTheRateAreGranted(t *testing.T) {
	granted, refused := suddenDemand(psrate.Limit{Rate: 656, Burst: 656}, 0.45, 1)
	n, r := granted.sum(0, simulatedSpan), refused.sum(time.Second, simulatedSpan)
	qt.Assert(t, r*200 < n, qt.IsTrue, qt.Commentf("%d granted, %d refused", n, r))
}

// TestOwnedRatesStayWithinLimitDuringPartition simulates a fleet that is partitioned into two sides, each with a
// primary and a backup owner of the tokens.
func TestOwnedRatesStayWithinLimitDuringPartition(t *testing.T) {
	l := psrate.Limit{Rate: 20, Burst: 10}
	for _, fraction := range []float64{1, 0.5, 0.25} {
		now := time.Unix(0, 0)
		limits := []psrate.Limit{
			psrate.OwnerLimit(l, psrate.PrimaryShare, fraction), psrate.OwnerLimit(l, psrate.BackupShare, fraction),
			psrate.OwnerLimit(l, psrate.PrimaryShare, 1-fraction), psrate.OwnerLimit(l, psrate.BackupShare, 1-fraction),
		}
		buckets := make([]*psrate.Bucket, len(limits))
		for i := range buckets {
			buckets[i] = psrate.NewBucket(now)
		}
		g := make(grants, simulatedSpan/step)
		for n := range g {
			now = now.Add(step)
			for i, b := range buckets {
				if granted, _ := b.Take(limits[i], 1, now); granted {
					g[n]++
				}
			}
		}
		bound := (l.Rate*window.Seconds()+l.Burst)*tolerance + slack
		qt.Check(t, float64(g.maxInWindow()) <= bound, qt.IsTrue, qt.Commentf("%d granted, %.0f allowed", g.maxInWindow(), bound))
	}
}

// TestASmallWorkspaceOfALargeFleetGetsItsRate simulates random arrivals within the rate at 74 VMs.
// With an even split, most VMs would hold less than one token.
func TestASmallWorkspaceOfALargeFleetGetsItsRate(t *testing.T) {
	l := psrate.Limit{Rate: 16, Burst: 16}
	qt.Assert(t, psrate.SingleOwner(l, 74), qt.IsTrue)
	qt.Assert(t, psrate.SingleOwner(psrate.Limit{Rate: 400, Burst: 400}, 74), qt.IsFalse)
	qt.Assert(t, psrate.SingleOwner(psrate.Limit{}, 74), qt.IsFalse)
	now := time.Unix(0, 0)
	b := psrate.NewBucket(now.Add(-time.Second))
	rejected := 0
	for range 500 {
		now = now.Add(100 * time.Millisecond)
		if granted, _ := b.Take(psrate.OwnerLimit(l, psrate.PrimaryShare, 1), 1, now); !granted {
			rejected++
		}
	}
	qt.Assert(t, rejected, qt.Equals, 0)
}

func TestWithoutDemandsTheSplitIsEven(t *testing.T) {
	qt.Assert(t, psrate.EarlierShare(0.25, 0.75, 0, 0), qt.Equals, 0.25)
	qt.Assert(t, psrate.EarlierShare(0.5, 0.5, 30, 40) > 0.6, qt.IsTrue)
	qt.Assert(t, psrate.EarlierShareByNeed(100, 0, []float64{0, 0, 0}), qt.Equals, 0.25)
	qt.Assert(t, psrate.EarlierShareByNeed(40, 30, []float64{10}) > 0.6, qt.IsTrue)
}

func TestTakeReturnsTheWaitForTheNextToken(t *testing.T) {
	now := time.Unix(0, 0)
	b := psrate.NewBucket(now)
	granted, wait := b.Take(psrate.Limit{Rate: 10}, 1, now)
	qt.Assert(t, granted, qt.IsFalse)
	granted, _ = b.Take(psrate.Limit{Rate: 10}, 1, now.Add(wait))
	qt.Assert(t, granted, qt.IsTrue)
}

// TestDemandCountsOnlyAfterPropagation simulates a fleet in which a report takes three intervals to reach all VMs.
func TestDemandCountsOnlyAfterPropagation(t *testing.T) {
	var d psrate.DemandHistory
	now := time.Unix(0, 0)
	for i, v := range []float64{5, 9, 9, 9, 2, 9} {
		now = now.Add(exchangeInterval)
		d.Record(v, now)
		want := []float64{0, 0, 0, 5, 2, 2}[i]
		qt.Check(t, d.Propagated(3*exchangeInterval, now), qt.Equals, want, qt.Commentf("after %d reports", i+1))
	}
}

// TestSharesGrowOnlyAfterWindow checks that a VM uses the lowest share that it has computed lately, until the other VMs know
// the demand by which its share grows.
func TestSharesGrowOnlyAfterWindow(t *testing.T) {
	var h psrate.ShareHistory
	now := time.Unix(0, 0)
	for i, v := range []float64{0.5, 0.9, 0.9, 0.9, 0.9, 0.2, 0.9, 0.4, 0.3} {
		want := []float64{0.5, 0.5, 0.5, 0.5, 0.9, 0.2, 0.2, 0.2, 0.2}[i]
		now = now.Add(time.Second)
		qt.Check(t, h.Record(v, 3*time.Second, now), qt.Equals, want, qt.Commentf("after %d shares", i+1))
	}
}

// TestLateCallersLeaveTokensToOthers simulates a workspace that sends three times its rate, in which rejected
// callers retry once. Tokens must go to callers that are still in time. Once the others send less, late
// callers get tokens again.
func TestLateCallersLeaveTokensToOthers(t *testing.T) {
	l := psrate.Limit{Rate: 100, Burst: 20}
	now := time.Unix(1000, 0)
	b := psrate.NewBucket(now)
	fresh, late := 0, 0
	for n := range 3000 {
		now = now.Add(10 * time.Millisecond / 3)
		if granted, _ := b.Take(l, 1, now); granted {
			fresh++
		}
		if n%2 == 0 {
			if granted, _ := b.TakeLate(l, 1, now); granted {
				late++
			}
		}
	}
	qt.Assert(t, b.Excess(l, 1, now), qt.IsTrue)
	qt.Assert(t, fresh >= 950, qt.IsTrue, qt.Commentf("%d of 1,000 in time", fresh))
	qt.Assert(t, late <= 20, qt.IsTrue, qt.Commentf("%d late ones", late))
	for range 300 {
		now = now.Add(20 * time.Millisecond)
		b.Take(l, 1, now)
	}
	qt.Assert(t, b.Excess(l, 1, now), qt.IsFalse)
	granted, _ := b.TakeLate(l, 1, now)
	qt.Assert(t, granted, qt.IsTrue)
}

func TestReturnedTokenIsGrantedAgain(t *testing.T) {
	l := psrate.Limit{Rate: 1, Burst: 1}
	now := time.Unix(1000, 0)
	b := psrate.NewBucket(now)
	now = now.Add(time.Second)
	granted, _ := b.Take(l, 1, now)
	qt.Assert(t, granted, qt.IsTrue)
	b.Return()
	granted, _ = b.Take(l, 1, now)
	qt.Assert(t, granted, qt.IsTrue)
	granted, _ = b.Take(l, 1, now)
	qt.Assert(t, granted, qt.IsFalse)
}

// TestLentShareFillsBucket guards against a VM that gets back a share that it had lent, and grants the tokens which the borrower
// has already granted.
func TestLentShareFillsBucket(t *testing.T) {
	l := psrate.Limit{Rate: 100, Burst: 200}
	now := time.Unix(1000, 0)
	b := psrate.NewBucket(now)
	b.Refill(l, 0.25, now)
	now = now.Add(10 * time.Second)
	b.Refill(l, 1, now)
	granted := 0
	for ok := true; ok; granted++ {
		ok, _ = b.Take(l, 1, now)
	}
	qt.Assert(t, granted < 256, qt.IsTrue, qt.Commentf("%d granted at once, 215 are a full bucket", granted))
}

// TestSplitByNeed covers the split among VMs that each own a quarter of a rate of 400.
func TestSplitByNeed(t *testing.T) {
	for name, c := range map[string]struct{ demands, want []float64 }{
		"no demand":            {[]float64{0, 0, 0, 0}, []float64{1, 1, 1, 1}},
		"within the own parts": {[]float64{80, 40, 20, 0}, []float64{1, 1, 1, 1}},
		"alike above the rate": {[]float64{900, 900, 900, 900}, []float64{1, 1, 1, 1}},
		"one needs more":       {[]float64{300, 0, 0, 0}, []float64{3.25, 0.25, 0.25, 0.25}},
		"one needs a bit more": {[]float64{100, 0, 0, 0}, []float64{1.5625, 0.8125, 0.8125, 0.8125}},
	} {
		for i, own := range c.demands {
			share := 4 * shareOf(400, i, own, own, c.demands, c.demands)
			qt.Check(t, share, qt.Equals, c.want[i], qt.Commentf("%s: VM %d", name, i))
		}
	}
}

// TestVMsWithDifferentRatesExceedLimit guards against shares that add up to more than a rate while some VMs know of its change,
// or of that of the number of parts, and others don't yet.
func TestVMsWithDifferentRatesExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 200), 2, 9).Draw(t, "demands")
		rates := rapid.SliceOfN(rapid.Float64Range(20, 1000), 2, 2).Draw(t, "rates")
		parts := []int{len(demands), len(demands) + rapid.IntRange(0, 9).Draw(t, "more")}
		terms := make([]psrate.Terms, len(demands))
		for i := range terms {
			terms[i] = psrate.NewTerms(rates, parts)
			if rapid.Bool().Draw(t, "outdated") {
				terms[i] = psrate.NewTerms(rates[:1], parts[:1])
			}
		}
		sum := 0.0
		for i, own := range demands {
			needs, spares := 0.0, 0.0
			for j, d := range demands {
				if j != i {
					needs += terms[i].OtherNeed(d, false)
					spares += terms[i].OtherSpare(d)
				}
			}
			need := terms[i].OwnNeed(own, false)
			sum += terms[i].Kept(terms[i].OwnSpare(own), needs) + terms[i].Borrowed(spares, need, needs+need)
		}
		if sum > float64(len(demands))+1e-9 {
			t.Fatalf("%.3f of %d parts are used", sum, len(demands))
		}
	})
}
