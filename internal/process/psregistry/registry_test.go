package psregistry_test

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/process/psregistry"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/platform"
)

var begun = time.Unix(1000, 0)

func entry(incarnation, sequence int64, state psserver.State) psserver.Entry {
	return psserver.Entry{
		ID: "i-1", Incarnation: time.UnixMilli(incarnation), Service: "prices", FailureDomain: "north-a", Slots: 4,
		Address: netip.MustParseAddrPort("127.0.0.1:80"), Sequence: sequence, State: state,
	}
}

func take(r *psregistry.Registry, whole bool, entries ...psserver.Entry) {
	r.Take(platform.Servers{Entries: entries}, psregistry.Reading{Whole: whole}, begun)
}

func usable(r *psregistry.Registry) bool {
	s, found := r.Get("i-1")
	return found && s.Usable(begun)
}

// TestWhatAServerToldIsNotUndone feeds entries from the past, as VMs and stores that are behind bring
// them. A server that leaves stays out of use for its run, and a new run is used.
func TestWhatAServerToldIsNotUndone(t *testing.T) {
	for name, v := range map[string]struct {
		leave func(r *psregistry.Registry)
		after []psserver.Entry
		whole bool
		want  bool
	}{
		"draining, then an older ready": {
			func(r *psregistry.Registry) { take(r, false, entry(5, 9, psserver.Draining)) },
			[]psserver.Entry{entry(5, 8, psserver.Ready)},
			false, false,
		},
		"draining and gone, then an older ready": {
			func(r *psregistry.Registry) {
				take(r, false, entry(5, 9, psserver.Draining))
				r.Take(platform.Servers{Removed: []string{"i-1"}}, psregistry.Reading{}, begun)
			},
			[]psserver.Entry{entry(5, 8, psserver.Ready)},
			true, false,
		},
		"told in an answer, then a later ready": {
			func(r *psregistry.Registry) {
				s, _ := r.Get("i-1")
				s.MarkLeaving()
			},
			[]psserver.Entry{entry(5, 12, psserver.Ready)},
			false, false,
		},
		"told in an answer and gone, then a later ready": {
			func(r *psregistry.Registry) {
				s, _ := r.Get("i-1")
				s.MarkLeaving()
				take(r, true)
			},
			[]psserver.Entry{entry(5, 12, psserver.Ready)},
			false, false,
		},
		"a new run": {
			func(r *psregistry.Registry) {
				s, _ := r.Get("i-1")
				s.MarkLeaving()
			},
			[]psserver.Entry{entry(6, 1, psserver.Ready)},
			false, true,
		},
		"a new run, then the one before": {
			func(r *psregistry.Registry) { take(r, false, entry(6, 1, psserver.Draining)) },
			[]psserver.Entry{entry(5, 30, psserver.Ready)},
			true, false,
		},
		"lapsed and back": {
			func(r *psregistry.Registry) { take(r, true) },
			[]psserver.Entry{entry(5, 9, psserver.Ready)},
			false, true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := psregistry.New(map[string]string{"north-a": "north"}, hclog.NewNullLogger())
			take(r, true, entry(5, 7, psserver.Ready))
			qt.Assert(t, usable(r), qt.IsTrue)
			v.leave(r)
			take(r, v.whole, v.after...)
			qt.Assert(t, usable(r), qt.Equals, v.want)
		})
	}
}
