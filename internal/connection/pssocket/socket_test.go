package pssocket_test

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/connection/pssocket"
)

func TestStateOf(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // a test's listener
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()                              //nolint:errcheck // the test is over with it
	a, err := net.Dial("tcp", l.Addr().String()) //nolint:noctx // a test's connection
	qt.Assert(t, err, qt.IsNil)
	b, err := l.Accept()
	qt.Assert(t, err, qt.IsNil)
	defer b.Close() //nolint:errcheck // the test is over with it

	qt.Assert(t, pssocket.StateOf(b), qt.Equals, pssocket.Idle)
	_, err = a.Write([]byte("x"))
	qt.Assert(t, err, qt.IsNil)
	waitForState(t, b, pssocket.Pending)
	_, err = b.Read(make([]byte, 8))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, a.Close(), qt.IsNil)
	waitForState(t, b, pssocket.Closed)
	qt.Assert(t, b.Close(), qt.IsNil)
	qt.Assert(t, pssocket.StateOf(b), qt.Equals, pssocket.Closed)

	// The call must not wait for another goroutine that reads.
	c, err := net.Dial("tcp", l.Addr().String()) //nolint:noctx // a test's connection
	qt.Assert(t, err, qt.IsNil)
	go func() { _, _ = c.Read(make([]byte, 1)) }()
	time.Sleep(20 * time.Millisecond)
	qt.Assert(t, pssocket.StateOf(c), qt.Equals, pssocket.Idle)
	qt.Assert(t, c.Close(), qt.IsNil)

	pipe, _ := net.Pipe()
	qt.Assert(t, pssocket.StateOf(pipe), qt.Equals, pssocket.Unknown)
}

// waitForState waits until a connection has a state.
func waitForState(t *testing.T, c net.Conn, want pssocket.State) {
	t.Helper()
	for start := time.Now(); pssocket.StateOf(c) != want; time.Sleep(time.Millisecond) {
		qt.Assert(t, time.Since(start) < 3*time.Second, qt.IsTrue)
	}
}
