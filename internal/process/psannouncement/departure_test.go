package psannouncement_test

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psannouncement"
	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/psserver"
)

// TestEarlierBuildIsNotToldOfDeparture covers a fleet in which one VM runs a build that knows no departures. It learns of
// them as servers that announced their shutdown.
func TestEarlierBuildIsNotToldOfDeparture(t *testing.T) {
	now := time.Unix(1000, 0)
	departure := psmessage.Departure{Run: psserver.Run{ID: "i-1", Incarnation: 5}, Sequence: 9}
	for _, features := range []psmessage.Features{0, psmessage.CurrentFeatures} {
		at := netip.MustParseAddrPort("127.0.0.1:80")
		f := psfleet.New(psmessage.Identity{VM: "vm-1"})
		f.ApplyReport(&psmessage.Report{Sequence: 1, Identity: psmessage.Identity{
			VM: "vm-2", FailureDomain: "north-a", Region: "north", CallerAddress: at, PeerAddress: at, Incarnation: 1, Features: features,
		}}, now)
		a := psannouncement.New()
		a.Departed(departure, now)
		var r psmessage.Report
		a.Fill(&r, f, nil, now)
		qt.Assert(t, r.Departed, qt.DeepEquals, []psmessage.Departure{departure})
		qt.Assert(t, len(r.Leaving) == 1, qt.Equals, features == 0)
		r = psmessage.Report{}
		a.Fill(&r, f, nil, now.Add(10*time.Second))
		qt.Assert(t, r.Departed, qt.HasLen, 0)
	}
}
