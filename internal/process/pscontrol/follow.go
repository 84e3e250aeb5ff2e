package pscontrol

import (
	"context"
	"encoding/json"
	"time"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/pswait"
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
	// callTimeout bounds a call to the store, on top of the time that it waits.
	callTimeout = 900 * time.Millisecond
	// retryInterval is the time before a failed call is repeated, and maxRetryInterval the
	// time after several failures. A VM that the store serves again must know it before the
	// fleet's bounds hold for it.
	retryInterval    = 200 * time.Millisecond
	maxRetryInterval = 800 * time.Millisecond
	// returnSpan is how long after the store's return servers write their entries again.
	returnSpan = 1900 * time.Millisecond
	// vmsInterval is the time between readings of the published VMs, and firstVMsInterval at the start.
	vmsInterval      = 60 * time.Second
	firstVMsInterval = 1500 * time.Millisecond
	firstVMsReadings = 2
)

// follower calls the store again and again and notes when it is lost and regained.
type follower struct {
	control *Control
	call    string
	lostAt  time.Time
}

// do makes one call and reports whether the store answered it.
func (f *follower) do(ctx context.Context, timeout time.Duration, call func(context.Context) error) bool {
	limited, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	err := call(limited)
	if ctx.Err() != nil {
		return false
	}
	now := f.control.options.Now()
	switch {
	case err != nil && f.lostAt.IsZero():
		f.lostAt = now
		psevent.StoreLost.Log(f.control.options.Logger, f.call, err.Error())
	case err == nil && !f.lostAt.IsZero():
		psevent.StoreRegained.Log(f.control.options.Logger, f.call, now.Sub(f.lostAt).String())
		f.lostAt = time.Time{}
	}
	return err == nil
}

// table is a table of the store that is followed.
type table struct {
	call string
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
func (c *Control) follow(ctx context.Context, t table) {
	f := &follower{control: c, call: t.call}
	version := int64(0)
	retry := retryInterval
	for ctx.Err() == nil {
		returning := !f.lostAt.IsZero()
		done := f.do(ctx, callTimeout, func(ctx context.Context) (err error) {
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
		c.followChanges(ctx, f, t, version)
	}
}

// followChanges returns when the table has to be read again.
func (c *Control) followChanges(ctx context.Context, f *follower, t table, version int64) {
	for ctx.Err() == nil {
		wait := c.changesWait()
		if c.relies() {
			var missing bool
			if version, missing = t.await(ctx, version); !missing {
				continue
			}
			wait = 0
		}
		done := f.do(ctx, wait+callTimeout, func(ctx context.Context) error {
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

func (c *Control) followServers(ctx context.Context) {
	c.follow(ctx, table{
		call: "servers", pause: changesPause, await: c.awaitServers,
		read: func(ctx context.Context, returning bool) (int64, error) {
			v, err := c.options.Store.Servers(ctx)
			if err == nil {
				c.tell(serversEvent{servers: v, whole: true, returning: returning})
			}
			return v.Version, err
		},
		changes: func(ctx context.Context, after int64, wait time.Duration) (int64, error) {
			v, err := c.options.Store.ServerChanges(ctx, after, wait)
			if err == nil {
				c.tell(serversEvent{servers: v})
				c.notice(&psfleet.Notice{Servers: &psfleet.ServerChanges{From: after, To: v.Version, Entries: v.Entries, Removed: v.Removed}})
			}
			return v.Version, err
		},
	})
}

func (c *Control) followOrders(ctx context.Context) {
	last := int64(0)
	c.follow(ctx, table{
		call: "orders", pause: ordersPause, await: c.awaitOrders,
		read: func(ctx context.Context, _ bool) (int64, error) {
			o, err := c.options.Store.Orders(ctx)
			if err == nil {
				c.tell(ordersEvent{o, true})
				last = max(last, o.Changed)
			}
			return o.Version, err
		},
		changes: func(ctx context.Context, after int64, wait time.Duration) (int64, error) {
			o, err := c.options.Store.OrderChanges(ctx, after, wait)
			if err == nil {
				c.tell(ordersEvent{o, false})
				last = max(last, o.Changed)
				c.notice(&psfleet.Notice{Orders: last})
			}
			return o.Version, err
		},
	})
}

// followVMs publishes this VM and reads where the others are.
func (c *Control) followVMs(ctx context.Context) {
	f := &follower{control: c, call: "vms"}
	published, readings := false, 0
	for ctx.Err() == nil {
		done := f.do(ctx, 2*callTimeout, func(ctx context.Context) error {
			if !published {
				if err := c.publishVM(ctx); err != nil {
					return err
				}
				published = true
			}
			rows, err := c.options.Store.VMs(ctx)
			if err == nil {
				c.tell(vmsEvent{rows})
			}
			return err
		})
		pause := retryInterval
		if done {
			readings++
			pause = vmsInterval
			if readings < firstVMsReadings {
				pause = firstVMsInterval
			}
		}
		pswait.Sleep(ctx, pause)
	}
}

func (c *Control) publishVM(ctx context.Context) error {
	value, err := json.Marshal(c.options.Identity)
	if err != nil {
		return err
	}
	return c.options.Store.PublishVM(ctx, c.options.Identity.VM, value)
}
