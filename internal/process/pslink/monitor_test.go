package pslink_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"persimmonstep/internal/process/pslink"
	"persimmonstep/internal/process/psserver"
)

// network is the network between a VM and servers in three failure domains.
type network struct {
	mutex sync.Mutex
	// down holds the failure domains whose servers can't be reached.
	down    map[string]bool
	hangs   bool
	changes []bool
	dials   int
}

var domains = []string{"north-a", "north-b", "south-a"}

func (n *network) entry(i int) psserver.Entry {
	return psserver.Entry{
		ID: fmt.Sprint("i-", i), FailureDomain: domains[i%len(domains)],
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
	}
}

func (n *network) RegisteredServers() []psserver.Entry {
	var list []psserver.Entry
	for i := range 12 {
		list = append(list, n.entry(i))
	}
	return list
}

func (n *network) LinksChanged(lost bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.changes = append(n.changes, lost)
}

func (n *network) Reach(ctx context.Context, a netip.AddrPort) error {
	n.mutex.Lock()
	n.dials++
	down, hangs := n.down[domains[int(a.Addr().As4()[3])%len(domains)]], n.hangs
	n.mutex.Unlock()
	switch {
	case !down:
		return nil
	case hangs:
		<-ctx.Done()
		return ctx.Err()
	}
	return errors.New("refused")
}

// seen returns the changes that the owner was told of, and the number of connections that were tried.
func (n *network) seen() (changes []bool, dials int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return slices.Clone(n.changes), n.dials
}

func (n *network) set(hangs bool, down ...string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.hangs, n.down = hangs, map[string]bool{}
	for _, d := range down {
		n.down[d] = true
	}
}

func run(t *testing.T, test func(t *testing.T, n *network, m *pslink.Monitor)) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{}
		m := pslink.New(n, hclog.NewNullLogger(), time.Now)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go m.Run(ctx, n)
		test(t, n, m)
	})
}

// connect opens a connection.
func connect(m *pslink.Monitor) {
	time.Sleep(time.Millisecond)
	m.Connected(time.Now())
}

// TestLostLinksAreNoticed cuts a VM off from all servers. It guards against a VM that takes each server for failed, one
// after the other.
func TestLostLinksAreNoticed(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		for name, fail := range map[string]func(m *pslink.Monitor, server string){
			"no connection": (*pslink.Monitor).Unconnected, "no response": (*pslink.Monitor).Unanswered,
		} {
			t.Run(fmt.Sprint(name, hangs), func(t *testing.T) {
				run(t, func(t *testing.T, n *network, m *pslink.Monitor) {
					n.set(hangs, domains...)
					fail(m, "i-0")
					fail(m, "i-1")
					time.Sleep(500 * time.Millisecond)
					qt.Assert(t, m.Lost(), qt.IsTrue)
					n.set(hangs)
					time.Sleep(2500 * time.Millisecond)
					qt.Assert(t, m.Lost(), qt.IsFalse)
					changes, _ := n.seen()
					qt.Assert(t, changes, qt.DeepEquals, []bool{true, false})
				})
			})
		}
	}
}

// TestFailedServersAreNotLostLinks fails servers, failure domains and half of all servers while the VM reaches others.
// It guards against a VM that takes these for lost links and stops using the servers that it reaches.
func TestFailedServersAreNotLostLinks(t *testing.T) {
	for _, down := range [][]string{{}, {"north-a"}, {"north-a", "north-b"}} {
		run(t, func(t *testing.T, n *network, m *pslink.Monitor) {
			n.set(true, down...)
			for i := range 100 {
				m.Unconnected(fmt.Sprint("i-", i%12))
				m.Unanswered(fmt.Sprint("i-", i%12))
				time.Sleep(100 * time.Millisecond)
			}
			qt.Assert(t, m.Lost(), qt.IsFalse)
			_, dials := n.seen()
			qt.Assert(t, dials <= 200, qt.IsTrue, qt.Commentf("%d connections in 10 s", dials))
		})
	}
}

// TestOneFailedServerIsNotChecked guards against connections to other servers each time that one server fails.
func TestOneFailedServerIsNotChecked(t *testing.T) {
	run(t, func(t *testing.T, n *network, m *pslink.Monitor) {
		for range 100 {
			m.Unconnected("i-0")
			connect(m)
			m.Unconnected("i-1")
			connect(m)
		}
		m.Unanswered("i-0")
		m.Responded()
		m.Unanswered("i-1")
		time.Sleep(time.Second)
		_, dials := n.seen()
		qt.Assert(t, dials, qt.Equals, 0)
	})
}

// TestFlappingLinksStayLost guards against links that are used again each time that they work for a moment.
func TestFlappingLinksStayLost(t *testing.T) {
	run(t, func(t *testing.T, n *network, m *pslink.Monitor) {
		n.set(true, domains...)
		m.Unconnected("i-0")
		m.Unconnected("i-1")
		for range 10 {
			time.Sleep(700 * time.Millisecond)
			n.set(true)
			time.Sleep(700 * time.Millisecond)
			n.set(true, domains...)
		}
		changes, dials := n.seen()
		qt.Assert(t, changes, qt.DeepEquals, []bool{true})
		qt.Assert(t, dials <= 120, qt.IsTrue, qt.Commentf("%d connections in 14 s", dials))
	})
}

// TestConclusionsAboutServersNeedLinks guards against conclusions about servers that are due to this VM's links.
func TestConclusionsAboutServersNeedLinks(t *testing.T) {
	run(t, func(t *testing.T, n *network, m *pslink.Monitor) {
		calls := 0
		count := func() { calls++ }
		m.OnceConnected(count)
		m.Responded()
		qt.Assert(t, calls, qt.Equals, 0)
		connect(m)
		connect(m)
		qt.Assert(t, calls, qt.Equals, 1)

		m.OnceConnected(count)
		time.Sleep(4 * time.Second)
		connect(m)
		qt.Assert(t, calls, qt.Equals, 1, qt.Commentf("too late"))

		n.set(false, domains...)
		m.OnceConnected(count)
		m.Unconnected("i-0")
		m.Unconnected("i-1")
		time.Sleep(time.Second)
		m.OnceConnected(count)
		connect(m)
		qt.Assert(t, calls, qt.Equals, 1, qt.Commentf("links are lost"))
	})
}
