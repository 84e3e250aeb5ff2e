package psserver_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLoadOfOtherVMsMovesToItsAverage replays responses that report twelve other requests for two seconds, and
// then a single response that reports none. Without further responses the estimate must move back to the average;
// otherwise one low report would attract requests to a busy server.
func TestLoadOfOtherVMsMovesToItsAverage(t *testing.T) {
	s := newServer(nil)
	now := startTime
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		s.RecordLoad(4, 8, now)
	}
	s.RecordLoad(0, 0, now)
	qt.Assert(t, s.View(now).Load, qt.Equals, 0.0)
	soon := s.View(now.Add(500 * time.Millisecond)).Load
	qt.Assert(t, soon > 7 && soon < 12, qt.IsTrue, qt.Commentf("%.1f", soon))
	// The estimate decays to zero, so that a server without recent reports is tried again.
	qt.Assert(t, s.View(now.Add(30*time.Second)).Load < 0.1, qt.IsTrue)
}
