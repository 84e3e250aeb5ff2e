package pspeer_test

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp/cmpopts"

	"persimmonstep/internal/connection/pspeer"
	"persimmonstep/internal/process/pslimit"
	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/version/psrevision"
)

// recorder records what an endpoint receives.
type recorder struct {
	reports chan *psmessage.Report
	notices chan *psmessage.Notice
	digests chan *psmessage.Digest
	invalid chan error
}

func (r *recorder) HandleReport(report *psmessage.Report)     { r.reports <- report }
func (r *recorder) HandleNotice(n *psmessage.Notice)          { r.notices <- n }
func (r *recorder) HandleDigest(d *psmessage.Digest)          { r.digests <- d }
func (r *recorder) HandleInvalid(_ netip.AddrPort, err error) { r.invalid <- err }

func (r *recorder) GrantToken(t psmessage.TokenRequest) psmessage.TokenResponse {
	return psmessage.TokenResponse{Granted: t.Workspace == "trays", Wait: time.Second}
}

func start(t *testing.T) (*pspeer.Endpoint, netip.AddrPort, *recorder) {
	t.Helper()
	free, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(t, err, qt.IsNil)
	a := netip.MustParseAddrPort(free.LocalAddr().String())
	qt.Assert(t, free.Close(), qt.IsNil)
	socket, err := pspeer.Listen(context.Background(), a)
	qt.Assert(t, err, qt.IsNil)
	e, clean := pspeer.New(socket)
	r := &recorder{
		make(chan *psmessage.Report, 8), make(chan *psmessage.Notice, 8), make(chan *psmessage.Digest, 8), make(chan error, 8),
	}
	ended := make(chan error, 1)
	go func() { ended <- e.Receive(r) }()
	t.Cleanup(func() {
		clean()
		qt.Check(t, <-ended, qt.IsNil)
	})
	return e, a, r
}

func identity(vm string, at netip.AddrPort) psmessage.Identity {
	return psmessage.Identity{VM: vm, FailureDomain: "north-a", Region: "north", CallerAddress: at, PeerAddress: at, Incarnation: 7}
}

func TestReportsAndNoticesArrive(t *testing.T) {
	a, at, _ := start(t)
	_, bt, h := start(t)
	to := []psmessage.Identity{identity("vm-2", bt)}
	sent := &psmessage.Report{Identity: identity("vm-1", at), Sequence: 3, Demands: map[string]float64{"trays": 1.5}, Crashes: map[uint64]int{9: 1}}
	qt.Assert(t, a.Report(sent, to), qt.IsNil)
	qt.Assert(t, <-h.reports, qt.CmpEquals(cmpopts.EquateComparable(netip.AddrPort{})), sent)
	notice := &psmessage.Notice{VM: "vm-1", Region: "north", DesiredStateRevision: psrevision.New(0, 4)}
	qt.Assert(t, a.Notice(notice, to), qt.IsNil)
	qt.Assert(t, <-h.notices, qt.DeepEquals, notice)
}

func TestTokenRequestIsAnswered(t *testing.T) {
	a, _, _ := start(t)
	_, bt, _ := start(t)
	g, err := a.RequestToken(context.Background(), bt, psmessage.TokenRequest{Workspace: "trays"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, g.Granted, qt.IsTrue)
	g, err = a.RequestToken(context.Background(), bt, psmessage.TokenRequest{Workspace: "carts"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, g, qt.Equals, psmessage.TokenResponse{Wait: time.Second})
}

func TestUnresponsiveVMTimesOut(t *testing.T) {
	a, _, _ := start(t)
	unresponsive, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(t, err, qt.IsNil)
	defer unresponsive.Close() //nolint:errcheck // nothing follows
	begun := time.Now()
	_, err = a.RequestToken(context.Background(), netip.MustParseAddrPort(unresponsive.LocalAddr().String()), psmessage.TokenRequest{Workspace: "trays"})
	qt.Assert(t, err, qt.Equals, pspeer.ErrNoResponse)
	qt.Assert(t, time.Since(begun) < time.Second, qt.IsTrue)
}

func TestInvalidDatagramsAreReported(t *testing.T) {
	_, at, h := start(t)
	c, err := net.Dial("udp4", at.String())
	qt.Assert(t, err, qt.IsNil)
	defer c.Close() //nolint:errcheck // nothing follows
	for _, text := range []string{
		"{", `{"method":"other","params":{}}`, `{"method":"report","params":{"vm":"x"}}`, `{"method":"take"}`,
		`{"method":"report","params":{"vm":"x","incarnation":1,"limited":[{"id":"i-1","limit":{"perSecond":-1}}]}}`,
		`{"method":"report","params":{"vm":"x","incarnation":1,"limited":[{"id":"i-1","age":-1}]}}`,
		// All ids that are texts would share one response.
		`{"method":"take","id":"x","params":{"workspace":"trays"}}`,
		`{"method":"take","params":{"server":{},"wanted":0}}`, `{"method":"take","params":{"server":{"limit":{"perSecond":-1}},"wanted":1}}`,
		`{"id":1,"result":{"fraction":-1}}`, `{"id":1,"result":{"fraction":2}}`, `{"id":1,"result":{"server":{"age":-1}}}`,
	} {
		_, err := c.Write([]byte(text))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, <-h.invalid, qt.IsNotNil, qt.Commentf("%q", text))
	}
}

func TestLargeDigestIsSplit(t *testing.T) {
	a, at, _ := start(t)
	_, bt, h := start(t)
	for _, relayed := range []bool{false, true} {
		testDigest(t, a, at, bt, h, relayed)
	}
}

func testDigest(t *testing.T, a *pspeer.Endpoint, at, bt netip.AddrPort, h *recorder, relayed bool) {
	t.Helper()
	d := &psmessage.Digest{FailureDomain: "north-a", Relayed: relayed}
	for i := range 100 {
		d.Reports = append(d.Reports, psmessage.ForwardedReport{
			Report: psmessage.Report{Identity: identity("vm-1", at), Sequence: int64(i + 1)}, Age: time.Duration(i) * time.Millisecond,
		})
	}
	qt.Assert(t, a.Digest(d, []psmessage.Identity{identity("vm-2", bt)}), qt.IsNil)
	first, second := <-h.digests, <-h.digests
	qt.Assert(t, first.Relayed, qt.Equals, relayed)
	qt.Assert(t, append(first.Reports, second.Reports...), qt.CmpEquals(cmpopts.EquateComparable(netip.AddrPort{})), d.Reports)
}

// delayedSocket sends datagrams with a delay, as a network path to another region does.
type delayedSocket struct {
	pspeer.Socket
	delay time.Duration
}

func (s delayedSocket) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	data := slices.Clone(b)
	time.AfterFunc(s.delay, func() { _, _ = s.Socket.WriteToUDPAddrPort(data, to) })
	return len(b), nil
}

// granter counts the tokens that it grants.
type granter struct {
	recorder
	granted atomic.Int32
}

func (g *granter) GrantToken(psmessage.TokenRequest) psmessage.TokenResponse {
	g.granted.Add(1)
	return psmessage.TokenResponse{Granted: true}
}

// TestResentRequestTakesOneToken requests tokens over the network delays that occur between the regions of one firm.
// If the round-trip time exceeds the request timeout, a request is sent again. It must not take a second token, which
// would halve the rate of the workspace.
func TestResentRequestTakesOneToken(t *testing.T) {
	const requests = 5
	for _, delay := range []time.Duration{2 * time.Millisecond, 40 * time.Millisecond, 180 * time.Millisecond} {
		requester, _ := startDelayed(t, delay, &granter{})
		owner := &granter{}
		_, at := startDelayed(t, delay, owner)
		for range requests {
			response, err := requester.RequestToken(t.Context(), at, psmessage.TokenRequest{Workspace: "trays"})
			qt.Assert(t, err, qt.IsNil, qt.Commentf("delay %s", delay))
			qt.Assert(t, response.Granted, qt.IsTrue)
		}
		qt.Assert(t, owner.granted.Load(), qt.Equals, int32(requests), qt.Commentf("delay %s", delay))
	}
}

// startDelayed starts an endpoint whose datagrams are delayed.
func startDelayed(t *testing.T, delay time.Duration, h pspeer.Handler) (*pspeer.Endpoint, netip.AddrPort) {
	t.Helper()
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(t, err, qt.IsNil)
	e, clean := pspeer.New(delayedSocket{socket, delay})
	t.Cleanup(clean)
	go func() { _ = e.Receive(h) }()
	return e, netip.MustParseAddrPort(socket.LocalAddr().String())
}

// countingSocket counts the bytes that are sent.
type countingSocket struct {
	pspeer.Socket
	bytes *atomic.Int64
}

func (s countingSocket) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	s.bytes.Add(int64(len(b)))
	return s.Socket.WriteToUDPAddrPort(b, to)
}

// BenchmarkServerToken measures a request for a token of a server's limit and its response, at both VMs together.
func BenchmarkServerToken(b *testing.B) {
	var sent atomic.Int64
	open := func(h pspeer.Handler) (*pspeer.Endpoint, netip.AddrPort) {
		c, err := net.ListenPacket("udp4", "127.0.0.1:0")
		qt.Assert(b, err, qt.IsNil)
		e, clean := pspeer.New(countingSocket{c.(*net.UDPConn), &sent})
		b.Cleanup(clean)
		go func() { _ = e.Receive(h) }()
		return e, netip.MustParseAddrPort(c.LocalAddr().String())
	}
	limit := &psmessage.ServerLimit{Run: psserver.Run{ID: "i-424753e14d", Incarnation: 1764864440000}, Limit: pslimit.Limit{Named: true, PerSecond: 5.4}, Age: 123456789}
	requester, _ := open(&granter{})
	_, at := open(&serverGranter{})
	for b.Loop() {
		_, err := requester.RequestToken(b.Context(), at, psmessage.TokenRequest{Server: limit, Service: "pricebook", Wanted: 3})
		qt.Assert(b, err, qt.IsNil)
	}
	b.ReportMetric(float64(sent.Load())/float64(b.N), "B/request")
}

// serverGranter grants each token of a server.
type serverGranter struct {
	granter
}

func (*serverGranter) GrantToken(psmessage.TokenRequest) psmessage.TokenResponse {
	return psmessage.TokenResponse{Granted: true, Fraction: 0.417}
}
