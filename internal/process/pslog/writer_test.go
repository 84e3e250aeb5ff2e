package pslog_test

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/pslog"
)

// blockedOutput is an output that blocks until it is released.
type blockedOutput struct {
	release chan struct{}
	mutex   sync.Mutex
	data    bytes.Buffer
}

func (s *blockedOutput) Write(b []byte) (int, error) {
	<-s.release
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.data.Write(b)
}

// TestWriteDoesNotBlockOnOutput guards against loggers that wait for a blocked output.
func TestWriteDoesNotBlockOnOutput(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w, clean := pslog.New(out)
	startedAt := time.Now()
	for n := range 5000 {
		_, err := fmt.Fprintf(w, "line %d\n", n)
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, time.Since(startedAt) < time.Second, qt.IsTrue)
	qt.Assert(t, w.Dropped() > 3000, qt.IsTrue)
	close(out.release)
	clean()
	out.mutex.Lock()
	defer out.mutex.Unlock()
	qt.Assert(t, bytes.HasPrefix(out.data.Bytes(), []byte("line 0\nline 1\n")), qt.IsTrue)
}

// TestRateLimitHoldsDuringBurst logs at ten times the usual load of a VM for three seconds.
func TestRateLimitHoldsDuringBurst(t *testing.T) {
	l := pslog.RateLimit{PerSecond: 100}
	now := time.Unix(1000, 0)
	written := 0
	for range 3 * 900 {
		now = now.Add(time.Second / 900)
		if l.Allow(now) {
			written++
		}
	}
	qt.Assert(t, written <= 4*100, qt.IsTrue, qt.Commentf("%d lines", written))
	qt.Assert(t, l.Dropped(), qt.Equals, int64(3*900-written))
	qt.Assert(t, l.Dropped(), qt.Equals, int64(0))
}
