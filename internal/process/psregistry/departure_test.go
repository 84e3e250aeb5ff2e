package psregistry_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/psregistry"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/platform"
)

// TestLeavingIsKnownByOwnReadAlone covers a VM whose own read of a leaving is late. What another VM has read takes the
// server out of use, until the server writes a later entry.
func TestLeavingIsKnownByOwnReadAlone(t *testing.T) {
	for name, leave := range map[string]platform.Servers{
		"draining": {Entries: []psserver.Entry{entry(5, 9, psserver.Draining)}},
		"removed":  {Removed: []string{"i-1"}},
	} {
		t.Run(name, func(t *testing.T) {
			reader, late := newRegistry(), newRegistry()
			for _, r := range []*psregistry.Registry{reader, late} {
				apply(r, true, entry(5, 7, psserver.Ready))
			}
			reader.Apply(leave, psregistry.UpdateInfo{}, startTime)
			departures := reader.TakeDepartures()
			qt.Assert(t, departures, qt.HasLen, 1)
			qt.Assert(t, reader.TakeDepartures(), qt.HasLen, 0)
			late.ApplyDeparture("vm-1", departures[0], startTime)
			qt.Assert(t, usable(late), qt.IsFalse)
			apply(late, false, entry(5, 10, psserver.Ready))
			qt.Assert(t, usable(late), qt.IsTrue)
			late.ApplyDeparture("vm-1", departures[0], startTime)
			qt.Assert(t, usable(late), qt.IsTrue)
			qt.Assert(t, late.TakeDepartures(), qt.HasLen, 0)
		})
	}
}

// TestDepartureOfAnotherRunIsApplied covers a server that has started again under its id.
func TestDepartureOfAnotherRunIsApplied(t *testing.T) {
	r := newRegistry()
	apply(r, true, entry(6, 1, psserver.Ready))
	r.ApplyDeparture("vm-1", psmessage.Departure{Run: entry(5, 0, psserver.Ready).Run(), Sequence: 9}, startTime)
	qt.Assert(t, usable(r), qt.IsTrue)
}
