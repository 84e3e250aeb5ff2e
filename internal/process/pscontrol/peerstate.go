package pscontrol

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"

	"persimmonstep/internal/process/psdesiredstate"
	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/psregistry"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/process/pswait"
	"persimmonstep/internal/version/psrendezvous"
	"persimmonstep/internal/version/psrevision"
	"persimmonstep/platform"
)

const (
	// syncInterval is the time between two fetches from other VMs while the store is unreachable.
	syncInterval = 500 * time.Millisecond
	// maxPeerStateAge is the age up to which another VM's state is used while the store is unreachable.
	maxPeerStateAge = 15 * time.Second
)

// PeerFetcher fetches the state of other VMs.
type PeerFetcher interface {
	// Fetch returns the validated state of a VM. If the VM's state still has the tag known, the result is marked
	// as unchanged and holds no state.
	Fetch(ctx context.Context, vm psfleet.Identity, known string) (psfleet.StateResponse, error)
	// FetchDesiredState returns the state of a VM without the servers.
	FetchDesiredState(ctx context.Context, vm psfleet.Identity) (psfleet.ControlState, error)
}

// StateTag returns a tag that changes whenever the VM's state changes, and the age of the state; false before the
// VM has a configuration and servers.
func (c *Controller) StateTag() (tag string, age time.Duration, found bool) {
	s := c.Snapshot()
	tag = fmt.Sprintf("%d-%d-%v", c.options.Identity.Incarnation, s.Changes, s.DesiredStateRevision)
	return tag, c.options.Now().Sub(s.ServersReadAt), s.CanServe()
}

// ControlState returns this VM's state for other VMs; false before it has a configuration and servers.
func (c *Controller) ControlState() (psfleet.ControlState, bool) {
	s := c.Snapshot()
	if !s.CanServe() {
		return psfleet.ControlState{}, false
	}
	state := psfleet.ControlState{
		Configuration: s.Index.Configuration, Evacuated: lo.Keys(s.Evacuated),
		DesiredStateRevision: s.DesiredStateRevision, ServersRevision: s.ServersRevision, ReadsStore: !c.watcher.Lost(),
		Age: c.options.Now().Sub(s.ServersReadAt),
	}
	for _, list := range s.Servers {
		state.Servers = append(state.Servers, lo.Map(list, func(v *psserver.Server, _ int) psserver.Entry { return v.Entry() })...)
	}
	return state, true
}

// syncSource is the VM from which state was last fetched.
type syncSource struct {
	vm string
	// tag identifies the state that was fetched; empty if none was.
	tag string
}

// syncFromPeers fetches the state of a VM that reads the store, as long as this VM can't read it. It also
// fetches a configuration that is newer than the one in force.
func (c *Controller) syncFromPeers(ctx context.Context) {
	last := syncSource{}
	for attempt := 0; pswait.Sleep(ctx, syncInterval); {
		c.fetchNewerConfiguration(ctx)
		readers := c.Snapshot().StoreReaders
		if !c.watcher.Failing() || len(readers) == 0 {
			last = syncSource{}
			attempt = 0
			continue
		}
		vm := sortByDistance(c.options.Identity, readers)[attempt%len(readers)]
		if vm.VM != last.vm {
			last = syncSource{vm: vm.VM}
		}
		if !c.fetchPeerState(ctx, vm, &last) {
			attempt++
		}
	}
}

// fetchNewerConfiguration fetches the configuration of the VM that has a newer one. That VM's evacuations are
// ignored, because they can be from an earlier era of the store.
func (c *Controller) fetchNewerConfiguration(ctx context.Context) {
	vm := c.Snapshot().NewerVM
	if vm == nil {
		return
	}
	state, err := c.options.Fetcher.FetchDesiredState(ctx, *vm)
	if err != nil {
		c.options.Logger.Debug("fetching a newer configuration from a VM failed", "vm", vm.VM, "error", err.Error())
		return
	}
	c.enqueue(configurationEvent{state.Configuration})
}

// fetchPeerState fetches the state of one VM and reports whether it is recent enough to be used.
func (c *Controller) fetchPeerState(ctx context.Context, vm psfleet.Identity, last *syncSource) bool {
	response, err := c.options.Fetcher.Fetch(ctx, vm, last.tag)
	if err != nil || response.State.Age > maxPeerStateAge {
		last.tag = ""
		return false
	}
	last.tag = response.ETag
	c.enqueue(peerStateEvent{vm: vm.VM, state: response.State, unchanged: response.Unchanged})
	return true
}

// applyPeerState applies the state of a VM that reads the store. Except at the start, it is ignored once this VM
// can read the store again.
func (c *Controller) applyPeerState(e peerStateEvent, now time.Time) {
	if !e.bootstrap && !c.watcher.Lost() {
		return
	}
	if e.unchanged {
		c.servers.ReadAt = now.Add(-e.state.Age)
		return
	}
	before := c.servers.Len()
	c.applyDesiredState(desiredStateOf(e.state), psdesiredstate.ReadInfo{Full: true}, now)
	if e.state.ServersRevision.Era < c.serversRevision.Era {
		return
	}
	c.serversRevision = psrevision.Later(c.serversRevision, e.state.ServersRevision)
	c.servers.Apply(platform.Servers{Entries: e.state.Servers, Revision: e.state.ServersRevision}, psregistry.UpdateInfo{Full: true, Age: e.state.Age}, now)
	if before == 0 {
		psevent.ControlStateApplied.Log(c.options.Logger, e.vm, e.state.Configuration.Version, len(e.state.Servers), e.state.Age.String())
	}
}

func desiredStateOf(state psfleet.ControlState) platform.DesiredState {
	return platform.DesiredState{Configuration: state.Configuration, Evacuated: state.Evacuated, Revision: state.DesiredStateRevision, LastChange: state.DesiredStateRevision}
}

// sortByDistance returns the VMs of self's failure domain, then those of its region, then the others. Within
// each group the order depends on self, so that the VMs of one failure domain don't all fetch from the same VM.
func sortByDistance(self psfleet.Identity, list []psfleet.Identity) []psfleet.Identity {
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b psfleet.Identity) int {
		return cmp.Or(cmp.Compare(distance(self, a), distance(self, b)),
			cmp.Compare(psrendezvous.Score(self.VM, a.VM), psrendezvous.Score(self.VM, b.VM)))
	})
	return list
}

// distance returns 0 within a failure domain, 1 within a region and 2 between regions.
func distance(a, b psfleet.Identity) int {
	switch {
	case a.FailureDomain == b.FailureDomain:
		return 0
	case a.Region == b.Region:
		return 1
	}
	return 2
}
