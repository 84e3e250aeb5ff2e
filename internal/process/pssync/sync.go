// Package pssync fetches the state of other VMs where a VM can't read the store, or should not.
//
// While the store is unreachable, a VM fetches the state of one that still reads it. A VM that starts in a large fleet
// takes the tables from another one, because hundreds of VMs that start together would overload the store. And a VM
// fetches a configuration that others have and the store, restored from a backup, has lost.
package pssync

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/pssnapshot"
	"persimmonstep/internal/process/pswait"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/internal/version/psrendezvous"
)

const (
	// syncInterval is the time between two fetches from other VMs while the store is unreachable.
	syncInterval = 500 * time.Millisecond
	// maxPeerStateAge is the age up to which another VM's state is used while the store is unreachable.
	maxPeerStateAge = 15 * time.Second
)

// Fetcher fetches the state of other VMs.
type Fetcher interface {
	// Fetch returns the validated state of a VM. If the VM's state still has the tag known, the result is marked
	// as unchanged and holds no state.
	Fetch(ctx context.Context, vm psmessage.Identity, known string) (psmessage.StateResponse, error)
	// FetchDesiredState returns the state of a VM without the servers.
	FetchDesiredState(ctx context.Context, vm psmessage.Identity) (psmessage.ControlState, error)
}

// PeerState is the state of another VM.
type PeerState struct {
	VM    string
	State psmessage.ControlState
	// Bootstrap is set if this VM starts and uses the state instead of reading the store's tables.
	Bootstrap bool
	// Unchanged is set if the state is the same as at the previous fetch. Of State only the age is used then.
	Unchanged bool
}

// Sink applies what was fetched.
type Sink interface {
	// ApplyPeerState applies the state of a VM that reads the store.
	ApplyPeerState(s PeerState)
	// ApplyPeerDesiredState applies the operator's desired state from a VM.
	ApplyPeerDesiredState(state psmessage.ControlState)
	// ApplyPeerConfiguration applies a configuration that is newer than the one in force.
	ApplyPeerConfiguration(v *psconfig.Configuration)
}

// Options are the dependencies of a [Syncer].
type Options struct {
	Self psmessage.Identity
	// FirstStart states that the whole fleet starts for the first time.
	FirstStart bool
	Fetcher    Fetcher
	Sink       Sink
	Snapshot   func() *pssnapshot.Snapshot
	// StoreFailing reports whether calls to the store fail now.
	StoreFailing func() bool
	// Discovered is closed once the published VMs were read, or could not be read.
	Discovered <-chan struct{}
	Logger     hclog.Logger
}

// Syncer fetches the state of other VMs for one VM.
type Syncer struct {
	options Options
}

// New returns a syncer.
func New(o Options) *Syncer { return &Syncer{o} }

// syncSource is the VM from which state was last fetched.
type syncSource struct {
	vm string
	// tag identifies the state that was fetched; empty if none was.
	tag string
}

// Run fetches the state of a VM that reads the store, as long as this VM can't read it. It also
// fetches a configuration that is newer than the one in force.
func (s *Syncer) Run(ctx context.Context) {
	last := syncSource{}
	for attempt := 0; pswait.Sleep(ctx, syncInterval); {
		s.fetchNewerConfiguration(ctx)
		readers := s.options.Snapshot().StoreReaders
		if !s.options.StoreFailing() || len(readers) == 0 {
			last = syncSource{}
			attempt = 0
			continue
		}
		vm := sortByDistance(s.options.Self, readers)[attempt%len(readers)]
		if vm.VM != last.vm {
			last = syncSource{vm: vm.VM}
		}
		if !s.fetchPeerState(ctx, vm, &last) {
			attempt++
		}
	}
}

// fetchNewerConfiguration fetches the configuration of the VM that has a newer one. That VM's evacuations are
// ignored, because they can be from an earlier era of the store.
func (s *Syncer) fetchNewerConfiguration(ctx context.Context) {
	vm := s.options.Snapshot().NewerVM
	if vm == nil {
		return
	}
	state, err := s.options.Fetcher.FetchDesiredState(ctx, *vm)
	if err != nil {
		s.options.Logger.Debug("fetching a newer configuration from a VM failed", "vm", vm.VM, "error", err.Error())
		return
	}
	s.options.Sink.ApplyPeerConfiguration(state.Configuration)
}

// fetchPeerState fetches the state of one VM and reports whether it is recent enough to be used.
func (s *Syncer) fetchPeerState(ctx context.Context, vm psmessage.Identity, last *syncSource) bool {
	response, err := s.options.Fetcher.Fetch(ctx, vm, last.tag)
	if err != nil || response.State.Age > maxPeerStateAge {
		last.tag = ""
		return false
	}
	last.tag = response.ETag
	s.options.Sink.ApplyPeerState(PeerState{VM: vm.VM, State: response.State, Unchanged: response.Unchanged})
	return true
}

// sortByDistance returns the VMs of self's failure domain, then those of its region, then the others. Within
// each group the order depends on self, so that the VMs of one failure domain don't all fetch from the same VM.
func sortByDistance(self psmessage.Identity, list []psmessage.Identity) []psmessage.Identity {
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b psmessage.Identity) int {
		return cmp.Or(cmp.Compare(a.Distance(self.FailureDomain, self.Region), b.Distance(self.FailureDomain, self.Region)),
			cmp.Compare(psrendezvous.Score(self.VM, a.VM), psrendezvous.Score(self.VM, b.VM)))
	})
	return list
}
