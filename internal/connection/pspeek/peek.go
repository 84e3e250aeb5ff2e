// Package pspeek looks at a connection without taking anything from it.
//
// A connection that was closed by its other end, or on which something came unasked, shows that in
// the socket before anybody reads from it.
package pspeek

import (
	"net"
	"syscall"
)

// State is what a look at a connection shows.
type State uint8

const (
	// Quiet connections are open, and nothing has come.
	Quiet State = iota
	// Pending connections have bytes to read.
	Pending
	// Closed connections were closed or reset by the other end.
	Closed
	// Unknown connections can't be looked at.
	Unknown
)

// At looks at a connection.
func At(c net.Conn) State {
	s, found := c.(syscall.Conn)
	if !found {
		return Unknown
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Unknown
	// Control, unlike Read, doesn't wait for a reader that another goroutine may be.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, failed := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case failed == syscall.EAGAIN: //nolint:errorlint // a bare error number
			state = Quiet
		case failed != nil || n == 0:
			state = Closed
		default:
			state = Pending
		}
	})
	if err != nil {
		return Closed
	}
	return state
}
