// Package pslistener opens listeners, and closes them without a reset of connections that callers have just opened.
//
// The close of a listener resets the connections that wait at it, whose callers may already have sent a request. So packets
// that open connections are ignored first; their callers are refused once they try again. Then the connections that are
// being opened are accepted.
package pslistener

import (
	"context"
	"net"
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// handshakeTime is how long a listener that is about to close waits for connections that callers are opening. It
	// exceeds a round trip to callers.
	handshakeTime = 10 * time.Millisecond
	// maxWaiting bounds the connections that are accepted when the listener closes.
	maxWaiting = 256
)

// Listen opens a listener at an address. It doesn't offer Multipath TCP, whose listeners don't support socket filters, so
// that [Stop] couldn't drop the packets that open connections.
func Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	l, err := config.Listen(ctx, "tcp4", address.String())
	return l, errors.Wrapf(err, "listen at %s", address)
}

// Stop lets a listener end its accepts after a short time, in which connections that are being opened are completed.
func Stop(l net.Listener) {
	if v, found := l.(*net.TCPListener); found {
		control(v, ignoreNew)
		if v.SetDeadline(time.Now().Add(handshakeTime)) == nil {
			return
		}
	}
	_ = l.Close()
}

// Close closes a listener and returns the connections that still waited at it.
func Close(l net.Listener) []net.Conn {
	var waiting []int
	if v, found := l.(*net.TCPListener); found {
		control(v, func(fd int) { waiting = acceptWaiting(fd) })
	}
	_ = l.Close()
	var list []net.Conn
	for _, fd := range waiting {
		f := os.NewFile(uintptr(fd), "")
		c, err := net.FileConn(f)
		_ = f.Close()
		switch {
		case err != nil:
		case c.RemoteAddr() == nil:
			// It was reset while it waited.
			_ = c.Close()
		default:
			list = append(list, c)
		}
	}
	return list
}

// control calls a function with the descriptor of a listener, unless that is closed.
func control(l *net.TCPListener, do func(fd int)) {
	if raw, err := l.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { do(int(fd)) })
	}
}

// ignoreNew drops the packets that open connections at a listener. Other packets complete connections that are being
// opened. Without support for socket filters, connections continue to be opened.
func ignoreNew(listener int) {
	const (
		// flagsOffset is the offset of the flags in a TCP header, and synFlag the flag of a packet that opens a connection.
		flagsOffset = 13
		synFlag     = 2
	)
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, Jt: 0, Jf: 1, K: synFlag},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0xffffffff},
	}
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	_ = unix.SetsockoptSockFprog(listener, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
}

// acceptWaiting accepts the connections that wait at a listener, without blocking.
func acceptWaiting(listener int) []int {
	var list []int
	for len(list) < maxWaiting {
		fd, _, err := syscall.Accept4(listener, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		switch {
		case err == nil:
			list = append(list, fd)
		case err == syscall.EINTR || err == syscall.ECONNABORTED: //nolint:errorlint // bare error numbers
		default:
			return list
		}
	}
	return list
}
