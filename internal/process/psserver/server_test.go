package psserver_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psserver"
)

var begun = time.Unix(1000, 0)

func server(change func(e *psserver.Entry)) *psserver.Server {
	e := psserver.Entry{ID: "i-1", Service: "prices", Slots: 4}
	if change != nil {
		change(&e)
	}
	return psserver.New(e, "north", begun)
}

func TestAFailedServerComesBackOnlyByAProbe(t *testing.T) {
	s := server(nil)
	qt.Assert(t, s.Fail(begun), qt.IsTrue)
	qt.Assert(t, s.Fail(begun), qt.IsFalse)
	e := s.Entry()
	e.Sequence++
	s.Renew(e, begun.Add(time.Second))
	qt.Assert(t, s.View(begun.Add(time.Second)).Usable, qt.IsFalse)
	qt.Assert(t, s.Found(2*time.Second, begun.Add(time.Second)), qt.IsTrue)
	v := s.View(begun.Add(time.Second))
	qt.Assert(t, v.Usable, qt.IsTrue)
	qt.Assert(t, v.Cold, qt.IsTrue)
	qt.Assert(t, s.View(begun.Add(4*time.Second)).Cold, qt.IsFalse)
}

func TestAServerWhoseAddressMovedIsGone(t *testing.T) {
	s := server(nil)
	qt.Assert(t, s.Move(begun), qt.IsTrue)
	qt.Assert(t, s.Found(0, begun), qt.IsFalse)
	qt.Assert(t, s.View(begun.Add(time.Hour)).Usable, qt.IsFalse)
}

func TestADrainingServerIsNotUsable(t *testing.T) {
	qt.Assert(t, server(func(e *psserver.Entry) { e.State = psserver.Draining }).View(begun).Usable, qt.IsFalse)
}

// TestColdServerGetsOnlyItsRate offers a cold server many times the rate that it takes while it warms up.
func TestColdServersGetWhatTheyBear(t *testing.T) {
	s := server(func(e *psserver.Entry) { e.ColdFor = time.Minute })
	share := psserver.ColdShare{PerSecond: 3.5, Depth: 1}
	granted := 0
	for n := range 1000 {
		if s.TakeCold(share, begun.Add(time.Duration(n)*time.Millisecond)) {
			granted++
		}
	}
	qt.Assert(t, granted <= 4, qt.IsTrue, qt.Commentf("%d in a second", granted))
	qt.Assert(t, granted >= 3, qt.IsTrue, qt.Commentf("%d in a second", granted))
}

func TestLoadCountsOwnRequestsAndFadingReports(t *testing.T) {
	s := server(nil)
	first := s.Sent(begun, time.Second)
	s.Sent(begun, time.Second)
	s.Reported(3, 2, begun)
	qt.Assert(t, s.View(begun).Load, qt.Equals, 5.0)
	s.Ended(first)
	qt.Assert(t, s.View(begun).Load, qt.Equals, 4.0)
	later := s.View(begun.Add(4 * time.Second))
	// The three other requests were reported only once, so they raise the average only a little.
	qt.Assert(t, later.Load < 1.3, qt.IsTrue)
	qt.Assert(t, s.View(begun.Add(20*time.Second)).Load < 1.01, qt.IsTrue)
	qt.Assert(t, later.Silent, qt.Equals, 4*time.Second)
}

func TestJudgementsFade(t *testing.T) {
	s := server(nil)
	for range 30 {
		s.Judge(6, false, begun)
		s.Judge(0, true, begun)
	}
	v := s.View(begun)
	qt.Assert(t, v.Slowness > 4, qt.IsTrue)
	qt.Assert(t, v.Failures > 0.3, qt.IsTrue)
	v = s.View(begun.Add(30 * time.Second))
	qt.Assert(t, v.Slowness < 1.01, qt.IsTrue)
	qt.Assert(t, v.Failures < 0.01, qt.IsTrue)
}

func TestMemoryForgetsWhatWasNotSentForLongest(t *testing.T) {
	m := psserver.NewRecentObjects()
	for o := range uint64(64) {
		m.Add(o)
	}
	m.Add(0)
	m.Add(100)
	qt.Assert(t, m.Contains(0), qt.IsTrue)
	qt.Assert(t, m.Contains(1), qt.IsFalse)
	qt.Assert(t, m.Objects(), qt.HasLen, 64)
}

func TestAServerThatForgetsKeepsFewerObjectsUntilItRemembers(t *testing.T) {
	s := server(nil)
	for range 100 {
		s.Recalled(true, false, begun)
	}
	v := s.View(begun)
	qt.Assert(t, v.HomeRecall < 0.1, qt.IsTrue)
	qt.Assert(t, v.Keeps < 0.2, qt.IsTrue)
	qt.Assert(t, v.AwayRecall > 0.9, qt.IsTrue)
	for range 400 {
		s.Recalled(true, true, begun)
	}
	qt.Assert(t, s.View(begun).Keeps, qt.Equals, 1.0)
}
