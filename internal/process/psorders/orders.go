// Package psorders holds what the operator has ordered, as a VM knows it.
//
// Orders come from the store or from other VMs, as a whole or as changes. A configuration never goes
// back, whoever tells it. Evacuations count by the moment that they are as of: earlier ones are passed
// over, and in a new era of the store missing ones stay until they had time to return.
package psorders

import (
	"maps"
	"slices"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/internal/version/psmoment"
	"persimmonstep/platform"
)

// Orders are the operator's orders. They aren't safe for concurrent use.
type Orders struct {
	// Index is the configuration in force; nil before the first.
	Index *psconfig.Index
	// Evacuated names the failure domains whose servers get nothing. It is replaced, not changed.
	Evacuated map[string]bool
	// At is the moment of the latest order.
	At psmoment.Moment
	// Changes counts the changes of both.
	Changes int64

	logger hclog.Logger
	// unread holds the rows that were logged, by key.
	unread map[string]psmoment.Moment
}

// New returns no orders.
func New(l hclog.Logger) *Orders {
	return &Orders{Evacuated: map[string]bool{}, logger: l, unread: map[string]psmoment.Moment{}}
}

// Reading says what orders are.
type Reading struct {
	// Whole says that they are all there are, not what changed.
	Whole bool
	// Returning says that the store came back from a copy, so that missing ones may come back.
	Returning bool
}

// Taken says what orders have changed.
type Taken struct {
	// Released names failure domains that are no longer evacuated.
	Released []string
	// Restored says that the store has come back from a copy since the last orders.
	Restored bool
}

// Take takes in all orders, or what changed of them.
func (s *Orders) Take(o platform.Orders, e Reading) Taken {
	var t Taken
	s.LogUnread(o.Unread)
	if s.At.After(o.At) {
		// Another VM is behind. Its configuration may be the newest all the same.
		psevent.OrdersStale.Log(s.logger, o.At.Era, o.At.Version, s.At.Era, s.At.Version)
	} else {
		t.Restored = o.At.RestoredSince(s.At)
		s.At = psmoment.Later(s.At, psmoment.Later(o.Changed, psmoment.At(o.At.Era, 0)))
		t.Released = s.evacuate(o, e)
	}
	s.Configure(o.Configuration, o.At)
	return t
}

// Configure takes in a configuration that was read at a moment, or told by another VM if that is zero.
// Nil, older and faulty ones change nothing.
func (s *Orders) Configure(next *psconfig.Configuration, at psmoment.Moment) {
	if next == nil || s.Index != nil && next.Version <= s.Version() {
		return
	}
	if findings := next.Check(); len(findings) > 0 {
		psevent.ConfigurationKept.Log(s.logger, at.Version, findings)
		return
	}
	s.logUnknown(next)
	before := s.Version()
	s.Index = psconfig.NewIndex(next)
	s.Changes++
	psevent.ConfigurationTaken.Log(s.logger, next.Version, before, len(next.Routes), len(next.Workspaces), at.Version)
}

// Version returns the version of the configuration in force; 0 before the first.
func (s *Orders) Version() int64 {
	if s.Index == nil {
		return 0
	}
	return s.Index.Configuration.Version
}

// Service returns a service of the configuration in force.
func (s *Orders) Service(name string) (*psconfig.Service, bool) {
	if s.Index == nil {
		return nil, false
	}
	return s.Index.Service(name)
}

// logUnknown logs what of a new configuration is not understood, unless the one before said the same.
func (s *Orders) logUnknown(next *psconfig.Configuration) {
	var before []psconfig.Finding
	if s.Index != nil {
		before = s.Index.Configuration.Unknown
	}
	for _, f := range next.Unknown {
		if !slices.Contains(before, f) {
			psevent.ConfigurationUnknown.Log(s.logger, next.Version, f.Path, f.Text)
		}
	}
}

// evacuate takes in evacuations and returns which failure domains are no longer evacuated.
func (s *Orders) evacuate(o platform.Orders, e Reading) []string {
	next := map[string]bool{}
	if !e.Whole || e.Returning {
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

// LogUnread logs rows that could not be read, each version once.
func (s *Orders) LogUnread(list []platform.Unread) {
	for _, u := range list {
		if s.unread[u.Key] == u.At {
			continue
		}
		s.unread[u.Key] = u.At
		psevent.RowUnread.Log(s.logger, u.Key, u.At.Version, u.Err.Error())
	}
}
