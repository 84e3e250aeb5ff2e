package pscontrol

import (
	"context"
	"time"

	"github.com/samber/lo"

	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/psfollow"
	"persimmonstep/internal/process/psorders"
	"persimmonstep/internal/process/pswait"
	"persimmonstep/internal/version/psmoment"
)

const (
	// vmsWait is how long a VM that starts waits for the published VMs before it reads the
	// store's tables, and startWait how long it asks another VM for them.
	vmsWait   = 300 * time.Millisecond
	startWait = 1200 * time.Millisecond
	// firstStartFactor multiplies both at the first start of the fleet, when all VMs publish
	// themselves at once and the store performs these writes one after the other.
	firstStartFactor = 4
	// startRetry is the time between two such questions.
	startRetry = 150 * time.Millisecond
	// maxStartAge is the age up to which another VM's beliefs are as good as the store's tables.
	maxStartAge = 2 * time.Second
)

// AskOrders asks a VM for the operator's orders and takes them in if they are of a moment or later.
func (c *Control) AskOrders(ctx context.Context, vm string, at psmoment.Moment) (psmoment.Moment, bool) {
	i, found := lo.Find(c.Snapshot().holders, func(i psfleet.Identity) bool { return i.VM == vm })
	if !found {
		return psmoment.Moment{}, false
	}
	// The VM announces changes a moment before it has taken them in itself.
	for {
		b, err := c.options.Believers.AskOrders(ctx, i)
		if err != nil {
			return psmoment.Moment{}, false
		}
		if !at.After(b.OrdersAt) {
			c.tell(ordersEvent{ordersOf(b), psorders.Reading{Whole: true}})
			return b.OrdersAt, true
		}
		if !pswait.Sleep(ctx, startRetry) {
			return psmoment.Moment{}, false
		}
	}
}

// AskTables asks the first VM of the own failure domain for what the store holds, when this VM starts
// in a large fleet. Otherwise hundreds of VMs that start together would read whole tables.
func (c *Control) AskTables(ctx context.Context) (psfollow.Moments, bool) {
	select {
	case <-ctx.Done():
	case <-c.discovery.Tried():
	case <-time.After(c.startPatience(vmsWait)):
	}
	first, found := c.firstOfDomain()
	if !found {
		return psfollow.Moments{}, false
	}
	limited, stop := context.WithTimeout(ctx, c.startPatience(startWait))
	defer stop()
	for {
		t, err := c.options.Believers.Ask(limited, first, "")
		b := t.Beliefs
		if err == nil && b.Reads && b.Age <= maxStartAge && !b.OrdersAt.IsZero() && !b.ServersAt.IsZero() {
			c.tell(beliefsEvent{vm: first.VM, beliefs: b, start: true})
			return psfollow.Moments{Orders: b.OrdersAt, Servers: b.ServersAt}, true
		}
		if !pswait.Sleep(limited, startRetry) {
			return psfollow.Moments{}, false
		}
	}
}

// startPatience returns how long this VM waits where one of a running fleet would wait for a time.
func (c *Control) startPatience(d time.Duration) time.Duration {
	if c.options.Settings.FirstStart {
		return firstStartFactor * d
	}
	return d
}

// firstOfDomain returns the first VM of the own failure domain in a large fleet; false if that is
// this VM.
func (c *Control) firstOfDomain() (psfleet.Identity, bool) {
	s, self := c.Snapshot(), c.options.Identity
	if s.FleetSize < psfleet.Large {
		return psfleet.Identity{}, false
	}
	first := self
	for _, i := range s.holders {
		if i.FailureDomain == self.FailureDomain && i.Before(first) {
			first = i
		}
	}
	return first, first.VM != self.VM
}
