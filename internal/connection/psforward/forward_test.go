package psforward_test

import (
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/connection/psbody"
	"persimmonstep/internal/connection/psforward"
	"persimmonstep/internal/connection/pstransport"
	"persimmonstep/internal/process/psmessage"
)

// helper returns a VM at a loopback address.
func helper(name, domain string, address netip.AddrPort) psmessage.Identity {
	return psmessage.Identity{VM: name, FailureDomain: domain, Region: "north", PeerAddress: address, Features: psmessage.CurrentFeatures}
}

// TestHelperOfEarlierBuildIsPreferred covers a near VM whose build may be unable to forward requests, while others can.
func TestHelperOfEarlierBuildIsPreferred(t *testing.T) {
	f := &psforward.Forwarder{FailureDomain: "north-a", Region: "north"}
	earlier, able := helper("vm-2", "north-a", netip.AddrPort{}), helper("vm-3", "north-b", netip.AddrPort{})
	earlier.Features = 0
	for range 20 {
		h, found := f.Pick([]psmessage.Identity{able, earlier})
		qt.Assert(t, found, qt.IsTrue)
		qt.Assert(t, h.VM, qt.Equals, "vm-3")
	}
	h, found := f.Pick([]psmessage.Identity{earlier})
	qt.Assert(t, found, qt.IsTrue)
	qt.Assert(t, h.VM, qt.Equals, "vm-2")
}

// startSilent starts a listener that accepts connections and never responds, as the helper's port for forwarded requests.
// It returns the helper's address for messages.
func startSilent(t *testing.T, network byte) netip.AddrPort {
	t.Helper()
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, network, 1}), 7600)
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", psforward.Address(a).String())
	qt.Assert(t, err, qt.IsNil)
	s := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
	})}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return a
}

// TestHelpersShareRequests keeps requests in flight. The helpers of the own failure domain get equal parts, until all of
// them are busy; then others help as well, up to a bound.
func TestHelpersShareRequests(t *testing.T) {
	transport, clean := pstransport.New()
	defer clean()
	f := &psforward.Forwarder{Self: "vm-1", FailureDomain: "north-a", Region: "north", Transport: transport}
	near := []psmessage.Identity{helper("vm-2", "north-a", startSilent(t, 2)), helper("vm-3", "north-a", startSilent(t, 3))}
	all := append(near, helper("vm-4", "north-b", startSilent(t, 4)))
	counts := map[string]int{}
	for range 3 * 128 {
		h, found := f.Pick(all)
		qt.Assert(t, found, qt.IsTrue)
		counts[h.VM]++
		if counts["vm-2"]+counts["vm-3"] == 2*32 && counts["vm-4"] == 0 {
			qt.Assert(t, counts["vm-2"], qt.Equals, 32)
		}
		before := f.InFlight(h)
		go f.Send(t.Context(), h, psforward.Request{Caller: caller(t), Body: &psbody.Body{}, Left: time.Minute})
		for end := time.Now().Add(5 * time.Second); f.InFlight(h) == before; time.Sleep(time.Millisecond) {
			qt.Assert(t, time.Now().Before(end), qt.IsTrue, qt.Commentf("request %d isn't in flight", before))
		}
	}
	qt.Assert(t, counts, qt.DeepEquals, map[string]int{"vm-2": 128, "vm-3": 128, "vm-4": 128})
	_, found := f.Pick(all)
	qt.Assert(t, found, qt.IsFalse)
}

func caller(t *testing.T) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://eggs.test/orders/1", nil)
	qt.Assert(t, err, qt.IsNil)
	return r
}

// TestUnreachableHelperLeavesRequestUnsent guards against requests that fail although another helper could take them.
func TestUnreachableHelperLeavesRequestUnsent(t *testing.T) {
	transport, clean := pstransport.New()
	defer clean()
	f := &psforward.Forwarder{Self: "vm-1", Transport: transport}
	gone := helper("vm-2", "north-a", netip.MustParseAddrPort("127.9.1.1:7600"))
	reply := f.Send(t.Context(), gone, psforward.Request{Caller: caller(t), Body: &psbody.Body{}, Left: time.Second})
	_, unsent := reply.(psforward.Unsent)
	qt.Assert(t, unsent, qt.IsTrue, qt.Commentf("%#v", reply))
}

func TestOriginIsChecked(t *testing.T) {
	for name, v := range map[string]struct {
		vm, attempts string
		valid        bool
	}{
		"valid": {"vm-1", "2", true}, "no VM": {"", "2", false}, "no attempts": {"vm-1", "", false},
		"negative": {"vm-1", "-1", false}, "too many": {"vm-1", "101", false}, "no number": {"vm-1", "x", false},
	} {
		h := http.Header{"Steer-From": {v.vm}, "Steer-Attempts": {v.attempts}, "Other": {"x"}}
		o, err := psforward.TakeOrigin(h)
		qt.Check(t, err == nil, qt.Equals, v.valid, qt.Commentf("%s: %v", name, err))
		qt.Check(t, h, qt.DeepEquals, http.Header{"Other": {"x"}})
		if v.valid {
			qt.Check(t, o, qt.Equals, psforward.Origin{VM: "vm-1", Attempts: 2})
		}
	}
}
