package psbackend_test

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/trial/psbackend"
	"persimmonstep/internal/trial/psbehaviour"
	"persimmonstep/internal/trial/psspell"
	"persimmonstep/platform/psheader"
)

// TestSlowMachineStatesItsSpeed guards against load reports, of responses and of the health path, without the fourth
// figure, and against records that don't tell slow runs from uncached ones.
func TestSlowMachineStatesItsSpeed(t *testing.T) {
	s, clean, err := psbackend.New(t.Context(), "i-1", netip.MustParseAddrPort("127.0.0.1:0"))
	qt.Assert(t, err, qt.IsNil)
	defer clean()
	s.Set(psbehaviour.Behaviour{
		Slots: 3, RouteTimes: []psbehaviour.RouteTime{{Prefix: "/boards/", ServiceTime: 20 * time.Millisecond}},
		Spells: &psspell.Spells{Origin: time.Now(), Factor: 2.5, Changes: []time.Duration{0, time.Hour}},
	})
	for path, load := range map[string]psheader.Load{
		"/boards/1":          {Running: 1, Slots: 3, WorkFactor: 2.5},
		psbackend.HealthPath: {Slots: 3, WorkFactor: 2.5},
	} {
		response, err := http.Get("http://" + s.Address.String() + path) //nolint:noctx // a test's request
		qt.Assert(t, err, qt.IsNil)
		_ = response.Body.Close()
		qt.Check(t, psheader.ReadHealth(http.StatusOK, response.Header).Load, qt.DeepEquals, &load)
	}
	list := s.Executions()
	qt.Assert(t, len(list), qt.Equals, 1)
	qt.Check(t, list[0].Work, qt.Equals, 20*time.Millisecond)
	qt.Check(t, list[0].Ended.Sub(list[0].Started) >= 50*time.Millisecond, qt.IsTrue)
}
