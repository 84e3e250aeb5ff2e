package psregistry_test

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/process/psregistry"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/version/psrevision"
	"persimmonstep/platform"
)

var startTime = time.Unix(1000, 0)

func entry(incarnation, sequence int64, state psserver.State) psserver.Entry {
	return psserver.Entry{
		ID: "i-1", Incarnation: time.UnixMilli(incarnation), Service: "prices", FailureDomain: "north-a", Slots: 4,
		Address: netip.MustParseAddrPort("127.0.0.1:80"), Sequence: sequence, State: state,
	}
}

func apply(r *psregistry.Registry, full bool, entries ...psserver.Entry) {
	r.Apply(platform.Servers{Entries: entries}, psregistry.UpdateInfo{Full: full}, startTime)
}

func newRegistry() *psregistry.Registry {
	return psregistry.New(psregistry.Options{
		Regions: map[string]string{"north-a": "north"}, Heartbeat: heartbeat, Logger: hclog.NewNullLogger(),
	})
}

func usable(r *psregistry.Registry) bool {
	s, found := r.Get("i-1")
	return found && s.Usable(startTime)
}

// TestOutdatedEntriesDoNotReviveALeavingServer applies outdated entries, as they come from VMs and from
// responses of the store. A server that announced its shutdown stays out of use for its incarnation, and a
// new incarnation is used.
func TestOutdatedEntriesDoNotReviveALeavingServer(t *testing.T) {
	for name, v := range map[string]struct {
		leave func(r *psregistry.Registry)
		after []psserver.Entry
		full  bool
		want  bool
	}{
		"draining, then an older ready": {
			func(r *psregistry.Registry) { apply(r, false, entry(5, 9, psserver.Draining)) },
			[]psserver.Entry{entry(5, 8, psserver.Ready)},
			false, false,
		},
		"draining and removed, then an older ready": {
			func(r *psregistry.Registry) {
				apply(r, false, entry(5, 9, psserver.Draining))
				r.Apply(platform.Servers{Removed: []string{"i-1"}}, psregistry.UpdateInfo{}, startTime)
			},
			[]psserver.Entry{entry(5, 8, psserver.Ready)},
			true, false,
		},
		"shutdown announced in a response, then a later ready": {
			func(r *psregistry.Registry) {
				s, _ := r.Get("i-1")
				s.MarkLeaving()
			},
			[]psserver.Entry{entry(5, 12, psserver.Ready)},
			false, false,
		},
		"shutdown announced in a response and removed, then a later ready": {
			func(r *psregistry.Registry) {
				s, _ := r.Get("i-1")
				s.MarkLeaving()
				apply(r, true)
			},
			[]psserver.Entry{entry(5, 12, psserver.Ready)},
			false, false,
		},
		"a new incarnation": {
			func(r *psregistry.Registry) {
				s, _ := r.Get("i-1")
				s.MarkLeaving()
			},
			[]psserver.Entry{entry(6, 1, psserver.Ready)},
			false, true,
		},
		"a new incarnation, then the previous one": {
			func(r *psregistry.Registry) { apply(r, false, entry(6, 1, psserver.Draining)) },
			[]psserver.Entry{entry(5, 30, psserver.Ready)},
			true, false,
		},
		"removed and registered again": {
			func(r *psregistry.Registry) { apply(r, true) },
			[]psserver.Entry{entry(5, 9, psserver.Ready)},
			false, true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRegistry()
			apply(r, true, entry(5, 7, psserver.Ready))
			qt.Assert(t, usable(r), qt.IsTrue)
			v.leave(r)
			apply(r, v.full, v.after...)
			qt.Assert(t, usable(r), qt.Equals, v.want)
		})
	}
}

// TestOlderReadOfStoreRevivesServer covers a VM that gets the state of another VM while its own slow read of the store is
// under way. The read is older: it must neither revive a server that has left nor remove one that was added.
func TestOlderReadOfStoreRevivesServer(t *testing.T) {
	r := newRegistry()
	added := entry(5, 1, psserver.Ready)
	added.ID = "i-2"
	r.Apply(platform.Servers{Entries: []psserver.Entry{entry(5, 7, psserver.Ready)}, Revision: psrevision.New(0, 80)}, psregistry.UpdateInfo{Full: true}, startTime)
	r.Apply(platform.Servers{Entries: []psserver.Entry{added}, Revision: psrevision.New(0, 100)}, psregistry.UpdateInfo{Full: true, FromPeer: true}, startTime)
	r.Apply(platform.Servers{Entries: []psserver.Entry{entry(5, 8, psserver.Ready)}, Revision: psrevision.New(0, 90)}, psregistry.UpdateInfo{Full: true}, startTime)
	_, found := r.Get("i-2")
	qt.Assert(t, found, qt.IsTrue)
	qt.Assert(t, usable(r), qt.IsFalse)
	qt.Assert(t, r.Revision(), qt.Equals, psrevision.New(0, 100))
	r.Apply(platform.Servers{Removed: []string{"i-1"}, Revision: psrevision.New(0, 101)}, psregistry.UpdateInfo{}, startTime)
	qt.Assert(t, r.Len(), qt.Equals, 1)
	qt.Assert(t, r.Revision(), qt.Equals, psrevision.New(0, 101))
}
