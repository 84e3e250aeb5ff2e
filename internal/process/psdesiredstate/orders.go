// Package psorders holds one VM's replica of the operator's orders: the configuration and the evacuated
// failure domains.
//
// Orders are read from the store or received from other VMs, either in full or as changes. Readers can lag
// behind each other, and a store that is restored from a backup returns older rows. The configuration
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

// Orders is the replica of the operator's orders. It isn't safe for concurrent use.
type Replica struct {
	// Index is the configuration in force; nil before the first.
	Index *psconfig.Index
	// Evacuated is the set of failure domains whose servers get no requests. Each change replaces the map,
	// so that snapshots may share it.
	Evacuated map[string]bool
	// Revision is the store revision of the latest order.
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

// ReadInfo describes how a set of orders was read.
type ReadInfo struct {
	// Full is set if the set holds all orders rather than changes.
	Full bool
	// AfterRestore is set if the store was restored from a backup, so that missing orders may reappear.
	AfterRestore bool
}

// Result describes the effect of applied orders.
type Result struct {
	// Released lists the failure domains that are no longer evacuated.
	Released []string
	// Restored is set if the store was restored from a backup since the previous orders.
	Restored bool
}

// Apply merges a full set of orders, or changes of them, into the replica.
func (s *Replica) Apply(o platform.Orders, info ReadInfo) Result {
	var result Result
	s.LogUnreadable(o.Unreadable)
	if s.Revision.After(o.Revision) {
		// The source lags behind in evacuations. Its configuration may still be the newest.
		psevent.OrdersStale.Log(s.logger, o.Revision.Era, o.Revision.Version, s.Revision.Era, s.Revision.Version)
	} else {
		result.Restored = o.Revision.RestoredSince(s.Revision)
		s.Revision = psrevision.Later(s.Revision, psrevision.Later(o.LastChange, psrevision.New(o.Revision.Era, 0)))
		result.Released = s.applyEvacuations(o, info)
	}
	s.ApplyConfiguration(o.Configuration, o.Revision)
	return result
}

// ApplyConfiguration puts a configuration into force. The revision, which is only logged, is that of the orders
// with which it came; zero if it was fetched alone from another VM. A nil, older or invalid configuration is
// ignored.
func (s *Replica) ApplyConfiguration(next *psconfig.Configuration, revision psrevision.Revision) {
	if next == nil || s.Index != nil && next.Version <= s.Version() {
		return
	}
	if findings := next.Check(); len(findings) > 0 {
		psevent.ConfigurationRejected.Log(s.logger, revision.Version, findings)
		return
	}
	s.logUnknown(next)
	before := s.Version()
	s.Index = psconfig.NewIndex(next)
	s.Changes++
	psevent.ConfigurationApplied.Log(s.logger, next.Version, before, len(next.Routes), len(next.Workspaces), revision.Version)
}

// Version returns the version of the configuration in force; 0 before the first.
func (s *Replica) Version() int64 {
	if s.Index == nil {
		return 0
	}
	return s.Index.Configuration.Version
}

// Service returns a service of the configuration in force.
func (s *Replica) Service(name string) (*psconfig.Service, bool) {
	if s.Index == nil {
		return nil, false
	}
	return s.Index.Service(name)
}

// logUnknown logs the fields and values of a new configuration that are unknown to this release, except
// those that the previous configuration had as well.
func (s *Replica) logUnknown(next *psconfig.Configuration) {
	var before []psconfig.Finding
	if s.Index != nil {
		before = s.Index.Configuration.Unknown
	}
	for _, f := range next.Unknown {
		if !slices.Contains(before, f) {
			psevent.ConfigurationPartUnknown.Log(s.logger, next.Version, f.Path, f.Text)
		}
	}
}

// applyEvacuations updates the evacuations and returns the failure domains that are no longer evacuated.
func (s *Replica) applyEvacuations(o platform.Orders, info ReadInfo) []string {
	next := map[string]bool{}
	if !info.Full || info.AfterRestore {
		next = maps.Clone(s.Evacuated)
	}
	for _, d := range o.Released {
		delete(next, d)
	}
	for _, d := range o.Evacuated {
		next[d] = true
	}
	if maps.Equal(next, s.Evacuated) {
		return nil
	}
	released := lo.Filter(lo.Keys(s.Evacuated), func(d string, _ int) bool { return !next[d] })
	s.Evacuated = next
	s.Changes++
	psevent.EvacuationChanged.Log(s.logger, lo.Keys(next))
	return released
}

// LogUnreadable logs rows that could not be decoded, each revision of a row once.
func (s *Replica) LogUnreadable(rows []platform.UnreadableRow) {
	for _, u := range rows {
		if s.loggedUnreadable[u.Key] == u.Revision {
			continue
		}
		s.loggedUnreadable[u.Key] = u.Revision
		psevent.RowUnreadable.Log(s.logger, u.Key, u.Revision.Version, u.Err.Error())
	}
}
