// Package pssocket reads the state of a connection from its socket without consuming received bytes.
//
// The socket shows whether the other end has closed the connection or sent unexpected bytes before the connection is
// read. With this check, a stale connection is not reused, and work for a caller that has disconnected is avoided.
package pssocket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the state of a connection as its socket shows it.
type State uint8

const (
	// Idle connections are open and have no bytes to read.
	Idle State = iota
	// Pending connections have bytes to read. They may be closed after these.
	Pending
	// Closed connections were closed or reset by the other end.
	Closed
	// Unknown connections don't give access to a socket.
	Unknown
)

// StateOf returns the state of a connection. It doesn't block.
func StateOf(c net.Conn) State {
	s, found := c.(syscall.Conn)
	if !found {
		return Unknown
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Unknown
	// Unlike Read, Control doesn't wait for another goroutine that reads from the connection.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, failed := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case failed == syscall.EAGAIN: //nolint:errorlint // a bare error number
			state = Idle
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

// PeerClosed reports whether the other end has closed or reset a TCP connection, also if there are bytes to read. It
// doesn't block.
func PeerClosed(c net.Conn) bool {
	s, found := c.(syscall.Conn)
	if !found {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, failed := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = failed == nil && (info.State == tcpClose || info.State == tcpCloseWait)
	})
	return closed || err != nil
}
