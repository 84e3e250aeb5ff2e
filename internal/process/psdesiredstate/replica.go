// Package psdesiredstate replicates the desired state of the fleet on a VM. The operator writes the desired
// state to the store: the configuration and the evacuated failure domains.
//
// The desired state is read from the store or received from other VMs, either in full or as changes. Readers can
// lag behind each other, and a store that is restored from a backup returns older rows. The configuration
// version therefore never decreases, whatever the source. Evacuations are ordered by store revision: older
// ones are ignored. In a new era of the store, which begins with a restore, missing evacuations stay in
// force until there was time to write them again.
package psdesiredstate

import (
	"maps"
	"slices"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/internal/version/psrevision"
	"persimmonstep/platform"
)

// Replica is a VM's replica of the desired state. It isn't safe for concurrent use.
type Replica struct {
	// Index is the configuration in force; nil before the first.
	Index *psconfig.Index
	// Evacuated is the set of failure domains whose servers get no requests. Each change replaces the map,
	// so that snapshots may share it.
	Evacuated map[string]bool
	// Revision is the store revision of the latest change of the desired state.
	Revision psrevision.Revision
	// Changes counts the changes of the configuration and of the evacuations.
	Changes int64

	logger hclog.Logger
	// loggedUnreadable holds the revision of each undecodable row that was logged, by key.
	loggedUnreadable map[string]psrevision.Revision
}

// New returns an empty replica.
func New(l hclog.Logger) *Replica {
	return &Replica{Evacuated: map[string]bool{}, logger: l, loggedUnreadable: map[string]psrevision.Revision{}}
}

// ReadInfo describes how the desired state was read.
type ReadInfo struct {
	// Full is set if all of the desired state was read rather than its changes.
	Full bool
	// AfterRestore is set if the store was restored from a backup, so that missing rows may reappear.
	AfterRestore bool
}

// Result describes the effect of [Replica.Apply].
type Result struct {
	// Released lists the failure domains that are no longer evacuated.
	Released []string
	// Restored is set if the store was restored from a backup since the previous [Replica.Apply].
	Restored bool
}

// Apply merges the full desired state, or changes of it, into the replica.
func (r *Replica) Apply(state platform.DesiredState, info ReadInfo) Result {
	var result Result
	r.LogUnreadable(state.Unreadable)
	if r.Revision.After(state.Revision) {
		// The source lags behind in evacuations. Its configuration may still be the newest.
		psevent.DesiredStateStale.Log(r.logger, state.Revision.Era, state.Revision.Version, r.Revision.Era, r.Revision.Version)
	} else {
		result.Restored = state.Revision.RestoredSince(r.Revision)
		r.Revision = psrevision.Later(r.Revision, psrevision.Later(state.LastChange, psrevision.New(state.Revision.Era, 0)))
		result.Released = r.applyEvacuations(state, info)
	}
	r.ApplyConfiguration(state.Configuration, state.Revision)
	return result
}

// ApplyConfiguration puts a configuration into force. The revision, which is only logged, is that of the desired
// state with which it came; zero if it was fetched alone from another VM. A nil, older or invalid configuration is
// ignored.
func (r *Replica) ApplyConfiguration(next *psconfig.Configuration, revision psrevision.Revision) {
	if next == nil || r.Index != nil && next.Version <= r.Version() {
		return
	}
	if findings := next.Check(); len(findings) > 0 {
		psevent.ConfigurationRejected.Log(r.logger, revision.Version, findings)
		return
	}
	r.logUnknown(next)
	before := r.Version()
	r.Index = psconfig.NewIndex(next)
	r.Changes++
	psevent.ConfigurationApplied.Log(r.logger, next.Version, before, len(next.Routes), len(next.Workspaces), revision.Version)
}

// Version returns the version of the configuration in force; 0 before the first.
func (r *Replica) Version() int64 {
	if r.Index == nil {
		return 0
	}
	return r.Index.Configuration.Version
}

// Service returns a service of the configuration in force.
func (r *Replica) Service(name string) (*psconfig.Service, bool) {
	if r.Index == nil {
		return nil, false
	}
	return r.Index.Service(name)
}

// logUnknown logs the fields and values of a new configuration that are unknown to this release, except
// those that the previous configuration had as well.
func (r *Replica) logUnknown(next *psconfig.Configuration) {
	var before []psconfig.Finding
	if r.Index != nil {
		before = r.Index.Configuration.Unknown
	}
	for _, f := range next.Unknown {
		if !slices.Contains(before, f) {
			psevent.ConfigurationPartUnknown.Log(r.logger, next.Version, f.Path, f.Text)
		}
	}
}

// applyEvacuations updates the evacuations and returns the failure domains that are no longer evacuated.
func (r *Replica) applyEvacuations(state platform.DesiredState, info ReadInfo) []string {
	next := map[string]bool{}
	if !info.Full || info.AfterRestore {
		next = maps.Clone(r.Evacuated)
	}
	for _, d := range state.Released {
		delete(next, d)
	}
	for _, d := range state.Evacuated {
		next[d] = true
	}
	if maps.Equal(next, r.Evacuated) {
		return nil
	}
	released := lo.Filter(lo.Keys(r.Evacuated), func(d string, _ int) bool { return !next[d] })
	r.Evacuated = next
	r.Changes++
	psevent.EvacuationChanged.Log(r.logger, lo.Keys(next))
	return released
}

// LogUnreadable logs rows that could not be decoded, each revision of a row once.
func (r *Replica) LogUnreadable(rows []platform.UnreadableRow) {
	for _, u := range rows {
		if r.loggedUnreadable[u.Key] == u.Revision {
			continue
		}
		r.loggedUnreadable[u.Key] = u.Revision
		psevent.RowUnreadable.Log(r.logger, u.Key, u.Revision.Version, u.Err.Error())
	}
}
