package pssync

import (
	"context"
	"time"

	"github.com/samber/lo"

	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/psmessage"
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
func (s *Syncer) FetchDesiredState(ctx context.Context, vm string, revision psrevision.Revision) (psrevision.Revision, bool) {
	i, found := lo.Find(s.options.Snapshot().RecentVMs, func(i psmessage.Identity) bool { return i.VM == vm })
	if !found {
		return psrevision.Revision{}, false
	}
	// The VM announces changes shortly before its own snapshot includes them, so an older state is fetched again.
	for {
		state, err := s.options.Fetcher.FetchDesiredState(ctx, i)
		if err != nil {
			return psrevision.Revision{}, false
		}
		if !revision.After(state.DesiredStateRevision) {
			s.options.Sink.ApplyPeerDesiredState(state)
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
func (s *Syncer) FetchTables(ctx context.Context) (pswatch.Revisions, bool) {
	select {
	case <-ctx.Done():
	case <-s.options.Discovered:
	case <-time.After(s.startTimeout(discoveryTimeout)):
	}
	first, found := s.firstOfDomain()
	if !found {
		return pswatch.Revisions{}, false
	}
	limited, stop := context.WithTimeout(ctx, s.startTimeout(bootstrapTimeout))
	defer stop()
	for {
		response, err := s.options.Fetcher.Fetch(limited, first, "")
		state := response.State
		if err == nil && state.ReadsStore && state.Age <= maxBootstrapAge && !state.DesiredStateRevision.IsZero() && !state.ServersRevision.IsZero() {
			s.options.Sink.ApplyPeerState(PeerState{VM: first.VM, State: state, Bootstrap: true})
			return pswatch.Revisions{DesiredState: state.DesiredStateRevision, Servers: state.ServersRevision}, true
		}
		if !pswait.Sleep(limited, fetchRetryInterval) {
			return pswatch.Revisions{}, false
		}
	}
}

// startTimeout returns the time-out d, multiplied by firstStartFactor at the first start of the fleet.
func (s *Syncer) startTimeout(d time.Duration) time.Duration {
	if s.options.FirstStart {
		return firstStartFactor * d
	}
	return d
}

// firstOfDomain returns the first VM of this failure domain in a large fleet; false if that is this VM or the
// fleet is small.
func (s *Syncer) firstOfDomain() (psmessage.Identity, bool) {
	view, self := s.options.Snapshot(), s.options.Self
	if view.FleetSize < psfleet.LargeSize {
		return psmessage.Identity{}, false
	}
	first := self
	for _, i := range view.RecentVMs {
		if i.FailureDomain == self.FailureDomain && i.Before(first) {
			first = i
		}
	}
	return first, first.VM != self.VM
}
