package psregistry_test

import (
	"encoding/json"
	"math"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/process/psregistry"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/platform"
)

// heartbeat is the interval at which the server of these tests renews its entry.
const heartbeat = 1500 * time.Millisecond

// TestOddEntryHidesDrainingServer covers another writer that overwrites a server's row once. The server's own entries
// follow, and the last one says that it is draining. By its second one after the odd entry it must get no requests.
func TestOddEntryHidesDrainingServer(t *testing.T) {
	for name, odd := range map[string]psserver.Entry{
		"start time in the far future":  entry(startTime.AddDate(5000, 0, 0).UnixMilli(), 1, psserver.Ready),
		"latest start time":             entry(math.MaxInt64, 1, psserver.Ready),
		"start time a little later":     entry(6, 1, psserver.Ready),
		"highest heartbeat number":      entry(5, math.MaxInt64, psserver.Ready),
		"heartbeat number a bit higher": entry(5, 500, psserver.Ready),
	} {
		t.Run(name, func(t *testing.T) {
			r := newRegistry()
			apply(r, true, entry(5, 7, psserver.Ready))
			apply(r, false, odd)
			apply(r, false, entry(5, 8, psserver.Draining))
			apply(r, false, entry(5, 9, psserver.Draining))
			qt.Assert(t, usable(r), qt.IsFalse)
		})
	}
}

// TestUnreadableEntryRemovesServer covers a row that can't be decoded in a read of all entries. The server stays in use
// for as long as its last entry is valid, which is three heartbeat intervals.
func TestUnreadableEntryRemovesServer(t *testing.T) {
	r := newRegistry()
	apply(r, true, entry(5, 7, psserver.Ready))
	unreadable := platform.Servers{Unreadable: []platform.UnreadableRow{{Key: "i-1"}}}
	r.Apply(unreadable, psregistry.UpdateInfo{Full: true}, startTime.Add(heartbeat))
	qt.Assert(t, usable(r), qt.IsTrue)
	r.Apply(unreadable, psregistry.UpdateInfo{Full: true}, startTime.Add(5*heartbeat))
	qt.Assert(t, usable(r), qt.IsFalse)
}

// TestOddEntryCannotBePassedOn registers entries from the ends of the range of each field. Those that are accepted must
// survive the encoding in which VMs pass them on.
func TestOddEntryCannotBePassedOn(t *testing.T) {
	for _, incarnation := range []int64{math.MinInt64, -1, 0, 253402300800000, math.MaxInt64} {
		e := entry(incarnation, 1, psserver.Ready)
		if e.Check() != nil {
			continue
		}
		data, err := json.Marshal(e)
		qt.Assert(t, err, qt.IsNil)
		var decoded psserver.Entry
		qt.Assert(t, json.Unmarshal(data, &decoded), qt.IsNil)
		qt.Assert(t, decoded.Run(), qt.Equals, e.Run())
	}
}

// TestInvalidEntryOfPeerStopsTheOthers covers the state of a VM that has accepted an odd entry.
func TestInvalidEntryOfPeerStopsTheOthers(t *testing.T) {
	r := newRegistry()
	odd := entry(5, 7, psserver.Ready)
	odd.ID, odd.Slots = "i-2", math.MaxInt
	r.Apply(platform.Servers{Entries: []psserver.Entry{odd, entry(5, 7, psserver.Ready)}}, psregistry.UpdateInfo{Full: true, FromPeer: true}, startTime)
	qt.Assert(t, usable(r), qt.IsTrue)
	qt.Assert(t, r.Len(), qt.Equals, 1)
}

// TestEntryWithAddressOfVMIsIgnored covers an entry that would make a VM send requests to itself or to another VM.
func TestEntryWithAddressOfVMIsIgnored(t *testing.T) {
	r := psregistry.New(psregistry.Options{
		Heartbeat: heartbeat, Logger: hclog.NewNullLogger(),
		Reserved: func(a netip.AddrPort) bool { return a == entry(5, 7, psserver.Ready).Address },
	})
	apply(r, true, entry(5, 7, psserver.Ready))
	qt.Assert(t, r.Len(), qt.Equals, 0)
}

// TestLateEntryOfEarlierRunIsNotUsed covers a write of an earlier run that the store performs late. The server renews its
// entry after that, and stays in use with it.
func TestLateEntryOfEarlierRunIsNotUsed(t *testing.T) {
	for _, late := range []psserver.State{psserver.Ready, psserver.Draining} {
		r := newRegistry()
		apply(r, true, entry(6, 3, psserver.Ready))
		apply(r, false, entry(5, 30, late))
		qt.Assert(t, usable(r), qt.Equals, late == psserver.Ready)
		r.Apply(platform.Servers{Entries: []psserver.Entry{entry(6, 4, psserver.Ready)}}, psregistry.UpdateInfo{}, startTime.Add(heartbeat))
		r.Apply(platform.Servers{}, psregistry.UpdateInfo{}, startTime.Add(4*heartbeat))
		qt.Assert(t, usable(r), qt.IsTrue)
		s, _ := r.Get("i-1")
		qt.Assert(t, s.Entry().Sequence, qt.Equals, int64(4))
	}
}

// TestUnrenewedOddEntryIsReplaced covers a server that writes its entry once after an odd one, and then has no reason to
// write another.
func TestUnrenewedOddEntryIsReplaced(t *testing.T) {
	r := newRegistry()
	apply(r, true, entry(5, 7, psserver.Ready))
	apply(r, false, entry(50, 1, psserver.Ready))
	apply(r, false, entry(5, 8, psserver.Ready))
	r.Apply(platform.Servers{}, psregistry.UpdateInfo{}, startTime.Add(3*heartbeat))
	s, _ := r.Get("i-1")
	qt.Assert(t, s.Entry().Incarnation.UnixMilli(), qt.Equals, int64(5))
	qt.Assert(t, usable(r), qt.IsTrue)
}

// TestRestoredEntryDoesNotReplaceLeavingServer covers an older entry that a restored store returns in a full read.
func TestRestoredEntryDoesNotReplaceLeavingServer(t *testing.T) {
	r := newRegistry()
	apply(r, true, entry(5, 7, psserver.Ready))
	apply(r, false, entry(5, 9, psserver.Draining))
	apply(r, true, entry(5, 7, psserver.Ready))
	r.Apply(platform.Servers{}, psregistry.UpdateInfo{}, startTime.Add(5*heartbeat))
	qt.Assert(t, usable(r), qt.IsFalse)
}
