package pssocket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Ending is how the other end has ended a connection.
type Ending uint8

const (
	// EndingUnknown connections don't show how they ended: the system doesn't tell, or they are open.
	EndingUnknown Ending = iota
	// EndedRegularly connections were closed by the other end after all of its bytes.
	EndedRegularly
	// EndedAbruptly connections were reset or have failed. The other end may have closed them regularly before.
	EndedAbruptly
)

// States of a TCP connection in TCP_INFO, of include/net/tcp_states.h of Linux.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// EndingOf returns how the other end has ended a connection that was read to its end. Unlike an error of the socket,
// which only the first call gets that reads or writes, the state stays.
func EndingOf(c net.Conn) Ending {
	s, found := c.(syscall.Conn)
	if !found {
		return EndingUnknown
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return EndingUnknown
	}
	ending := EndingUnknown
	err = raw.Control(func(fd uintptr) {
		info, failed := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		switch {
		case failed != nil:
		case info.State == tcpCloseWait:
			ending = EndedRegularly
		case info.State == tcpClose:
			ending = EndedAbruptly
		}
	})
	if err != nil {
		return EndingUnknown
	}
	return ending
}

// Unacknowledged returns the number of bytes that were sent and not acknowledged by the other end; 0 if the system doesn't
// tell.
func Unacknowledged(c syscall.Conn) int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	// An error means that the connection is closed, so that nothing can arrive any more.
	_ = raw.Control(func(fd uintptr) {
		if v, failed := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); failed == nil {
			n = v
		}
	})
	return n
}
