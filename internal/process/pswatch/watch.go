// Package psfollow keeps up with the platform's store.
//
// A [Follower] reads a table and then waits for its changes. In a large fleet one VM of each
// region does so for the others and passes on what it reads in notices; a VM that hears no
// notices reads itself.
package pswatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/pswait"
	"persimmonstep/internal/version/psmoment"
	"persimmonstep/platform"
)

const (
	// changesWait is how long one call waits for changes. Keep-alive probes find a connection
	// that goes silent meanwhile.
	pollWait = 12 * time.Second
	// changesPause is the least time between two calls for changes of the servers, so that
	// changes that come together cost one call. It lies far below the time in which a
	// leaving server must get no more requests.
	serversPollInterval = 500 * time.Millisecond
	// ordersPause is the same for the operator's changes.
	ordersPollInterval = 150 * time.Millisecond
	// callTimeout bounds the time until the store answers, on top of the time that it waits.
	responseTimeout = 900 * time.Millisecond
	// answerTimeout bounds the answer from then on. A table of thousands of rows takes seconds
	// over the slowest links.
	bodyTimeout = 5 * time.Second
	// retryInterval is the time before a failed call is repeated, and maxRetryInterval the
	// time after several failures. A VM that the store serves again must know it before the
	// fleet's bounds hold for it.
	retryInterval    = 200 * time.Millisecond
	maxRetryInterval = 500 * time.Millisecond
	// returnSpan is how long after the store's return servers write their entries again.
	reregistrationWindow = 1700 * time.Millisecond
	// relayWait is how long the reading VM waits for changes. Its notices show the others
	// how fresh their beliefs are, so they must be frequent.
	relayPollWait = 500 * time.Millisecond
	// relaySpan is how long after a notice the others rely on the reading VM.
	relayTimeout = 1300 * time.Millisecond
	// askTimeout bounds a question to the telling VM. The store must still answer in time after it.
	peerTimeout = 900 * time.Millisecond
	// startSpan is how much longer than after a notice a VM that starts relies on another one, which
	// may learn of it only then. No bound holds for a VM that has just started.
	startupGrace = 1200 * time.Millisecond
	// noticeBacklog is the number of notices that may wait.
	noticeBacklog = 16
)

// Store is what is followed of the platform's store.
type Store interface {
	Orders(ctx context.Context) (platform.Orders, error)
	OrderChanges(ctx context.Context, after psmoment.Moment, wait time.Duration) (platform.Orders, error)
	Servers(ctx context.Context) (platform.Servers, error)
	ServerChanges(ctx context.Context, after psmoment.Moment, wait time.Duration) (platform.Servers, error)
}

// Sink takes what was read.
type Sink interface {
	// TakeOrders takes the operator's orders: all there are, or what changed. While orders may still
	// return, because the store came back from a copy, missing ones don't count as taken back.
	ApplyOrders(o platform.Orders, whole, returning bool)
	// TakeServers takes entries of servers: all there are, or what changed. While entries may
	// still return, because the store was away, missing ones don't count as gone.
	ApplyServers(s platform.Servers, whole, returning bool)
}

// Region is the part of the fleet that shares readings.
type RegionPeers interface {
	// FleetSize returns the number of VMs of the whole fleet.
	FleetSize() int
	// Tells reports whether this VM is the one that tells the others of its region what it reads.
	// Others that miss notices read for themselves only: if all told all, the network would
	// lose notices, and more VMs would tell.
	IsRelay() bool
	// Notice sends a notice to the other VMs of the region.
	SendNotice(n *psfleet.Notice)
}

// Near asks other VMs for what they read, in place of the store.
type PeerSource interface {
	// AskOrders asks a VM for the operator's orders. It returns the moment that they are as of,
	// and false unless that is the one asked for or a later one.
	FetchOrders(ctx context.Context, vm string, at psmoment.Moment) (psmoment.Moment, bool)
	// AskTables asks for all tables when this VM starts. It returns the moments that they are as
	// of, and false if the store must be read.
	FetchTables(ctx context.Context) (Moments, bool)
}

// Moments are those of the store's history up to which tables are known.
type Moments struct {
	Orders, Servers psmoment.Moment
}

// Options are what a follower needs.
type Options struct {
	// Self is this VM.
	Self  psfleet.Identity
	Store Store
	// Near takes what it learns to the sink itself.
	PeerSource PeerSource
	Sink       Sink
	Peers      RegionPeers
	Logger     hclog.Logger
	// Now gives monotonic time.
	Now func() time.Time
}

// Follower follows the store for one VM.
type Watcher struct {
	options Options
	relay   relay
	// unread counts the tables that were never read, and failing those of which the last call
	// failed.
	unreadTables, failingTables atomic.Int32
}

// New returns a follower.
func New(o Options) *Watcher {
	f := &Watcher{options: o, relay: newRelay()}
	f.unreadTables.Store(tableCount)
	return f
}

// tables is the number of tables that are followed.
const tableCount = 2

// Lost reports whether a table can't be read now, or has not been yet.
func (f *Watcher) Lost() bool { return f.unreadTables.Load() > 0 || f.Failing() }

// Failing reports whether the store failed to answer the last call for a table. A table that is
// being read for the first time is lost but doesn't fail.
func (f *Watcher) Failing() bool { return f.failingTables.Load() > 0 }

// Run follows the store until the context ends.
func (f *Watcher) Run(ctx context.Context) {
	known, found := f.options.PeerSource.FetchTables(ctx)
	if found {
		f.unreadTables.Store(0)
		f.relay.renew(startupGrace)
	}
	go f.watchOrders(ctx, known.Orders)
	f.watchServers(ctx, known.Servers)
}

// watch calls the store again and again and notes when it is lost and regained.
type poller struct {
	watcher *Watcher
	outage  Outage
	// read says that the table was read once.
	succeeded bool
}

// do makes one call and reports whether the store answered it.
func (w *poller) poll(ctx context.Context, timeout time.Duration, call func(context.Context) error) bool {
	limited, stop := platform.WithAnswerTimeouts(ctx, timeout, bodyTimeout)
	defer stop()
	err := call(limited)
	if ctx.Err() != nil {
		return false
	}
	w.recordResult(err != nil)
	w.outage.Record(err, w.watcher.options.Logger, w.watcher.options.Now())
	return err == nil
}

// count counts how a call ended, before the loss is noted.
func (w *poller) recordResult(failed bool) {
	switch {
	case failed && !w.outage.Ongoing():
		w.watcher.failingTables.Add(1)
	case !failed && w.outage.Ongoing():
		w.watcher.failingTables.Add(-1)
	}
	if !failed && !w.succeeded {
		w.succeeded = true
		w.watcher.unreadTables.Add(-1)
	}
}

// table is a table of the store that is followed.
type table struct {
	call string
	// known is the moment up to which the table is known at the start; zero if it isn't.
	known psmoment.Moment
	// pause is the least time between two calls for changes.
	pollInterval time.Duration
	// read reads all rows, and changes waits for changes after a moment. Both return the moment
	// that is known then. Rows that were known at a moment may still return if they are told so,
	// or if the store has come back from a copy since.
	read    func(ctx context.Context, known psmoment.Moment, returning bool) (psmoment.Moment, error)
	changes func(ctx context.Context, after psmoment.Moment, wait time.Duration) (psmoment.Moment, error)
	// await waits for a notice of the VM that reads for this one. It returns the moment that is
	// known then, and true if changes must be read.
	awaitNotice func(ctx context.Context, known psmoment.Moment) (psmoment.Moment, bool)
}

// follow keeps up with a table. After the store was away it reads the table again once
// entries had time to return.
func (f *Watcher) watchTable(ctx context.Context, t table) {
	w := &poller{watcher: f, outage: Outage{Call: t.call}, succeeded: !t.known.IsZero()}
	known := t.known
	if !known.IsZero() {
		known = f.watchChanges(ctx, w, t, known)
	}
	retry := retryInterval
	for ctx.Err() == nil {
		returning := w.outage.Ongoing()
		before := known
		done := w.poll(ctx, responseTimeout, func(ctx context.Context) error {
			at, err := t.read(ctx, before, returning)
			if err == nil {
				known = at
			}
			return err
		})
		if !done {
			pswait.Sleep(ctx, retry)
			retry = min(maxRetryInterval, 2*retry)
			continue
		}
		retry = retryInterval
		if f.restored(t.call, before, known) || returning {
			pswait.Sleep(ctx, reregistrationWindow)
			continue
		}
		known = f.watchChanges(ctx, w, t, known)
	}
}

// restored reports whether the store came back from a copy between two moments, and logs it.
func (f *Watcher) restored(call string, before, now psmoment.Moment) bool {
	if !now.RestoredSince(before) {
		return false
	}
	psevent.StoreRestored.Log(f.options.Logger, call, before.Era, now.Era, before.Version, now.Version)
	return true
}

// errOldEra says that a store tells a history that it has left behind.
var errStaleEra = errors.New("the answer is of an earlier era of the store")

// followChanges returns the known moment when the table has to be read again.
func (f *Watcher) watchChanges(ctx context.Context, w *poller, t table, known psmoment.Moment) psmoment.Moment {
	for ctx.Err() == nil {
		wait := f.currentPollWait()
		if f.usesRelay() {
			var missing bool
			if known, missing = t.awaitNotice(ctx, known); !missing {
				continue
			}
			wait = 0
		}
		done := w.poll(ctx, wait+responseTimeout, func(ctx context.Context) error {
			next, err := t.changes(ctx, known, wait)
			known = psmoment.Later(known, next)
			return err
		})
		if !done {
			return known
		}
		pswait.Sleep(ctx, t.pollInterval)
	}
	return known
}

func (f *Watcher) watchServers(ctx context.Context, known psmoment.Moment) {
	changed := known
	f.watchTable(ctx, table{
		call: "servers", known: known, pollInterval: serversPollInterval, awaitNotice: f.awaitServersNotice,
		read: func(ctx context.Context, known psmoment.Moment, returning bool) (psmoment.Moment, error) {
			v, err := f.options.Store.Servers(ctx)
			if err == nil && v.At.Era < known.Era {
				err = errStaleEra
			}
			if err == nil {
				f.options.Sink.ApplyServers(v, true, returning || v.At.RestoredSince(known))
				changed = v.At
			}
			return v.At, err
		},
		changes: func(ctx context.Context, after psmoment.Moment, wait time.Duration) (psmoment.Moment, error) {
			v, err := f.options.Store.ServerChanges(ctx, after, wait)
			if err == nil {
				f.options.Sink.ApplyServers(v, false, false)
				f.sendNotice(&psfleet.Notice{Servers: &psfleet.ServerChanges{
					From: after, To: v.At, Before: changed, Entries: v.Entries, Removed: v.Removed,
				}})
				if len(v.Entries)+len(v.Removed) > 0 {
					changed = v.At
				}
			}
			return v.At, err
		},
	})
}

func (f *Watcher) watchOrders(ctx context.Context, known psmoment.Moment) {
	last := known
	f.watchTable(ctx, table{
		call: "orders", known: known, pollInterval: ordersPollInterval, awaitNotice: f.awaitOrdersNotice,
		read: func(ctx context.Context, known psmoment.Moment, _ bool) (psmoment.Moment, error) {
			o, err := f.options.Store.Orders(ctx)
			if err == nil && o.At.Era < known.Era {
				err = errStaleEra
			}
			if err == nil {
				f.options.Sink.ApplyOrders(o, true, o.At.RestoredSince(known))
				last = psmoment.Later(last, o.Changed)
			}
			return o.At, err
		},
		changes: func(ctx context.Context, after psmoment.Moment, wait time.Duration) (psmoment.Moment, error) {
			o, err := f.options.Store.OrderChanges(ctx, after, wait)
			if err == nil {
				f.options.Sink.ApplyOrders(o, false, false)
				last = psmoment.Later(last, o.Changed)
				f.sendNotice(&psfleet.Notice{Orders: last})
			}
			return o.At, err
		},
	})
}
