package pscontrol

import (
	"context"
	"time"

	"github.com/samber/lo"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/process/pswait"
	"persimmonstep/platform"
)

const (
	// askInterval is the time between two questions to other VMs while the store is lost.
	askInterval = 500 * time.Millisecond
	// maxBeliefAge is the age up to which another VM's beliefs are newer than lost ones.
	maxBeliefAge = 15 * time.Second
)

// Believers asks other VMs what they believe.
type Believers interface {
	Ask(ctx context.Context, vm psfleet.Identity) (psfleet.Beliefs, error)
}

// Beliefs returns what this VM believes; false before it knows a configuration.
func (c *Control) Beliefs() (psfleet.Beliefs, bool) {
	s := c.Snapshot()
	if s.Index == nil || s.ServersAt.IsZero() {
		return psfleet.Beliefs{}, false
	}
	b := psfleet.Beliefs{
		Configuration: s.Index.Configuration, Evacuated: lo.Keys(s.Evacuated),
		Age: c.options.Now().Sub(s.ServersAt),
	}
	for _, list := range s.Servers {
		b.Servers = append(b.Servers, lo.Map(list, func(v *psserver.Server, _ int) psserver.Entry { return v.Entry() })...)
	}
	return b, true
}

// followVMsBeliefs learns from a VM that reads the store while this one can't.
func (c *Control) followVMsBeliefs(ctx context.Context) {
	for turn := 0; pswait.Sleep(ctx, askInterval); turn++ {
		if !c.follower.Lost() {
			continue
		}
		readers := c.Snapshot().readers
		if len(readers) == 0 {
			continue
		}
		vm := readers[turn%len(readers)]
		b, err := c.options.Believers.Ask(ctx, vm)
		if err != nil || b.Configuration == nil || b.Age > maxBeliefAge {
			continue
		}
		c.tell(beliefsEvent{vm.VM, b})
	}
}

// takeBeliefs takes in what a VM that reads the store believes.
func (c *Control) takeBeliefs(e beliefsEvent, now time.Time) {
	if !c.follower.Lost() {
		return
	}
	before := len(c.servers.servers)
	c.takeOrders(ordersEvent{platform.Orders{Configuration: e.beliefs.Configuration, Evacuated: e.beliefs.Evacuated}, true}, now)
	c.servers.take(serversEvent{servers: platform.Servers{Entries: e.beliefs.Servers}, whole: true}, now)
	if before == 0 {
		psevent.BeliefsTaken.Log(c.options.Logger, e.vm, e.beliefs.Configuration.Version, len(e.beliefs.Servers), e.beliefs.Age.String())
	}
}

// readers lists the other VMs that read the store.
func (c *Control) readers(now time.Time) []psfleet.Identity {
	var list []psfleet.Identity
	for _, p := range c.fleet.Peers() {
		if c.fleet.Live(p, now) && p.Report.Reads {
			list = append(list, p.Identity)
		}
	}
	return list
}
