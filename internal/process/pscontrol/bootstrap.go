package pscontrol

import (
	"context"
	"time"

	"github.com/samber/lo"

	"persimmonstep/internal/process/psdesiredstate"
	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/pswait"
	"persimmonstep/internal/process/pswatch"
	"persimmonstep/internal/version/psrevision"
)

const (
	// discoveryTimeout is how long a starting VM waits for the list of published VMs before it reads the store's
	// tables itself, and bootstrapTimeout how long it tries to fetch them from another VM.
	discoveryTimeout = 300 * time.Millisecond
	bootstrapTimeout = 1200 * time.Millisecond
	// firstStartFactor multiplies both time-outs at the first start of the fleet, when all VMs publish
	// themselves at once and the store serializes these writes.
	firstStartFactor = 4
	// fetchRetryInterval is the time between two such fetches.
	fetchRetryInterval = 150 * time.Millisecond
	// maxBootstrapAge is the age up to which another VM's state replaces a read of the store's tables.
	maxBootstrapAge = 2 * time.Second
)

// FetchDesiredState fetches the operator's desired state from a VM and applies it if it is of the given revision
// or a later one. It returns its revision; false if that failed.
func (c *Controller) FetchDesiredState(ctx context.Context, vm string, revision psrevision.Revision) (psrevision.Revision, bool) {
	i, found := lo.Find(c.Snapshot().ShareHolders, func(i psfleet.Identity) bool { return i.VM == vm })
	if !found {
		return psrevision.Revision{}, false
	}
	// The VM announces changes shortly before its own snapshot includes them, so an older state is fetched again.
	for {
		state, err := c.options.Fetcher.FetchDesiredState(ctx, i)
		if err != nil {
			return psrevision.Revision{}, false
		}
		if !revision.After(state.DesiredStateRevision) {
			c.enqueue(desiredStateEvent{desiredStateOf(state), psdesiredstate.ReadInfo{Full: true}})
			return state.DesiredStateRevision, true
		}
		if !pswait.Sleep(ctx, fetchRetryInterval) {
			return psrevision.Revision{}, false
		}
	}
}

// FetchTables fetches the store's tables from the first VM of this failure domain when this VM starts in a large
// fleet. Otherwise hundreds of VMs that start together would each read full tables from the store. It returns
// the revisions of the tables; false if this VM must read the store.
func (c *Controller) FetchTables(ctx context.Context) (pswatch.Revisions, bool) {
	select {
	case <-ctx.Done():
	case <-c.discovery.Attempted():
	case <-time.After(c.startTimeout(discoveryTimeout)):
	}
	first, found := c.firstOfDomain()
	if !found {
		return pswatch.Revisions{}, false
	}
	limited, stop := context.WithTimeout(ctx, c.startTimeout(bootstrapTimeout))
	defer stop()
	for {
		response, err := c.options.Fetcher.Fetch(limited, first, "")
		state := response.State
		if err == nil && state.ReadsStore && state.Age <= maxBootstrapAge && !state.DesiredStateRevision.IsZero() && !state.ServersRevision.IsZero() {
			c.enqueue(peerStateEvent{vm: first.VM, state: state, bootstrap: true})
			return pswatch.Revisions{DesiredState: state.DesiredStateRevision, Servers: state.ServersRevision}, true
		}
		if !pswait.Sleep(limited, fetchRetryInterval) {
			return pswatch.Revisions{}, false
		}
	}
}

// startTimeout returns the time-out d, multiplied by firstStartFactor at the first start of the fleet.
func (c *Controller) startTimeout(d time.Duration) time.Duration {
	if c.options.Settings.FirstStart {
		return firstStartFactor * d
	}
	return d
}

// firstOfDomain returns the first VM of this failure domain in a large fleet; false if that is this VM or the
// fleet is small.
func (c *Controller) firstOfDomain() (psfleet.Identity, bool) {
	s, self := c.Snapshot(), c.options.Identity
	if s.FleetSize < psfleet.LargeSize {
		return psfleet.Identity{}, false
	}
	first := self
	for _, i := range s.ShareHolders {
		if i.FailureDomain == self.FailureDomain && i.Before(first) {
			first = i
		}
	}
	return first, first.VM != self.VM
}
