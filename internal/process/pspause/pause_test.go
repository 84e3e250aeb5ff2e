package pspause_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/pspause"
)

// TestMessagesOfPauseCountAsRecent covers a process that is stopped for two seconds, and a VM that is suspended for three. What
// is read right after that may have arrived when the pause began.
func TestMessagesOfPauseCountAsRecent(t *testing.T) {
	now, boot := time.Unix(100, 0), time.Duration(0)
	advance := func(d, suspended time.Duration) {
		now = now.Add(d)
		boot += d + suspended
	}
	p := pspause.New(func() time.Duration { return boot }, now)
	advance(250*time.Millisecond, 0)
	qt.Assert(t, p.Active(now), qt.Equals, time.Duration(0))
	qt.Assert(t, p.ReceivedAt(now), qt.Equals, now)

	advance(2*time.Second, 0)
	qt.Assert(t, p.Active(now), qt.Equals, time.Duration(0))
	qt.Assert(t, p.ReceivedAt(now), qt.Equals, now.Add(-2*time.Second))
	advance(150*time.Millisecond, 0)
	qt.Assert(t, p.ReceivedAt(now), qt.Equals, now)

	p.Active(now)
	advance(10*time.Millisecond, 3*time.Second)
	qt.Assert(t, p.Active(now), qt.Equals, 3*time.Second)
	qt.Assert(t, p.ReceivedAt(now), qt.Equals, now.Add(-3*time.Second-10*time.Millisecond))
}
