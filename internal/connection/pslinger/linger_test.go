package pslinger_test

import (
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/connection/pslinger"
)

// pair returns both ends of a connection: the accepted one and the caller's.
func pair(t *testing.T) (accepted, caller *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // a test's listener
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	dialed, err := net.Dial("tcp", l.Addr().String()) //nolint:noctx // a test's connection
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = dialed.Close() })
	c, err := l.Accept()
	qt.Assert(t, err, qt.IsNil)
	return c.(*net.TCPConn), dialed.(*net.TCPConn)
}

// closeLater closes a connection on another goroutine, for which the test waits at its end.
func closeLater(t *testing.T, c *net.TCPConn) {
	t.Helper()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		pslinger.Close(c)
	}()
	t.Cleanup(func() { <-ended })
}

// TestResponseArrivesWhileRequestIsSent guards against losing a response by a reset. It closes a connection after the
// response while the caller is still sending. The caller must be able to continue sending and to read the response.
func TestResponseArrivesWhileRequestIsSent(t *testing.T) {
	accepted, caller := pair(t)
	_, err := caller.Write(make([]byte, 64<<10))
	qt.Assert(t, err, qt.IsNil)
	_, err = io.WriteString(accepted, "response")
	qt.Assert(t, err, qt.IsNil)
	closeLater(t, accepted)
	for range 10 {
		_, err = caller.Write(make([]byte, 10<<10))
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(10 * time.Millisecond)
	}
	got, err := io.ReadAll(caller)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(got), qt.Equals, "response")
}

// TestEndlessRequestIsCutOff keeps sending after the close. Lingering must end and close the connection.
func TestEndlessRequestIsCutOff(t *testing.T) {
	accepted, caller := pair(t)
	closeLater(t, accepted)
	start := time.Now()
	for {
		if _, err := caller.Write(make([]byte, 256<<10)); err != nil {
			break
		}
		qt.Assert(t, time.Since(start) < 10*time.Second, qt.IsTrue)
	}
}

func TestResetIsSeenAsError(t *testing.T) {
	accepted, caller := pair(t)
	_, err := io.WriteString(accepted, "half of a response")
	qt.Assert(t, err, qt.IsNil)
	pslinger.ResetOnClose(accepted)
	qt.Assert(t, accepted.Close(), qt.IsNil)
	_, err = io.ReadAll(caller)
	qt.Assert(t, err, qt.IsNotNil)
}
