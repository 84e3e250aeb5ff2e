package psretry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"persimmonstep/internal/request/psretry"
	"persimmonstep/internal/version/psdoc"
)

func TestDecide(t *testing.T) {
	const left = time.Second
	lookup := psretry.Request{Kind: psdoc.KindLookup, Left: left}
	order := psretry.Request{Kind: psdoc.KindExclusive, Left: left}
	upload := psretry.Request{Kind: psdoc.KindUpload, Streamed: true, Left: -1}
	begun := upload
	begun.Consumed = true
	over := psretry.Request{Kind: psdoc.KindLookup}
	late := lookup
	late.Expected = 2 * left
	unreachable, shed, lost := psretry.Unreachable{}, psretry.Shed{}, psretry.Lost{}
	tests := []struct {
		name    string
		request psretry.Request
		endings []psretry.Ending
		want    psretry.Decision
	}{
		{"lookup unreachable", lookup, []psretry.Ending{unreachable}, psretry.Retry{}},
		{"lookup shed", lookup, []psretry.Ending{shed}, psretry.Retry{Paid: true}},
		{"lookup lost", lookup, []psretry.Ending{lost}, psretry.Retry{Paid: true}},
		{"lookup server error", lookup, []psretry.Ending{psretry.ServerError{}}, psretry.Retry{Paid: true}},
		{"lookup given up with time left", lookup, []psretry.Ending{psretry.TimedOut{}}, psretry.Retry{Paid: true}},
		{"lookup timed out", over, []psretry.Ending{psretry.TimedOut{}}, psretry.Stop{psretry.ReasonDeadline}},
		{"lookup too late", late, []psretry.Ending{shed}, psretry.Stop{psretry.ReasonDeadline}},
		{"lookup took down two", lookup, []psretry.Ending{lost, lost}, psretry.Stop{psretry.ReasonCrashes}},
		{"lookup three attempts", lookup, []psretry.Ending{shed, shed, shed}, psretry.Stop{psretry.ReasonAttempts}},
		{"order unreachable", order, []psretry.Ending{unreachable}, psretry.Retry{}},
		{"order shed", order, []psretry.Ending{shed}, psretry.Retry{Paid: true}},
		{"order lost", order, []psretry.Ending{lost}, psretry.Stop{psretry.ReasonMayHaveRun}},
		{"order timed out", order, []psretry.Ending{psretry.TimedOut{}}, psretry.Stop{psretry.ReasonMayHaveRun}},
		{"order unreachable, then lost", order, []psretry.Ending{unreachable, lost}, psretry.Stop{psretry.ReasonMayHaveRun}},
		{"upload unreachable", upload, []psretry.Ending{unreachable}, psretry.Retry{}},
		{"upload shed with its body begun", begun, []psretry.Ending{shed}, psretry.Stop{psretry.ReasonBodyGone}},
		{"upload lost", begun, []psretry.Ending{lost}, psretry.Stop{psretry.ReasonMayHaveRun}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var h psretry.History
			for _, e := range tt.endings {
				h.Add(e)
			}
			qt.Assert(t, psretry.Decide(tt.request, h), qt.Equals, tt.want)
		})
	}
}

// A request that must not run twice is never sent again after an attempt that may have run,
// and "did not run" is only said where every attempt was unreachable or shed.
func TestNeverTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		endings := rapid.SliceOfN(rapid.SampledFrom([]psretry.Ending{
			psretry.Unreachable{}, psretry.Shed{}, psretry.Lost{}, psretry.TimedOut{}, psretry.ServerError{},
		}), 1, 4).Draw(t, "endings")
		var h psretry.History
		ran := false
		for _, e := range endings {
			h.Add(e)
			switch e.(type) {
			case psretry.Lost, psretry.TimedOut, psretry.ServerError:
				ran = true
			}
			_, again := psretry.Decide(psretry.Request{Kind: psdoc.KindExclusive, Left: time.Hour}, h).(psretry.Retry)
			if again && ran {
				t.Fatalf("sent again after %v", endings)
			}
			if h.MayHaveRun != ran {
				t.Fatalf("MayHaveRun is %v after %v", h.MayHaveRun, endings)
			}
		}
	})
}

// In every window the paid retries are at most a fraction of the first attempts, plus a floor.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b psretry.Budget
		now := time.Unix(1000, 0)
		type event struct {
			at    time.Time
			first bool
		}
		var events []event
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "wait")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				b.First("p", now)
				events = append(events, event{now, true})
				continue
			}
			if !b.Spend("p", now) {
				continue
			}
			events = append(events, event{now, false})
			firsts, retries := 0, 0
			for _, e := range events {
				// The oldest slot may have been dropped, so the window may be a slot shorter.
				age := now.Sub(e.at)
				if e.first && age <= psretry.Window {
					firsts++
				}
				if !e.first && age <= psretry.Window*19/20 {
					retries++
				}
			}
			if float64(retries) > psretry.Fraction*float64(firsts)+psretry.Floor {
				t.Fatalf("%d retries for %d first attempts", retries, firsts)
			}
		}
	})
}

func TestBudgetsOfPoolsAreApart(t *testing.T) {
	c := qt.New(t)
	var b psretry.Budget
	now := time.Unix(1000, 0)
	for b.Spend("failing", now) {
	}
	c.Assert(b.Spend("other", now), qt.IsTrue)
	c.Assert(b.Spend("failing", now.Add(2*psretry.Window)), qt.IsTrue, qt.Commentf("a new window"))
}
