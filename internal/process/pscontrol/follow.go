package pscontrol

import (
	"context"
	"encoding/json"
	"time"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/pswait"
)

const (
	// serversInterval is the time between readings of the servers. With a call's timeout it
	// stays below the time in which a leaving server must get no more requests.
	serversInterval = 1000 * time.Millisecond
	// ordersWait is how long one call waits for changes. A connection that has gone silent
	// is noticed after it.
	ordersWait = 2500 * time.Millisecond
	// callTimeout bounds a call to the store, on top of the time that it waits.
	callTimeout = 900 * time.Millisecond
	// retryInterval is the time before a failed call is repeated.
	retryInterval = 200 * time.Millisecond
	// ordersPause is the least time between two readings of the orders.
	ordersPause = 150 * time.Millisecond
	// vmsInterval is the time between readings of the published VMs, and firstVMsInterval at the start.
	vmsInterval      = 15 * time.Second
	firstVMsInterval = 1500 * time.Millisecond
	firstVMsReadings = 3
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

func (c *Control) followServers(ctx context.Context) {
	f := &follower{control: c, call: "servers"}
	for ctx.Err() == nil {
		away := f.lostAt
		begun := c.options.Now()
		done := f.do(ctx, callTimeout, func(ctx context.Context) error {
			entries, unread, err := c.options.Store.Servers(ctx)
			if err == nil {
				c.tell(serversEvent{entries, unread, away})
			}
			return err
		})
		pause := retryInterval
		if done {
			pause = serversInterval - c.options.Now().Sub(begun)
		}
		pswait.Sleep(ctx, pause)
	}
}

func (c *Control) followOrders(ctx context.Context) {
	f := &follower{control: c, call: "orders"}
	version := int64(0)
	for ctx.Err() == nil {
		done := f.do(ctx, callTimeout, func(ctx context.Context) error {
			o, err := c.options.Store.Orders(ctx)
			if err == nil {
				version = o.Version
				c.tell(ordersEvent{o})
			}
			return err
		})
		if !done {
			pswait.Sleep(ctx, retryInterval)
			continue
		}
		pswait.Sleep(ctx, ordersPause)
		c.awaitOrders(ctx, f, &version)
	}
}

// awaitOrders returns when the orders have to be read again.
func (c *Control) awaitOrders(ctx context.Context, f *follower, version *int64) {
	for ctx.Err() == nil {
		changed := false
		done := f.do(ctx, ordersWait+callTimeout, func(ctx context.Context) error {
			var err error
			var next int64
			changed, next, err = c.options.Store.OrdersChanged(ctx, *version, ordersWait)
			if err == nil {
				*version = max(*version, next)
			}
			return err
		})
		if changed || !done {
			return
		}
	}
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
