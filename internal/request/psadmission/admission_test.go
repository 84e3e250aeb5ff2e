package psadmission_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"persimmonstep/internal/request/psadmission"
	"persimmonstep/internal/request/psshed"
)

const target = 200 * time.Millisecond

func TestDecide(t *testing.T) {
	for name, v := range map[string]struct {
		request psadmission.Request
		reason  string
	}{
		"an idle server":            {psadmission.Request{Expected: 72 * time.Millisecond, Remaining: time.Second}, ""},
		"late on an idle server":    {psadmission.Request{Expected: 600 * time.Millisecond, Remaining: time.Second}, ""},
		"past the deadline":         {psadmission.Request{Expected: time.Second, Remaining: time.Second}, "deadline"},
		"a short queue":             {psadmission.Request{Expected: 300 * time.Millisecond, Wait: 200 * time.Millisecond, Remaining: time.Second}, ""},
		"a long queue":              {psadmission.Request{Expected: 500 * time.Millisecond, Wait: 400 * time.Millisecond, Remaining: time.Second}, "overload"},
		"a queue, low priority":     {psadmission.Request{Expected: 390 * time.Millisecond, Wait: 250 * time.Millisecond, Remaining: time.Second, Priority: 2}, "overload"},
		"a queue, highest priority": {psadmission.Request{Expected: 390 * time.Millisecond, Wait: 250 * time.Millisecond, Remaining: time.Second}, ""},
		"a surplus object":          {psadmission.Request{Expected: 72 * time.Millisecond, Remaining: time.Second, Surplus: true}, "surplusObject"},
	} {
		t.Run(name, func(t *testing.T) {
			v.request.Target = target
			reason := ""
			if r, found := psadmission.Decide(v.request).(psadmission.Rejected); found {
				reason = r.Reason
			}
			qt.Assert(t, reason, qt.Equals, v.reason)
		})
	}
}

// TestDecideWhileAllServersAreFull decides on requests while the mean wait is half of the target. A
// number in 0..1 that differs between requests determines which of them are sent.
func TestDecideWhileAllServersAreFull(t *testing.T) {
	full := psadmission.Request{
		MeanWait: target / 2, MeanRun: 60 * time.Millisecond, Remaining: time.Second, Target: target, DetectableWait: 200 * time.Millisecond,
	}
	for name, v := range map[string]struct {
		change func(r *psadmission.Request)
		// sent is the fraction of the requests that are sent.
		sent float64
	}{
		"no queue":                 {func(r *psadmission.Request) { r.Expected = 60 * time.Millisecond }, 1},
		"half of the bound":        {func(r *psadmission.Request) { r.Wait, r.Expected = 56*time.Millisecond, 116*time.Millisecond }, 0.5},
		"late because of the wait": {func(r *psadmission.Request) { r.Wait, r.Expected = 140*time.Millisecond, 200*time.Millisecond }, 0},
		"late because of the run":  {func(r *psadmission.Request) { r.Wait, r.Expected = 40*time.Millisecond, 300*time.Millisecond }, 0},
		"a retry": {func(r *psadmission.Request) {
			r.Wait, r.Expected, r.PriorWait = 40*time.Millisecond, 100*time.Millisecond, 300*time.Millisecond
		}, 0},
		"a distant server with the same wait": {func(r *psadmission.Request) {
			r.Wait, r.Expected, r.RoundTrip = 56*time.Millisecond, 156*time.Millisecond, 40*time.Millisecond
		}, 0.5},
		"most requests are late without a queue": {func(r *psadmission.Request) {
			r.Wait, r.Expected, r.MeanRun = 100*time.Millisecond, 160*time.Millisecond, target
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := full
			v.change(&r)
			sent := 0
			for n := range 1000 {
				r.Random = float64(n) / 1000
				verdict, rejected := psadmission.Decide(r).(psadmission.Rejected)
				if !rejected {
					sent++
					continue
				}
				qt.Assert(t, verdict.RetryAfter >= r.DetectableWait && verdict.RetryAfter <= r.Remaining/3, qt.IsTrue, qt.Commentf("%s", verdict.RetryAfter))
			}
			qt.Assert(t, float64(sent)/1000, qt.CmpEquals(cmpopts.EquateApprox(0, 0.01)), v.sent)
		})
	}
}

// TestRetryAfterStaysWithinRemainingTime checks that the retry delay of a rejected caller is not zero and
// never exceeds a third of its remaining time, the longest delay that callers accept.
func TestRetryAfterStaysWithinRemainingTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, name))
		}
		r := psadmission.Request{
			Expected: span("expected"), Wait: span("wait"), Remaining: span("remaining"), Target: target,
			MeanWait: span("meanWait"), MeanRoundTrip: span("meanRoundTrip"), RoundTrip: span("roundTrip"),
			MeanRun: span("meanRun"), PriorWait: span("priorWait"), DetectableWait: span("detectableWait"),
			Priority: rapid.IntRange(0, 9).Draw(t, "priority"), Random: rapid.Float64Range(0, 1).Draw(t, "random"),
		}
		v, found := psadmission.Decide(r).(psadmission.Rejected)
		if found && (v.RetryAfter <= 0 || v.RetryAfter > max(time.Millisecond, r.Remaining/3)) {
			t.Fatalf("retry delay %s is out of bounds with %s remaining", v.RetryAfter, r.Remaining)
		}
	})
}

// TestRetriesAreSpreadOut guards against retry storms: callers that are rejected at the same time must
// not be told to retry at the same time.
func TestRetriesAreSpreadOut(t *testing.T) {
	first, last := time.Hour, time.Duration(0)
	for n := range 100 {
		v := psadmission.Decide(psadmission.Request{
			Expected: 900 * time.Millisecond, Wait: 600 * time.Millisecond, Remaining: 3 * time.Second,
			Target: target, Random: float64(n) / 100,
		}).(psadmission.Rejected)
		first, last = min(first, v.RetryAfter), max(last, v.RetryAfter)
	}
	qt.Assert(t, last-first >= 500*time.Millisecond, qt.IsTrue)
}

// TestMoreUrgentClassIsAdmittedFirst decides on requests of two classes while all servers are full. It guards against less urgent
// requests that are sent because their own target is longer, and against a class that starves.
func TestMoreUrgentClassIsAdmittedFirst(t *testing.T) {
	var d psshed.Demands
	now := time.Unix(1000, 0)
	for n := range 1000 {
		o := psshed.Observation{Priority: 2, Slot: 60 * time.Millisecond, Run: 60 * time.Millisecond, Target: 3 * target, Rejected: true}
		if n%2 == 0 {
			o.Priority, o.Target = 0, target
		}
		d.Observe("prices", o, now)
	}
	sent := func(priority int, target, wait time.Duration) (fraction float64, reasons map[string]int) {
		reasons = make(map[string]int)
		for n := range 1000 {
			verdict := psadmission.Decide(psadmission.Request{
				Priority: priority, Target: target, Wait: wait, Expected: wait + 60*time.Millisecond, Run: 60 * time.Millisecond,
				MeanWait: 60 * time.Millisecond, MeanRun: 60 * time.Millisecond, Remaining: 3 * time.Second,
				Demand: d.Of("prices", now), Random: float64(n) / 1000,
			})
			if v, rejected := verdict.(psadmission.Rejected); rejected {
				reasons[v.Reason]++
				qt.Assert(t, v.Basis.MaxWait < wait && v.Basis.Priority == priority, qt.IsTrue)
				continue
			}
			fraction += 0.001
		}
		return fraction, reasons
	}
	urgent, _ := sent(0, target, 60*time.Millisecond)
	less, reasons := sent(2, 3*target, 60*time.Millisecond)
	t.Logf("sent: urgent %.2f, less urgent %.2f, %v", urgent, less, reasons)
	qt.Check(t, urgent > 0.75, qt.IsTrue)
	qt.Check(t, less < 0.3 && less > (urgent+less)/2/4, qt.IsTrue)
	qt.Check(t, reasons[psadmission.ReasonLessUrgent] > 500, qt.IsTrue)
}

// TestBusyWorkspaceYieldsWithItsReason decides on requests of one class while all servers are full. It guards against requests
// beyond the usual amount of their workspace that are sent as often as others, or rejected without this reason, and against an
// effect of the order where no slots are short.
func TestBusyWorkspaceYieldsWithItsReason(t *testing.T) {
	var d psshed.Demands
	now := time.Unix(1000, 0)
	for n := range 1000 {
		d.Observe("prices", psshed.Observation{Slot: 60 * time.Millisecond, Run: 60 * time.Millisecond, Target: target, BeyondUsual: n%2 == 0}, now)
	}
	sent := func(beyond bool, meanWait time.Duration) (fraction float64, reasons map[string]int) {
		reasons = make(map[string]int)
		for n := range 1000 {
			verdict := psadmission.Decide(psadmission.Request{
				Target: target, Wait: 60 * time.Millisecond, Expected: 120 * time.Millisecond, Run: 60 * time.Millisecond,
				MeanWait: meanWait, MeanRun: 60 * time.Millisecond, Remaining: 3 * time.Second,
				Demand: d.Of("prices", now), BeyondUsual: beyond, Random: float64(n) / 1000,
			})
			if v, rejected := verdict.(psadmission.Rejected); rejected {
				reasons[v.Reason]++
				qt.Assert(t, v.ForSlots() && v.Basis.BeyondUsual == beyond, qt.IsTrue)
				continue
			}
			fraction += 0.001
		}
		return fraction, reasons
	}
	usual, reasons := sent(false, 60*time.Millisecond)
	qt.Check(t, reasons[psadmission.ReasonBeyondUsual], qt.Equals, 0)
	busy, reasons := sent(true, 60*time.Millisecond)
	t.Logf("sent: usual %.2f, busy %.2f, %v", usual, busy, reasons)
	qt.Check(t, usual > busy+0.4, qt.IsTrue)
	qt.Check(t, busy > (usual+busy)/2/4, qt.IsTrue)
	qt.Check(t, reasons[psadmission.ReasonBeyondUsual] > 500, qt.IsTrue)
	busy, _ = sent(true, 0)
	qt.Check(t, busy > 0.999, qt.IsTrue)
}
