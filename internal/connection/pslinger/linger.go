// Package pslinger closes callers' connections so that the last response arrives.
//
// Closing a TCP connection with unread received bytes resets it, and the reset may destroy a response that the other end
// hasn't read yet. This happens if the response is sent before all that the caller sends was read. Such a connection is
// closed in two steps: its sending side is shut down while received bytes are read and dropped, for a bounded time and
// up to a bounded size, and then it is closed.
package pslinger

import (
	"io"
	"net"
	"time"

	"persimmonstep/internal/connection/pssocket"
)

const (
	// lingerTimeout bounds the time for which received bytes are dropped.
	lingerTimeout = 2 * time.Second
	// maxBytes bounds the number of dropped bytes.
	maxBytes = 4 << 20
	// unacknowledgedInterval is how often a connection is checked that must not be closed before its last response has
	// arrived.
	unacknowledgedInterval = 10 * time.Millisecond
)

// Close closes a connection after its last response. It returns once the other end has closed the connection too, or
// after a bounded time. A close from another goroutine ends it.
func Close(c *net.TCPConn) {
	if c.CloseWrite() == nil {
		drain(c)
	}
	_ = c.Close()
}

// drain drops received bytes.
func drain(c *net.TCPConn) {
	// Errors only end the lingering early.
	end := time.Now().Add(lingerTimeout)
	_ = c.SetReadDeadline(end)
	dropped, _ := io.CopyN(io.Discard, c, maxBytes)
	// Closing with unread bytes also drops the part of the response that the other end hasn't received yet.
	for dropped == maxBytes && pssocket.Unacknowledged(c) > 0 && time.Now().Before(end) {
		time.Sleep(unacknowledgedInterval)
	}
}

// ResetOnClose makes the close of a connection reset it. If only the close marks the end of a response, the other end
// would otherwise accept a truncated response as complete.
func ResetOnClose(c net.Conn) {
	if v, found := c.(interface{ SetLinger(seconds int) error }); found {
		// An error means that the connection is already closed, so nothing is left to do.
		_ = v.SetLinger(0)
	}
}
