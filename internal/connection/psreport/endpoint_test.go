package psreport_test

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

	"persimmonstep/internal/connection/psreport"
	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/version/psmoment"
)

// heard passes on what a link receives.
type heard struct {
	reports chan *psfleet.Report
	notices chan *psfleet.Notice
	digests chan *psfleet.Digest
	unread  chan error
}

func (h *heard) Heard(r *psfleet.Report)          { h.reports <- r }
func (h *heard) Noticed(n *psfleet.Notice)        { h.notices <- n }
func (h *heard) Digested(d *psfleet.Digest)       { h.digests <- d }
func (h *heard) Unread(_ netip.AddrPort, e error) { h.unread <- e }

func (h *heard) Lend(t psfleet.TokenRequest) psfleet.TokenResponse {
	return psfleet.TokenResponse{Granted: t.Workspace == "trays", Wait: time.Second}
}

func start(t *testing.T) (*psreport.Link, netip.AddrPort, *heard) {
	t.Helper()
	probe, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(t, err, qt.IsNil)
	a := netip.MustParseAddrPort(probe.LocalAddr().String())
	qt.Assert(t, probe.Close(), qt.IsNil)
	socket, err := psreport.Listen(context.Background(), a)
	qt.Assert(t, err, qt.IsNil)
	l, clean := psreport.New(socket)
	h := &heard{make(chan *psfleet.Report, 8), make(chan *psfleet.Notice, 8), make(chan *psfleet.Digest, 8), make(chan error, 8)}
	ended := make(chan error, 1)
	go func() { ended <- l.Receive(h) }()
	t.Cleanup(func() {
		clean()
		qt.Check(t, <-ended, qt.IsNil)
	})
	return l, a, h
}

func identity(vm string, at netip.AddrPort) psfleet.Identity {
	return psfleet.Identity{VM: vm, FailureDomain: "north-a", Region: "north", CallerAddress: at, PeerAddress: at, Incarnation: 7}
}

func TestReportsAndNoticesArrive(t *testing.T) {
	a, at, _ := start(t)
	_, bt, h := start(t)
	to := []psfleet.Identity{identity("vm-2", bt)}
	sent := &psfleet.Report{Identity: identity("vm-1", at), Sequence: 3, Demands: map[string]float64{"trays": 1.5}, Crashes: map[uint64]int{9: 1}}
	qt.Assert(t, a.Report(sent, to), qt.IsNil)
	qt.Assert(t, <-h.reports, qt.CmpEquals(cmpopts.EquateComparable(netip.AddrPort{})), sent)
	notice := &psfleet.Notice{VM: "vm-1", Region: "north", Orders: psmoment.At(0, 4)}
	qt.Assert(t, a.Notice(notice, to), qt.IsNil)
	qt.Assert(t, <-h.notices, qt.DeepEquals, notice)
}

func TestAQuestionIsAnswered(t *testing.T) {
	a, _, _ := start(t)
	_, bt, _ := start(t)
	g, err := a.Take(context.Background(), bt, psfleet.TokenRequest{Workspace: "trays"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, g.Granted, qt.IsTrue)
	g, err = a.Take(context.Background(), bt, psfleet.TokenRequest{Workspace: "carts"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, g, qt.Equals, psfleet.TokenResponse{Wait: time.Second})
}

func TestASilentVMHoldsNothingUp(t *testing.T) {
	a, _, _ := start(t)
	silent, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(t, err, qt.IsNil)
	defer silent.Close() //nolint:errcheck // nothing follows
	begun := time.Now()
	_, err = a.Take(context.Background(), netip.MustParseAddrPort(silent.LocalAddr().String()), psfleet.TokenRequest{Workspace: "trays"})
	qt.Assert(t, err, qt.Equals, psreport.ErrSilent)
	qt.Assert(t, time.Since(begun) < time.Second, qt.IsTrue)
}

func TestWhatIsNoMessageIsPassedOver(t *testing.T) {
	_, at, h := start(t)
	c, err := net.Dial("udp4", at.String())
	qt.Assert(t, err, qt.IsNil)
	defer c.Close() //nolint:errcheck // nothing follows
	for _, text := range []string{"", "{", `{"method":"other","params":{}}`, `{"method":"report","params":{"vm":"x"}}`, `{"method":"take"}`} {
		if text == "" {
			continue
		}
		_, err := c.Write([]byte(text))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, <-h.unread, qt.IsNotNil, qt.Commentf("%q", text))
	}
}

func TestDigestsArriveInParts(t *testing.T) {
	a, at, _ := start(t)
	_, bt, h := start(t)
	for _, relayed := range []bool{false, true} {
		testDigest(t, a, at, bt, h, relayed)
	}
}

func testDigest(t *testing.T, a *psreport.Link, at, bt netip.AddrPort, h *heard, relayed bool) {
	t.Helper()
	d := &psfleet.Digest{FailureDomain: "north-a", Relayed: relayed}
	for i := range 100 {
		d.Reports = append(d.Reports, psfleet.ForwardedReport{
			Report: psfleet.Report{Identity: identity("vm-1", at), Sequence: int64(i + 1)}, Age: time.Duration(i) * time.Millisecond,
		})
	}
	qt.Assert(t, a.Digest(d, []psfleet.Identity{identity("vm-2", bt)}), qt.IsNil)
	first, second := <-h.digests, <-h.digests
	qt.Assert(t, first.Relayed, qt.Equals, relayed)
	qt.Assert(t, append(first.Reports, second.Reports...), qt.CmpEquals(cmpopts.EquateComparable(netip.AddrPort{})), d.Reports)
}

// farSocket delays what it sends, as the way to another region does.
type farSocket struct {
	psreport.Socket
	delay time.Duration
}

func (s farSocket) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	data := slices.Clone(b)
	time.AfterFunc(s.delay, func() { _, _ = s.Socket.WriteToUDPAddrPort(data, to) })
	return len(b), nil
}

// lender counts the tokens that it lends.
type lender struct {
	heard
	lent atomic.Int32
}

func (l *lender) Lend(psfleet.TokenRequest) psfleet.TokenResponse {
	l.lent.Add(1)
	return psfleet.TokenResponse{Granted: true}
}

// TestAQuestionOverALongWayTakesOneToken asks a VM that is as far away as the regions of one customer
// are. A second token for the same question would halve a workspace's rate.
func TestAQuestionOverALongWayTakesOneToken(t *testing.T) {
	const questions = 5
	for _, way := range []time.Duration{2 * time.Millisecond, 40 * time.Millisecond, 180 * time.Millisecond} {
		asking, _ := startFar(t, way, &lender{})
		keeper := &lender{}
		_, at := startFar(t, way, keeper)
		for range questions {
			g, err := asking.Take(t.Context(), at, psfleet.TokenRequest{Workspace: "trays"})
			qt.Assert(t, err, qt.IsNil, qt.Commentf("way %s", way))
			qt.Assert(t, g.Granted, qt.IsTrue)
		}
		qt.Assert(t, keeper.lent.Load(), qt.Equals, int32(questions), qt.Commentf("way %s", way))
	}
}

// startFar starts a link whose datagrams take a time.
func startFar(t *testing.T, way time.Duration, h psreport.Handler) (*psreport.Link, netip.AddrPort) {
	t.Helper()
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(t, err, qt.IsNil)
	l, clean := psreport.New(farSocket{socket, way})
	t.Cleanup(clean)
	go func() { _ = l.Receive(h) }()
	return l, netip.MustParseAddrPort(socket.LocalAddr().String())
}
