package pscontrol

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/psorders"
	"persimmonstep/internal/process/psregistry"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/process/pswait"
	"persimmonstep/internal/version/psmoment"
	"persimmonstep/internal/version/psrendezvous"
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
	// Ask asks a VM. What is told is sound, and what is known of it already isn't told again.
	Ask(ctx context.Context, vm psfleet.Identity, known string) (psfleet.Told, error)
	// AskOrders asks a VM for its beliefs without the servers.
	AskOrders(ctx context.Context, vm psfleet.Identity) (psfleet.Beliefs, error)
}

// Mark returns how old the VM's beliefs are, and a mark that changes whenever they do; false
// before it knows a configuration and servers.
func (c *Control) Mark() (mark string, age time.Duration, found bool) {
	s := c.Snapshot()
	mark = fmt.Sprintf("%d-%d-%v", c.options.Identity.Incarnation, s.changes, s.ordersAt)
	return mark, c.options.Now().Sub(s.ServersAt), s.Serves()
}

// Beliefs returns what this VM believes; false before it knows a configuration and servers.
func (c *Control) Beliefs() (psfleet.Beliefs, bool) {
	s := c.Snapshot()
	if !s.Serves() {
		return psfleet.Beliefs{}, false
	}
	b := psfleet.Beliefs{
		Configuration: s.Index.Configuration, Evacuated: lo.Keys(s.Evacuated),
		OrdersAt: s.ordersAt, ServersAt: s.serversAt, Reads: !c.follower.Lost(),
		Age: c.options.Now().Sub(s.ServersAt),
	}
	for _, list := range s.Servers {
		b.Servers = append(b.Servers, lo.Map(list, func(v *psserver.Server, _ int) psserver.Entry { return v.Entry() })...)
	}
	return b, true
}

// believer is the VM that was asked last.
type believer struct {
	vm string
	// mark is what is known of its beliefs; empty if nothing is.
	mark string
}

// followVMsBeliefs learns from a VM that reads the store while this one can't.
func (c *Control) followVMsBeliefs(ctx context.Context) {
	last := believer{}
	for turn := 0; pswait.Sleep(ctx, askInterval); {
		c.askNewer(ctx)
		readers := c.Snapshot().readers
		if !c.follower.Failing() || len(readers) == 0 {
			last = believer{}
			turn = 0
			continue
		}
		vm := nearFirst(c.options.Identity, readers)[turn%len(readers)]
		if vm.VM != last.vm {
			last = believer{vm: vm.VM}
		}
		if !c.askBeliefs(ctx, vm, &last) {
			turn++
		}
	}
}

// askNewer asks the VM that has a newer configuration for it. Its other orders don't count: they may
// be of an earlier era of the store.
func (c *Control) askNewer(ctx context.Context) {
	vm := c.Snapshot().newer
	if vm == nil {
		return
	}
	b, err := c.options.Believers.AskOrders(ctx, *vm)
	if err != nil {
		c.options.Logger.Debug("a newer configuration was not told", "vm", vm.VM, "error", err.Error())
		return
	}
	c.tell(configurationEvent{b.Configuration})
}

// askBeliefs asks one VM and reports whether it told anything of use.
func (c *Control) askBeliefs(ctx context.Context, vm psfleet.Identity, last *believer) bool {
	t, err := c.options.Believers.Ask(ctx, vm, last.mark)
	if err != nil || t.Beliefs.Age > maxBeliefAge {
		last.mark = ""
		return false
	}
	last.mark = t.Mark
	c.tell(beliefsEvent{vm: vm.VM, beliefs: t.Beliefs, unchanged: t.Unchanged})
	return true
}

// takeBeliefs takes in what a VM that reads the store believes.
func (c *Control) takeBeliefs(e beliefsEvent, now time.Time) {
	if !e.start && !c.follower.Lost() {
		return
	}
	if e.unchanged {
		c.servers.ReadAt = now.Add(-e.beliefs.Age)
		return
	}
	before := c.servers.Len()
	c.takeOrders(ordersOf(e.beliefs), psorders.Reading{Whole: true}, now)
	if e.beliefs.ServersAt.Era < c.serversAt.Era {
		return
	}
	c.serversAt = psmoment.Later(c.serversAt, e.beliefs.ServersAt)
	c.servers.Take(platform.Servers{Entries: e.beliefs.Servers, At: e.beliefs.ServersAt}, psregistry.Reading{Whole: true, Age: e.beliefs.Age}, now)
	if before == 0 {
		psevent.BeliefsTaken.Log(c.options.Logger, e.vm, e.beliefs.Configuration.Version, len(e.beliefs.Servers), e.beliefs.Age.String())
	}
}

func ordersOf(b psfleet.Beliefs) platform.Orders {
	return platform.Orders{Configuration: b.Configuration, Evacuated: b.Evacuated, At: b.OrdersAt, Changed: b.OrdersAt}
}

// nearFirst returns the VMs of a VM's failure domain, then those of its region, then the others.
// VMs of one place come to different orders, so that they don't all ask the same one.
func nearFirst(self psfleet.Identity, list []psfleet.Identity) []psfleet.Identity {
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b psfleet.Identity) int {
		return cmp.Or(cmp.Compare(distance(self, a), distance(self, b)),
			cmp.Compare(psrendezvous.Score(self.VM, a.VM), psrendezvous.Score(self.VM, b.VM)))
	})
	return list
}

// distance is 0 within a failure domain, 1 within a region and 2 beyond.
func distance(a, b psfleet.Identity) int {
	switch {
	case a.FailureDomain == b.FailureDomain:
		return 0
	case a.Region == b.Region:
		return 1
	}
	return 2
}
