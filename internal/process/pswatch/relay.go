package pswatch

import (
	"context"
	"sync/atomic"
	"time"

	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/version/psmoment"
	"persimmonstep/platform"
)

// relay is what a VM knows of the one that reads the store for its region: the first by name.
type relay struct {
	// heardAt is when the last notice of an earlier VM came, or the tables of another one, in
	// nanoseconds since the start.
	lastNoticeAt *atomic.Int64
	startedAt    time.Time
	// teller names the VM of the last notice.
	sender  *atomic.Pointer[string]
	servers chan *psfleet.ServerChanges
	orders  chan psmoment.Moment
}

func newRelay() relay {
	return relay{
		lastNoticeAt: &atomic.Int64{}, startedAt: time.Now(), sender: &atomic.Pointer[string]{},
		servers: make(chan *psfleet.ServerChanges, noticeBacklog), orders: make(chan psmoment.Moment, noticeBacklog),
	}
}

// hear takes in that another VM reads for this one, for a span more than usual.
func (r *relay) renew(more time.Duration) {
	r.lastNoticeAt.Store(int64(time.Since(r.startedAt) + more))
}

// Noticed takes in what the reading VM tells. A notice that doesn't fit is made up for by the next.
func (f *Watcher) HandleNotice(n *psfleet.Notice) {
	self := f.options.Self
	if n.Region != self.Region || !(psfleet.Identity{VM: n.VM, Link: n.Link}).Before(self) {
		return
	}
	f.relay.sender.Store(&n.VM)
	f.relay.renew(0)
	if n.Servers != nil {
		select {
		case f.relay.servers <- n.Servers:
		default:
		}
		return
	}
	select {
	case f.relay.orders <- n.Orders:
	default:
	}
}

// relays reports whether one VM of each region reads the store.
func (f *Watcher) relayEnabled() bool { return f.options.Peers.FleetSize() >= psfleet.Large }

// relies reports whether this VM relies on the notices of another one.
func (f *Watcher) usesRelay() bool {
	at := f.relay.lastNoticeAt.Load()
	return at > 0 && f.relayEnabled() && time.Since(f.relay.startedAt)-time.Duration(at) < relayTimeout
}

// changesWait returns how long a call waits for changes.
func (f *Watcher) currentPollWait() time.Duration {
	if f.relayEnabled() {
		return relayPollWait
	}
	return pollWait
}

// notice tells the other VMs of the region.
func (f *Watcher) sendNotice(n *psfleet.Notice) {
	if !f.relayEnabled() || !f.options.Peers.IsRelay() {
		return
	}
	self := f.options.Self
	n.VM, n.Link, n.Region = self.VM, self.Link, self.Region
	f.options.Peers.SendNotice(n)
}

// awaitServers waits for a notice. It returns the moment that is known then, and true if
// changes are missing that must be read.
func (f *Watcher) awaitServersNotice(ctx context.Context, known psmoment.Moment) (psmoment.Moment, bool) {
	select {
	case <-ctx.Done():
	case <-time.After(relayPollWait / 2):
	case n := <-f.relay.servers:
		if n.Before.After(known) || n.To.Era > known.Era {
			return known, true
		}
		if n.To.After(known) {
			f.options.Sink.ApplyServers(platform.Servers{Entries: n.Entries, Removed: n.Removed, At: n.To}, false, false)
			return n.To, false
		}
	}
	return known, false
}

// awaitOrders is the same for the operator's changes, which notices only announce. They are asked
// for at the VM that announces them.
func (f *Watcher) awaitOrdersNotice(ctx context.Context, known psmoment.Moment) (psmoment.Moment, bool) {
	select {
	case <-ctx.Done():
	case <-time.After(relayPollWait / 2):
	case at := <-f.relay.orders:
		switch {
		case at.Era > known.Era:
			return known, true
		case at.After(known):
			return f.fetchOrders(ctx, known, at)
		}
	}
	return known, false
}

// askOrders asks the telling VM for orders of a moment or later. It returns true if the store
// must be read instead.
func (f *Watcher) fetchOrders(ctx context.Context, known, wanted psmoment.Moment) (at psmoment.Moment, missing bool) {
	limited, stop := context.WithTimeout(ctx, peerTimeout)
	defer stop()
	at, found := f.options.PeerSource.FetchOrders(limited, *f.relay.sender.Load(), wanted)
	if !found {
		return known, true
	}
	return at, false
}
