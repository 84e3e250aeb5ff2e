package psserver_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psserver"
)

var startTime = time.Unix(1000, 0)

func newServer(change func(e *psserver.Entry)) *psserver.Server {
	e := psserver.Entry{ID: "i-1", Service: "prices", Slots: 4}
	if change != nil {
		change(&e)
	}
	return psserver.New(e, "north", startTime)
}

func TestFailedServerReturnsOnlyAfterProbe(t *testing.T) {
	s := newServer(nil)
	qt.Assert(t, s.MarkFailed(startTime), qt.IsTrue)
	qt.Assert(t, s.MarkFailed(startTime), qt.IsFalse)
	e := s.Entry()
	e.Sequence++
	s.Renew(e, startTime.Add(time.Second))
	qt.Assert(t, s.View(startTime.Add(time.Second)).Usable, qt.IsFalse)
	qt.Assert(t, s.ProbeSucceeded(2*time.Second, startTime.Add(time.Second)), qt.IsTrue)
	v := s.View(startTime.Add(time.Second))
	qt.Assert(t, v.Usable, qt.IsTrue)
	qt.Assert(t, v.Cold, qt.IsTrue)
	qt.Assert(t, s.View(startTime.Add(4*time.Second)).Cold, qt.IsFalse)
}

func TestReplacedServerStaysUnusable(t *testing.T) {
	s := newServer(nil)
	qt.Assert(t, s.MarkReplaced(startTime), qt.IsTrue)
	qt.Assert(t, s.ProbeSucceeded(0, startTime), qt.IsFalse)
	qt.Assert(t, s.View(startTime.Add(time.Hour)).Usable, qt.IsFalse)
}

func TestDrainingServerIsNotUsable(t *testing.T) {
	qt.Assert(t, newServer(func(e *psserver.Entry) { e.State = psserver.Draining }).View(startTime).Usable, qt.IsFalse)
}

// TestColdServerGetsOnlyItsRate offers a cold server many times the rate that it takes while it warms up.
func TestColdServerGetsOnlyItsRate(t *testing.T) {
	s := newServer(func(e *psserver.Entry) { e.ColdFor = time.Minute })
	share := psserver.ColdShare{PerSecond: 3.5, Burst: 1}
	granted := 0
	for n := range 1000 {
		if s.TakeColdToken(share, startTime.Add(time.Duration(n)*time.Millisecond)) {
			granted++
		}
	}
	qt.Assert(t, granted <= 4, qt.IsTrue, qt.Commentf("%d in a second", granted))
	qt.Assert(t, granted >= 3, qt.IsTrue, qt.Commentf("%d in a second", granted))
}

func TestLoadCountsOwnRequestsAndDecayingReports(t *testing.T) {
	s := newServer(nil)
	first := s.BeginRequest(startTime, time.Second)
	s.BeginRequest(startTime, time.Second)
	s.RecordLoad(3, 2, startTime)
	qt.Assert(t, s.View(startTime).Load, qt.Equals, 5.0)
	s.EndRequest(first)
	qt.Assert(t, s.View(startTime).Load, qt.Equals, 4.0)
	later := s.View(startTime.Add(4 * time.Second))
	// The three other requests were reported only once, so they raise the average only a little.
	qt.Assert(t, later.Load < 1.3, qt.IsTrue)
	qt.Assert(t, s.View(startTime.Add(20*time.Second)).Load < 1.01, qt.IsTrue)
	qt.Assert(t, later.SilentFor, qt.Equals, 4*time.Second)
}

func TestSlownessAndFailureRateDecay(t *testing.T) {
	s := newServer(nil)
	for range 30 {
		s.RecordOutcome(6, false, startTime)
		s.RecordOutcome(0, true, startTime)
	}
	v := s.View(startTime)
	qt.Assert(t, v.Slowness > 4, qt.IsTrue)
	qt.Assert(t, v.FailureRate > 0.3, qt.IsTrue)
	v = s.View(startTime.Add(30 * time.Second))
	qt.Assert(t, v.Slowness < 1.01, qt.IsTrue)
	qt.Assert(t, v.FailureRate < 0.01, qt.IsTrue)
}

func TestCacheableFractionFollowsHitRate(t *testing.T) {
	s := newServer(nil)
	for range 100 {
		s.RecordCacheResult(true, false, startTime)
	}
	v := s.View(startTime)
	qt.Assert(t, v.PrimaryHitRate < 0.1, qt.IsTrue)
	qt.Assert(t, v.CacheableFraction < 0.2, qt.IsTrue)
	qt.Assert(t, v.FallbackHitRate > 0.9, qt.IsTrue)
	for range 400 {
		s.RecordCacheResult(true, true, startTime)
	}
	qt.Assert(t, s.View(startTime).CacheableFraction, qt.Equals, 1.0)
}

func TestFailuresOfLinksAreForgotten(t *testing.T) {
	now := startTime.Add(time.Minute)
	failedBefore, failed, replaced := newServer(nil), newServer(nil), newServer(nil)
	failedBefore.MarkFailed(startTime)
	failed.MarkFailed(now)
	failed.RecordOutcome(0, true, now)
	replaced.MarkReplaced(now)
	for _, s := range []*psserver.Server{failedBefore, failed, replaced} {
		s.ForgetFailures(now.Add(-time.Second), now)
	}
	qt.Assert(t, failedBefore.Usable(now), qt.IsFalse)
	qt.Assert(t, failed.Usable(now), qt.IsTrue)
	qt.Assert(t, failed.View(now).FailureRate, qt.Equals, 0.0)
	qt.Assert(t, replaced.Usable(now), qt.IsFalse)
}
