package pscontrol

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"persimmonstep/internal/process/psfleet"
	"persimmonstep/platform"
)

const (
	// relayedFleet is the size of a fleet from which on one VM of each region reads the
	// store for the others. Below, it costs less that each VM waits for changes itself.
	relayedFleet = 20
	// relayWait is how long the reading VM waits for changes. Its notices show the others
	// how fresh their beliefs are, so they must be frequent.
	relayWait = 500 * time.Millisecond
	// relaySpan is how long after a notice the others rely on the reading VM.
	relaySpan = 1300 * time.Millisecond
	// noticeBacklog is the number of notices that may wait.
	noticeBacklog = 16
)

// relay is what a VM knows of the one that reads the store for its region: the first by name.
type relay struct {
	// heardAt is when the last notice of an earlier VM came, in nanoseconds since the start.
	heardAt *atomic.Int64
	begun   time.Time
	servers chan *psfleet.ServerChanges
	orders  chan int64
}

func newRelay() relay {
	return relay{
		heardAt: &atomic.Int64{}, begun: time.Now(),
		servers: make(chan *psfleet.ServerChanges, noticeBacklog), orders: make(chan int64, noticeBacklog),
	}
}

// Noticed takes in what the reading VM tells. A notice that doesn't fit is made up for by the next.
func (c *Control) Noticed(n *psfleet.Notice) {
	i := c.options.Identity
	if n.Region != i.Region || n.VM >= i.VM {
		return
	}
	c.relay.heardAt.Store(int64(time.Since(c.relay.begun)))
	if n.Servers != nil {
		select {
		case c.relay.servers <- n.Servers:
		default:
		}
		return
	}
	select {
	case c.relay.orders <- n.Orders:
	default:
	}
}

// relays reports whether one VM of each region reads the store.
func (c *Control) relays() bool { return c.Snapshot().FleetSize >= relayedFleet }

// relies reports whether this VM relies on the notices of another one.
func (c *Control) relies() bool {
	at := c.relay.heardAt.Load()
	return at > 0 && c.relays() && time.Since(c.relay.begun)-time.Duration(at) < relaySpan
}

// changesWait returns how long a call waits for changes.
func (c *Control) changesWait() time.Duration {
	if c.relays() {
		return relayWait
	}
	return changesWait
}

// notice tells the other VMs of the region.
func (c *Control) notice(n *psfleet.Notice) {
	if !c.relays() {
		return
	}
	i := c.options.Identity
	n.VM, n.Region = i.VM, i.Region
	to := lo.Filter(c.Snapshot().holders, func(v psfleet.Identity, _ int) bool { return v.Region == i.Region && v.VM != i.VM })
	if err := c.options.Peers.Notice(n, to); err != nil {
		c.options.Logger.Debug("notice not sent to all VMs", "error", err.Error())
	}
}

// awaitServers waits for a notice. It returns the version that is known then, and true if
// changes are missing that must be read.
func (c *Control) awaitServers(ctx context.Context, version int64) (int64, bool) {
	select {
	case <-ctx.Done():
	case <-time.After(relayWait / 2):
	case n := <-c.relay.servers:
		if n.From > version {
			return version, true
		}
		if n.To > version {
			c.tell(serversEvent{servers: platform.Servers{Entries: n.Entries, Removed: n.Removed, Version: n.To}})
			return n.To, false
		}
	}
	return version, false
}

// awaitOrders is the same for the operator's changes, which notices only announce.
func (c *Control) awaitOrders(ctx context.Context, version int64) (int64, bool) {
	select {
	case <-ctx.Done():
	case <-time.After(relayWait / 2):
	case v := <-c.relay.orders:
		return version, v > version
	}
	return version, false
}
