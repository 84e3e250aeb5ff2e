package psadmit_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"persimmonstep/internal/request/psadmit"
)

const target = 200 * time.Millisecond

func TestDecide(t *testing.T) {
	for name, v := range map[string]struct {
		request psadmit.Request
		reason  string
	}{
		"an idle server":                     {psadmit.Request{Expected: 72 * time.Millisecond, Left: time.Second}, ""},
		"late on an idle server":             {psadmit.Request{Expected: 600 * time.Millisecond, Left: time.Second}, ""},
		"past the deadline":                  {psadmit.Request{Expected: time.Second, Left: time.Second}, "deadline"},
		"a short queue":                      {psadmit.Request{Expected: 300 * time.Millisecond, Wait: 200 * time.Millisecond, Left: time.Second}, ""},
		"a long queue":                       {psadmit.Request{Expected: 500 * time.Millisecond, Wait: 400 * time.Millisecond, Left: time.Second}, "overload"},
		"a queue that the less urgent leave": {psadmit.Request{Expected: 390 * time.Millisecond, Wait: 250 * time.Millisecond, Left: time.Second, Priority: 2}, "overload"},
		"and the most urgent take":           {psadmit.Request{Expected: 390 * time.Millisecond, Wait: 250 * time.Millisecond, Left: time.Second}, ""},
		"an object too many":                 {psadmit.Request{Expected: 72 * time.Millisecond, Left: time.Second, Surplus: true}, "surplusObject"},
	} {
		t.Run(name, func(t *testing.T) {
			v.request.Target = target
			reason := ""
			if r, found := psadmit.Decide(v.request).(psadmit.Rejected); found {
				reason = r.Reason
			}
			qt.Assert(t, reason, qt.Equals, v.reason)
		})
	}
}

// TestARejectedCallerComesBackInTime checks that a caller is never told to wait for longer
// than a third of its time, which is what callers honour, and not at once.
func TestARejectedCallerComesBackInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, name))
		}
		r := psadmit.Request{
			Expected: span("expected"), Wait: span("wait"), Left: span("left"), Target: target,
			Priority: rapid.IntRange(0, 9).Draw(t, "priority"), Spread: rapid.Float64Range(0, 1).Draw(t, "spread"),
		}
		v, found := psadmit.Decide(r).(psadmit.Rejected)
		if found && (v.After <= 0 || v.After > max(time.Millisecond, r.Left/3)) {
			t.Fatalf("told to come back after %s with %s left", v.After, r.Left)
		}
	})
}

// TestCallersDoNotReturnTogether replays the rejection of many callers at one moment.
func TestCallersDoNotReturnTogether(t *testing.T) {
	first, last := time.Hour, time.Duration(0)
	for n := range 100 {
		v := psadmit.Decide(psadmit.Request{
			Expected: 900 * time.Millisecond, Wait: 600 * time.Millisecond, Left: 3 * time.Second, Target: target, Spread: float64(n) / 100,
		}).(psadmit.Rejected)
		first, last = min(first, v.After), max(last, v.After)
	}
	qt.Assert(t, last-first >= 500*time.Millisecond, qt.IsTrue)
}
