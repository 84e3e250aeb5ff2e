package pssteer_test

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psserver"
	"persimmonstep/platform/psstandin"
)

const (
	// contactBound is the time after a disruption from which on a VM must keep the bounds of the fleet, and drainBound
	// the time after the entry of a draining server, or a change of the configuration, within which it takes effect.
	contactBound = 3 * time.Second
	drainBound   = 2 * time.Second
)

// startBehindEndpoint starts a store and a VM that reads it at an endpoint of its own, and waits until the VM serves.
func startBehindEndpoint(t *testing.T, server string) (*psstandin.Store, *psstandin.Endpoint, *vm) {
	t.Helper()
	s := startStore(t, server)
	e, clean, err := s.Listen(context.Background(), netip.MustParseAddrPort("127.0.0.1:0"))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(clean)
	v := startVMAt(t, "vm-1", ownAddress(), e.Address)
	eventually(t, "served", func() bool { return status(v) == http.StatusOK })
	return s, e, v
}

// dropCalls makes a VM call the store again, and the store drop these calls. They stay unanswered on a connection that
// lives, although the store answers later calls.
func dropCalls(t *testing.T, s *psstandin.Store, e *psstandin.Endpoint, server string) {
	t.Helper()
	another := entry(server)
	another.ID = "i-2"
	s.Register(another)
	s.Configure(routes(2, true), map[string][]string{"trays": {testKey}})
	time.Sleep(50 * time.Millisecond)
	e.SetFault(psstandin.Fault{Silent: true})
	time.Sleep(time.Second)
	e.SetFault(psstandin.Fault{})
}

// TestDroppedStoreCallHidesChanges guards against requests to a server that has left, and on a route that was removed,
// after the store has dropped the VM's calls.
func TestDroppedStoreCallHidesChanges(t *testing.T) {
	t.Parallel()
	server := startBackend(t, 0)
	for name, test := range map[string]struct {
		change func(s *psstandin.Store)
		want   int
	}{
		"draining servers": {func(s *psstandin.Store) {
			for _, id := range []string{"i-1", "i-2"} {
				e := entry(server)
				e.ID, e.Sequence, e.State = id, 2, psserver.Draining
				s.Register(e)
			}
		}, http.StatusServiceUnavailable},
		"removed servers": {func(s *psstandin.Store) {
			s.Remove("servers", "i-1")
			s.Remove("servers", "i-2")
		}, http.StatusServiceUnavailable},
		"removed route": {func(s *psstandin.Store) {
			s.Configure(routes(3, false), map[string][]string{"trays": {testKey}})
		}, http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, e, v := startBehindEndpoint(t, server)
			dropCalls(t, s, e, server)
			time.Sleep(contactBound)
			qt.Assert(t, status(v), qt.Equals, http.StatusOK)
			test.change(s)
			time.Sleep(drainBound)
			qt.Assert(t, status(v), qt.Equals, test.want)
		})
	}
}

// TestServerRemovedDuringOutageIsKept guards against requests to a server that left while the store dropped calls. The
// outage is so short that no entry can have expired, so there is no reason to keep the server.
func TestServerRemovedDuringOutageIsKept(t *testing.T) {
	t.Parallel()
	server := startBackend(t, 0)
	s, e, v := startBehindEndpoint(t, server)
	removed := time.AfterFunc(500*time.Millisecond, func() {
		s.Remove("servers", "i-1")
		s.Remove("servers", "i-2")
	})
	defer removed.Stop()
	dropCalls(t, s, e, server)
	time.Sleep(contactBound)
	qt.Assert(t, status(v), qt.Equals, http.StatusServiceUnavailable)
}
