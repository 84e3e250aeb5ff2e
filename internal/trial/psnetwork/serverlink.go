package psnetwork

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// LinkState is the state of a VM's links to all backend servers.
type LinkState uint8

const (
	// LinksUp pass all bytes.
	LinksUp LinkState = iota
	// LinksHang pass nothing: open connections and new ones get no response.
	LinksHang
	// LinksReset reset all connections and refuse new ones.
	LinksReset
	// LinksRefuse keep open connections and refuse new ones.
	LinksRefuse
)

// unackedTimeout is how long an open connection stays open while its link hangs.
const unackedTimeout = 1200 * time.Millisecond

// SetServerLinks changes the links of a VM to all backend servers.
func (n *Network) SetServerLinks(vm netip.Addr, to LinkState) { n.linksOf(vm).set(to) }

func (n *Network) linksOf(vm netip.Addr) *serverLinks {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.serverLinks == nil {
		n.serverLinks = make(map[netip.Addr]*serverLinks)
	}
	if n.serverLinks[vm] == nil {
		n.serverLinks[vm] = &serverLinks{from: vm, open: make(map[*serverConn]bool), changed: make(chan struct{})}
	}
	return n.serverLinks[vm]
}

// serverLinks are the links of one VM to all backend servers.
type serverLinks struct {
	from netip.Addr

	mutex   sync.Mutex
	state   LinkState
	open    map[*serverConn]bool
	changed chan struct{}
}

func (l *serverLinks) set(to LinkState) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.state = to
	close(l.changed)
	l.changed = make(chan struct{})
	for c := range l.open {
		switch to {
		case LinksHang:
			c.stall()
		case LinksReset:
			_ = c.SetLinger(0)
			_ = c.TCPConn.Close()
		default:
		}
	}
}

func (l *serverLinks) current() (LinkState, <-chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state, l.changed
}

// dial opens a connection to a backend server.
func (l *serverLinks) dial(ctx context.Context, network, address string) (net.Conn, error) {
	for {
		state, changed := l.current()
		switch state {
		case LinksUp:
			return l.connect(ctx, network, address)
		case LinksHang:
			select {
			case <-ctx.Done():
				return nil, errors.Wrap(ctx.Err(), "dial server")
			case <-changed:
			}
		default:
			return nil, errors.Wrap(syscall.ECONNREFUSED, "dial server")
		}
	}
}

func (l *serverLinks) connect(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{LocalAddr: &net.TCPAddr{IP: l.from.AsSlice()}}
	raw, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &serverConn{TCPConn: raw.(*net.TCPConn), links: l, stalled: make(chan struct{})}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open[c] = true
	return c, nil
}

// serverConn is a connection to a backend server whose link may hang. Bytes that are sent while it hangs are lost.
type serverConn struct {
	*net.TCPConn
	links   *serverLinks
	once    sync.Once
	stalled chan struct{}
}

// stall makes the connection hang for good, and fail like one whose bytes aren't acknowledged.
func (c *serverConn) stall() {
	c.once.Do(func() {
		close(c.stalled)
		time.AfterFunc(unackedTimeout, func() { _ = c.Close() })
	})
}

func (c *serverConn) hangs() bool {
	select {
	case <-c.stalled:
		return true
	default:
		return false
	}
}

// Write implements [net.Conn].
func (c *serverConn) Write(b []byte) (int, error) {
	if c.hangs() {
		return len(b), nil
	}
	return c.TCPConn.Write(b)
}

// Read implements [net.Conn].
func (c *serverConn) Read(b []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(b)
		if err != nil || !c.hangs() {
			return n, err
		}
	}
}

// Close implements [net.Conn].
func (c *serverConn) Close() error {
	c.links.mutex.Lock()
	delete(c.links.open, c)
	c.links.mutex.Unlock()
	return c.TCPConn.Close()
}
