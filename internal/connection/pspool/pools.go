// Package pspool holds the connections to backend servers, in one pool for each server.
//
// Each pool is bounded by this VM's share of the connections that the server accepts, and all pools together by the VM's file
// descriptors. What counts toward the share is what the server may still count: connections in use, idle, being opened, or
// closed a moment ago while the server worked on a request.
package pspool

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	dialTimeout = 500 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the connection fails.
	unackedTimeout = 1200 * time.Millisecond
)

// keepAlive detects connections whose other end has disappeared without closing them, while nothing is sent. Because
// unackedTimeout is set as well, the first unanswered probe decides: the connection fails at the next one, 3 s after
// the last bytes.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// ErrNoDescriptors is returned if the limit of all connections together is reached and none of them is idle.
var ErrNoDescriptors = errors.New("open connection: too many connections of this VM")

// Dial opens a connection, as [net.Dialer.DialContext] does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Pools holds the pools of all servers. The zero value has none. It is safe for concurrent use.
type Pools struct {
	// Source is the local address of the connections; the system chooses it if it is zero. It must be set before
	// the first use.
	Source netip.Addr
	// Dial replaces the opening of connections, unless it is nil. It must be set before the first use.
	Dial Dial
	// MaxOpen bounds the open connections to all servers together; 0 means no bound. When it is reached, the connection that has
	// been idle longest is closed. It must be set before the first use.
	MaxOpen int

	// open counts the connections that are open or being opened, evicted those that were closed while idle because of
	// MaxOpen, and refused those that were not opened because of it.
	open, evicted, refused atomic.Int64

	mutex sync.Mutex
	pools map[netip.AddrPort]*pool
}

// Usage is the number of connections of all pools.
type Usage struct {
	// Open connections are in use, idle or being opened.
	Open int64
	// Evicted counts the idle connections that were closed for others, and Refused the connections that were not opened.
	Evicted, Refused int64
}

// Usage returns the current numbers.
func (s *Pools) Usage() Usage {
	return Usage{Open: s.open.Load(), Evicted: s.evicted.Load(), Refused: s.refused.Load()}
}

// Retain closes the pools of servers for which keep returns false. Exchanges in progress continue.
func (s *Pools) Retain(keep func(netip.AddrPort) bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for a, p := range s.pools {
		if !keep(a) {
			delete(s.pools, a)
			p.close()
		}
	}
}

// OpenConnections returns the number of open connections to a server, including those being dialed.
func (s *Pools) OpenConnections(address netip.AddrPort) int {
	s.mutex.Lock()
	p, found := s.pools[address]
	s.mutex.Unlock()
	if !found {
		return 0
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.open
}

// Get returns an unused connection to a server or opens one, and waits while the limit is reached. Connections that were
// idle for longer than maxIdle are not reused; 0 allows any idle time. With a limit of 0 the connection is dedicated: it
// is opened at once, unless others of that kind already exceed the limit of the pool, and closed after one exchange.
func (s *Pools) Get(ctx context.Context, address netip.AddrPort, limit int, maxIdle time.Duration) (*Conn, error) {
	s.mutex.Lock()
	p, found := s.pools[address]
	if !found {
		if s.pools == nil {
			s.pools = make(map[netip.AddrPort]*pool)
		}
		p = &pool{address: address, pools: s}
		s.pools[address] = p
	}
	s.mutex.Unlock()
	return p.get(ctx, limit, maxIdle)
}

// Reach opens a connection to a server and closes it at once. It returns an error if that fails. The bounds don't apply,
// because a VM that uses all of its connections would otherwise conclude that it has lost its links.
func (s *Pools) Reach(ctx context.Context, address netip.AddrPort) error {
	c, err := s.dial(ctx, address)
	if err != nil {
		return err
	}
	return c.Close()
}

// connect opens a connection to a server, which counts as open from then on.
func (s *Pools) connect(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if !s.reserve() {
		s.refused.Add(1)
		return nil, ErrNoDescriptors
	}
	c, err := s.dial(ctx, address)
	if err != nil {
		s.open.Add(-1)
	}
	return c, err
}

func (s *Pools) dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	ctx, stop := context.WithTimeout(ctx, dialTimeout)
	defer stop()
	dial := s.Dial
	if dial == nil {
		dial = s.dialer().DialContext
	}
	return dial(ctx, "tcp", address.String())
}

// reserve counts a connection that is about to be opened. It returns false if there are too many.
func (s *Pools) reserve() bool {
	for {
		if n := s.open.Add(1); s.MaxOpen <= 0 || n <= int64(s.MaxOpen) {
			return true
		}
		s.open.Add(-1)
		if !s.closeLongestIdle() {
			return false
		}
	}
}

// closeLongestIdle closes the connection that has been idle longest. It returns false if none is idle.
func (s *Pools) closeLongestIdle() bool {
	s.mutex.Lock()
	var longest *pool
	var since time.Time
	for _, p := range s.pools {
		if t, found := p.longestIdleSince(); found && (longest == nil || t.Before(since)) {
			longest, since = p, t
		}
	}
	s.mutex.Unlock()
	if longest == nil {
		return false
	}
	// Another exchange may have taken the connection meanwhile, so that the search must be repeated.
	if longest.closeIdle() {
		s.evicted.Add(1)
	}
	return true
}

// dialer returns the dialer of connections to servers.
func (s *Pools) dialer() *net.Dialer {
	d := &net.Dialer{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	if s.Source.IsValid() {
		d.LocalAddr = &net.TCPAddr{IP: s.Source.AsSlice()}
	}
	return d
}

// setUserTimeout makes a connection fail if its other end doesn't acknowledge sent bytes in time.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// remove removes a waiter from a list.
func remove(list []chan grant, w chan grant) []chan grant {
	return slices.DeleteFunc(list, func(v chan grant) bool { return v == w })
}
