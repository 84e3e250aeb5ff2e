// Package pslink finds out whether this VM has lost its own links to the backend servers.
//
// A server that can't be reached is usually down itself. But a VM may be partitioned from all servers while callers, the
// store and the other VMs still reach it. Judging each server by its requests then takes seconds, and what the VM
// concludes about the servers is wrong. A [Monitor] therefore collects the failures over all servers. If several servers
// fail and none is reached meanwhile, it connects to servers in several failure domains. If it reaches none of them, the
// links are lost. It then keeps connecting to a few servers, and the links are restored once that has succeeded for a
// while.
package pslink

import (
	"context"
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/process/pswait"
)

const (
	// suspectServers is the number of servers that must fail in succession before the links are checked.
	suspectServers = 2
	// sampleSize is the number of servers to which a check of suspected links connects, and recheckSize that of each
	// check of lost links.
	sampleSize  = 6
	recheckSize = 2
	// checkTimeout limits a check.
	checkTimeout = 400 * time.Millisecond
	// checkInterval is the time between two checks.
	checkInterval = 400 * time.Millisecond
	// stableTime is how long all checks must succeed before lost links count as restored, so that links that fail again
	// at once aren't used in between.
	stableTime = time.Second
)

// MaxDelay is how long a conclusion about a server may wait for the proof that the links work, and the time before the
// links are found lost within which failures of servers are due to the links.
const MaxDelay = 3 * time.Second

// Dialer opens a connection to a server and closes it again.
type Dialer interface {
	Reach(ctx context.Context, address netip.AddrPort) error
}

// Owner uses the result of a [Monitor].
type Owner interface {
	// RegisteredServers lists the servers that can be expected to accept connections.
	RegisteredServers() []psserver.Entry
	// LinksChanged is called when the links were lost or restored.
	LinksChanged(lost bool)
}

// Monitor monitors the links of one VM to the backend servers. It is safe for concurrent use.
type Monitor struct {
	dialer Dialer
	logger hclog.Logger
	// now returns the current time with a monotonic reading.
	now func() time.Time

	// suspected receives a value when the links must be checked.
	suspected chan struct{}
	lost      atomic.Bool

	mutex sync.Mutex
	// unconnected holds the servers to which no connection could be opened since one could to any server, and
	// unanswered those that left requests unanswered since any server responded.
	unconnected, unanswered map[string]time.Time
	// connectedAt is when a connection to any server was last opened.
	connectedAt time.Time
	waiting     []conclusion
}

// conclusion is a conclusion about a server that waits for the proof that the links work.
type conclusion struct {
	at time.Time
	do func()
}

// New returns a monitor of links that work.
func New(d Dialer, l hclog.Logger, now func() time.Time) *Monitor {
	return &Monitor{
		dialer: d, logger: l, now: now, suspected: make(chan struct{}, 1),
		unconnected: map[string]time.Time{}, unanswered: map[string]time.Time{},
	}
}

// Lost reports whether the links to all servers are lost.
func (m *Monitor) Lost() bool { return m.lost.Load() }

// Connected records that a connection to a server was opened at a time. It refutes earlier failures only.
func (m *Monitor) Connected(at time.Time) {
	m.mutex.Lock()
	before := func(_ string, failedAt time.Time) bool { return failedAt.Before(at) }
	maps.DeleteFunc(m.unconnected, before)
	maps.DeleteFunc(m.unanswered, before)
	if at.After(m.connectedAt) {
		m.connectedAt = at
	}
	ready, waiting := lo.FilterReject(m.waiting, func(c conclusion, _ int) bool { return c.at.Before(at) })
	m.waiting = waiting
	m.mutex.Unlock()
	for _, c := range ready {
		if at.Sub(c.at) <= MaxDelay {
			c.do()
		}
	}
}

// Responded records that a server responded. It proves nothing about new connections.
func (m *Monitor) Responded() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	clear(m.unanswered)
}

// Unconnected records that no connection to a server could be opened.
func (m *Monitor) Unconnected(server string) { m.record(m.unconnected, server) }

// Unanswered records that a server left a request unanswered, or that the connection ended instead.
func (m *Monitor) Unanswered(server string) { m.record(m.unanswered, server) }

func (m *Monitor) record(failed map[string]time.Time, server string) {
	m.mutex.Lock()
	failed[server] = m.now()
	suspect := len(failed) >= suspectServers
	m.mutex.Unlock()
	if !suspect || m.Lost() {
		return
	}
	select {
	case m.suspected <- struct{}{}:
	default:
	}
}

// OnceConnected calls a function once a connection to any server has been opened from now on, which proves that a
// failure isn't due to the links. It never calls the function if that takes longer than a few seconds or the links are
// lost.
func (m *Monitor) OnceConnected(do func()) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := m.now()
	m.waiting = lo.Filter(m.waiting, func(c conclusion, _ int) bool { return now.Sub(c.at) <= MaxDelay })
	if !m.Lost() {
		m.waiting = append(m.waiting, conclusion{now, do})
	}
}

// Run checks the links for an owner until the context ends.
func (m *Monitor) Run(ctx context.Context, o Owner) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.suspected:
		}
		if m.confirm(ctx, o) {
			m.awaitRestored(ctx, o)
		}
		pswait.Sleep(ctx, checkInterval)
	}
}

// confirm checks suspected links and reports whether they are lost.
func (m *Monitor) confirm(ctx context.Context, o Owner) bool {
	m.mutex.Lock()
	unconnected, unanswered, connectedAt := len(m.unconnected), len(m.unanswered), m.connectedAt
	m.mutex.Unlock()
	if unconnected < suspectServers && unanswered < suspectServers {
		return false
	}
	checked := spread(o.RegisteredServers(), sampleSize)
	if len(checked) == 0 || m.reachesAny(ctx, checked) || ctx.Err() != nil {
		return false
	}
	m.change(true, o)
	since := ""
	if !connectedAt.IsZero() {
		since = m.now().Sub(connectedAt).String()
	}
	psevent.ServerLinksLost.Log(m.logger, unconnected, unanswered, len(checked), since)
	return true
}

// awaitRestored checks lost links until they have worked for a while.
func (m *Monitor) awaitRestored(ctx context.Context, o Owner) {
	lostAt := m.now()
	var goodSince time.Time
	for pswait.Sleep(ctx, checkInterval) {
		now := m.now()
		if !m.reachesAny(ctx, spread(o.RegisteredServers(), recheckSize)) {
			goodSince = time.Time{}
			continue
		}
		if goodSince.IsZero() {
			goodSince = now
		}
		if m.now().Sub(goodSince) >= stableTime {
			m.change(false, o)
			psevent.ServerLinksRestored.Log(m.logger, m.now().Sub(lostAt).String())
			return
		}
	}
}

func (m *Monitor) change(lost bool, o Owner) {
	m.mutex.Lock()
	clear(m.unconnected)
	clear(m.unanswered)
	m.waiting = nil
	m.lost.Store(lost)
	m.mutex.Unlock()
	o.LinksChanged(lost)
}

// reachesAny connects to servers at the same time and reports whether that succeeded for one of them.
func (m *Monitor) reachesAny(ctx context.Context, servers []psserver.Entry) bool {
	ctx, stop := context.WithTimeout(ctx, checkTimeout)
	defer stop()
	results := make(chan error, len(servers))
	for _, e := range servers {
		go func() { results <- m.dialer.Reach(ctx, e.Address) }()
	}
	for range servers {
		if err := <-results; err == nil {
			m.Connected(m.now())
			return true
		}
	}
	return false
}
