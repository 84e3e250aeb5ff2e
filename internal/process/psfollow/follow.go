// Package psfollow keeps up with the platform's store.
//
// A [Follower] reads a table and then waits for its changes. In a large fleet one VM of each
// region does so for the others and passes on what it reads in notices; a VM that hears no
// notices reads itself.
package psfollow

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/pswait"
	"persimmonstep/platform"
)

const (
	// changesWait is how long one call waits for changes. Keep-alive probes find a connection
	// that goes silent meanwhile.
	changesWait = 12 * time.Second
	// changesPause is the least time between two calls for changes of the servers, so that
	// changes that come together cost one call. It lies far below the time in which a
	// leaving server must get no more requests.
	changesPause = 500 * time.Millisecond
	// ordersPause is the same for the operator's changes.
	ordersPause = 150 * time.Millisecond
	// callTimeout bounds the time until the store answers, on top of the time that it waits.
	callTimeout = 900 * time.Millisecond
	// answerTimeout bounds the answer from then on. A table of thousands of rows takes seconds
	// over the slowest links.
	answerTimeout = 5 * time.Second
	// retryInterval is the time before a failed call is repeated, and maxRetryInterval the
	// time after several failures. A VM that the store serves again must know it before the
	// fleet's bounds hold for it.
	retryInterval    = 200 * time.Millisecond
	maxRetryInterval = 500 * time.Millisecond
	// returnSpan is how long after the store's return servers write their entries again.
	returnSpan = 1700 * time.Millisecond
	// relayWait is how long the reading VM waits for changes. Its notices show the others
	// how fresh their beliefs are, so they must be frequent.
	relayWait = 500 * time.Millisecond
	// relaySpan is how long after a notice the others rely on the reading VM.
	relaySpan = 1300 * time.Millisecond
	// askTimeout bounds a question to the telling VM. The store must still answer in time after it.
	askTimeout = 900 * time.Millisecond
	// startSpan is how much longer than after a notice a VM that starts relies on another one, which
	// may learn of it only then. No bound holds for a VM that has just started.
	startSpan = 1200 * time.Millisecond
	// noticeBacklog is the number of notices that may wait.
	noticeBacklog = 16
)

// Store is what is followed of the platform's store.
type Store interface {
	Orders(ctx context.Context) (platform.Orders, error)
	OrderChanges(ctx context.Context, after int64, wait time.Duration) (platform.Orders, error)
	Servers(ctx context.Context) (platform.Servers, error)
	ServerChanges(ctx context.Context, after int64, wait time.Duration) (platform.Servers, error)
}

// Sink takes what was read.
type Sink interface {
	// TakeOrders takes the operator's orders: all there are, or what changed.
	TakeOrders(o platform.Orders, whole bool)
	// TakeServers takes entries of servers: all there are, or what changed. While entries may
	// still return, because the store was away, missing ones don't count as gone.
	TakeServers(s platform.Servers, whole, returning bool)
}

// Region is the part of the fleet that shares readings.
type Region interface {
	// FleetSize returns the number of VMs of the whole fleet.
	FleetSize() int
	// Tells reports whether this VM is the one that tells the others of its region what it reads.
	// Others that miss notices read for themselves only: if all told all, the network would
	// lose notices, and more VMs would tell.
	Tells() bool
	// Notice sends a notice to the other VMs of the region.
	Notice(n *psfleet.Notice)
}

// Near asks other VMs for what they read, in place of the store.
type Near interface {
	// AskOrders asks a VM for the operator's orders. It returns the store's version that they are
	// as of, and false unless that is the one asked for or a later one.
	AskOrders(ctx context.Context, vm string, version int64) (int64, bool)
	// AskTables asks for all tables when this VM starts. It returns the versions that they are as
	// of, and false if the store must be read.
	AskTables(ctx context.Context) (Versions, bool)
}

// Versions are the store's versions up to which tables are known.
type Versions struct {
	Orders, Servers int64
}

// Options are what a follower needs.
type Options struct {
	// Self is this VM.
	Self  psfleet.Identity
	Store Store
	// Near takes what it learns to the sink itself.
	Near   Near
	Sink   Sink
	Peers  Region
	Logger hclog.Logger
	// Now gives monotonic time.
	Now func() time.Time
}

// Follower follows the store for one VM.
type Follower struct {
	options Options
	relay   relay
	// unread counts the tables that were never read, and failing those of which the last call
	// failed.
	unread, failing atomic.Int32
}

// New returns a follower.
func New(o Options) *Follower {
	f := &Follower{options: o, relay: newRelay()}
	f.unread.Store(tables)
	return f
}

// tables is the number of tables that are followed.
const tables = 2

// Lost reports whether a table can't be read now, or has not been yet.
func (f *Follower) Lost() bool { return f.unread.Load() > 0 || f.Failing() }

// Failing reports whether the store failed to answer the last call for a table. A table that is
// being read for the first time is lost but doesn't fail.
func (f *Follower) Failing() bool { return f.failing.Load() > 0 }

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) {
	known, found := f.options.Near.AskTables(ctx)
	if found {
		f.unread.Store(0)
		f.relay.hear(startSpan)
	}
	go f.followOrders(ctx, known.Orders)
	f.followServers(ctx, known.Servers)
}

// watch calls the store again and again and notes when it is lost and regained.
type watch struct {
	follower *Follower
	loss     Loss
	// read says that the table was read once.
	read bool
}

// do makes one call and reports whether the store answered it.
func (w *watch) do(ctx context.Context, timeout time.Duration, call func(context.Context) error) bool {
	limited, stop := platform.WithAnswerTimeouts(ctx, timeout, answerTimeout)
	defer stop()
	err := call(limited)
	if ctx.Err() != nil {
		return false
	}
	w.count(err != nil)
	w.loss.Note(err, w.follower.options.Logger, w.follower.options.Now())
	return err == nil
}

// count counts how a call ended, before the loss is noted.
func (w *watch) count(failed bool) {
	switch {
	case failed && !w.loss.Lost():
		w.follower.failing.Add(1)
	case !failed && w.loss.Lost():
		w.follower.failing.Add(-1)
	}
	if !failed && !w.read {
		w.read = true
		w.follower.unread.Add(-1)
	}
}

// table is a table of the store that is followed.
type table struct {
	call string
	// known is the version up to which the table is known at the start; 0 if it isn't.
	known int64
	// pause is the least time between two calls for changes.
	pause time.Duration
	// read reads all rows, and changes waits for changes after a version. Both return the
	// version that is known then.
	read    func(ctx context.Context, returning bool) (int64, error)
	changes func(ctx context.Context, after int64, wait time.Duration) (int64, error)
	// await waits for a notice of the VM that reads for this one. It returns the version
	// that is known then, and true if changes must be read.
	await func(ctx context.Context, version int64) (int64, bool)
}

// follow keeps up with a table. After the store was away it reads the table again once
// entries had time to return.
func (f *Follower) follow(ctx context.Context, t table) {
	w := &watch{follower: f, loss: Loss{Call: t.call}, read: t.known > 0}
	version := t.known
	if version > 0 {
		f.followChanges(ctx, w, t, version)
	}
	retry := retryInterval
	for ctx.Err() == nil {
		returning := w.loss.Lost()
		done := w.do(ctx, callTimeout, func(ctx context.Context) (err error) {
			version, err = t.read(ctx, returning)
			return err
		})
		if !done {
			pswait.Sleep(ctx, retry)
			retry = min(maxRetryInterval, 2*retry)
			continue
		}
		retry = retryInterval
		if returning {
			pswait.Sleep(ctx, returnSpan)
			continue
		}
		f.followChanges(ctx, w, t, version)
	}
}

// followChanges returns when the table has to be read again.
func (f *Follower) followChanges(ctx context.Context, w *watch, t table, version int64) {
	for ctx.Err() == nil {
		wait := f.changesWait()
		if f.relies() {
			var missing bool
			if version, missing = t.await(ctx, version); !missing {
				continue
			}
			wait = 0
		}
		done := w.do(ctx, wait+callTimeout, func(ctx context.Context) error {
			next, err := t.changes(ctx, version, wait)
			version = max(version, next)
			return err
		})
		if !done {
			return
		}
		pswait.Sleep(ctx, t.pause)
	}
}

func (f *Follower) followServers(ctx context.Context, known int64) {
	changed := known
	f.follow(ctx, table{
		call: "servers", known: known, pause: changesPause, await: f.awaitServers,
		read: func(ctx context.Context, returning bool) (int64, error) {
			v, err := f.options.Store.Servers(ctx)
			if err == nil {
				f.options.Sink.TakeServers(v, true, returning)
				changed = v.Version
			}
			return v.Version, err
		},
		changes: func(ctx context.Context, after int64, wait time.Duration) (int64, error) {
			v, err := f.options.Store.ServerChanges(ctx, after, wait)
			if err == nil {
				f.options.Sink.TakeServers(v, false, false)
				f.notice(&psfleet.Notice{Servers: &psfleet.ServerChanges{
					From: after, To: v.Version, Before: changed, Entries: v.Entries, Removed: v.Removed,
				}})
				if len(v.Entries)+len(v.Removed) > 0 {
					changed = v.Version
				}
			}
			return v.Version, err
		},
	})
}

func (f *Follower) followOrders(ctx context.Context, known int64) {
	last := known
	f.follow(ctx, table{
		call: "orders", known: known, pause: ordersPause, await: f.awaitOrders,
		read: func(ctx context.Context, _ bool) (int64, error) {
			o, err := f.options.Store.Orders(ctx)
			if err == nil {
				f.options.Sink.TakeOrders(o, true)
				last = max(last, o.Changed)
			}
			return o.Version, err
		},
		changes: func(ctx context.Context, after int64, wait time.Duration) (int64, error) {
			o, err := f.options.Store.OrderChanges(ctx, after, wait)
			if err == nil {
				f.options.Sink.TakeOrders(o, false)
				last = max(last, o.Changed)
				f.notice(&psfleet.Notice{Orders: last})
			}
			return o.Version, err
		},
	})
}
