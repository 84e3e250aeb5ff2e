package psbelief_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/connection/psbelief"
	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/version/psconfig"
)

// source believes something or nothing.
type source struct {
	beliefs psfleet.Beliefs
	found   bool
}

func (s source) Beliefs() (psfleet.Beliefs, bool) { return s.beliefs, s.found }

func ask(t *testing.T, s source) (psfleet.Beliefs, error) {
	t.Helper()
	server := httptest.NewServer(psbelief.Handler(s))
	defer server.Close()
	c, clean := psbelief.NewClient(nil)
	defer clean()
	return c.Ask(context.Background(), netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
}

func TestBeliefsArriveWhole(t *testing.T) {
	want := psfleet.Beliefs{
		Configuration: &psconfig.Configuration{
			Version: 7, Routes: []psconfig.Route{{Name: "boards", Kind: psconfig.Idempotent, Timeout: time.Second}},
			Workspaces: []psconfig.Workspace{{Name: "trays", Keys: []psconfig.Digest{psconfig.DigestOf("k-1")}, Rate: 4}},
		},
		Evacuated: []string{"north-a"}, Age: time.Second,
		Servers: []psserver.Entry{{ID: "i-1", Incarnation: time.UnixMilli(5).UTC(), Address: netip.MustParseAddrPort("10.0.0.9:80"), State: psserver.Draining}},
	}
	got, err := ask(t, source{want, true})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.Configuration, qt.DeepEquals, want.Configuration)
	qt.Assert(t, got.Servers[0], qt.Equals, want.Servers[0])
	qt.Assert(t, got.Evacuated, qt.DeepEquals, want.Evacuated)
	qt.Assert(t, got.Age, qt.Equals, want.Age)
}

func TestAVMThatKnowsNothingHasNothingToTell(t *testing.T) {
	_, err := ask(t, source{})
	qt.Assert(t, err, qt.ErrorMatches, ".*404.*")
}
