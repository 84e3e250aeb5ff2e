package pswatch_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/process/pswatch"
	"persimmonstep/internal/version/psmoment"
	"persimmonstep/platform"
)

// world is a store that never changes, the sink, and a region of a fleet.
type environment struct {
	fleet int
	// later says that another VM tells the region.
	otherRelay  atomic.Bool
	fullReads   atomic.Int64
	changeCalls atomic.Int64
	// near are the tables that another VM has told, and silent says that none answers questions.
	peerTables  pswatch.Moments
	peersSilent atomic.Bool
	// asked names the VMs that were asked for orders.
	fetchedFrom      chan string
	orderChangeCalls atomic.Int64
	notices          chan *psfleet.Notice
	applied          chan platform.Servers
}

func (w *environment) OrderChanges(ctx context.Context, after psmoment.Moment, wait time.Duration) (platform.Orders, error) {
	w.orderChangeCalls.Add(1)
	sleep(ctx, wait)
	return platform.Orders{At: after}, nil
}

func (w *environment) Servers(context.Context) (platform.Servers, error) {
	w.fullReads.Add(1)
	return platform.Servers{At: psmoment.At(0, 10)}, nil
}

func (w *environment) ServerChanges(ctx context.Context, after psmoment.Moment, wait time.Duration) (platform.Servers, error) {
	w.changeCalls.Add(1)
	sleep(ctx, wait)
	return platform.Servers{At: after}, nil
}

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

func (*environment) ApplyOrders(platform.Orders, bool, bool) {}

func (w *environment) ApplyServers(s platform.Servers, whole, _ bool) {
	if !whole {
		w.applied <- s
	}
}

func (*environment) Orders(context.Context) (platform.Orders, error) {
	return platform.Orders{At: psmoment.At(0, 10)}, nil
}

func (w *environment) FetchOrders(_ context.Context, vm string, at psmoment.Moment) (psmoment.Moment, bool) {
	if w.peersSilent.Load() {
		return psmoment.Moment{}, false
	}
	w.fetchedFrom <- vm
	return at, true
}

func (w *environment) FetchTables(context.Context) (pswatch.Moments, bool) {
	return w.peerTables, w.peerTables != pswatch.Moments{}
}

func (w *environment) FleetSize() int { return w.fleet }

func (w *environment) IsRelay() bool { return !w.otherRelay.Load() }

func (w *environment) SendNotice(n *psfleet.Notice) { w.notices <- n }

func start(t *testing.T, vm string, fleet int) (*pswatch.Watcher, *environment) {
	t.Helper()
	return startWith(t, vm, fleet, pswatch.Moments{})
}

// startWith starts a follower to which another VM tells the tables.
func startWith(t *testing.T, vm string, fleet int, near pswatch.Moments) (*pswatch.Watcher, *environment) {
	t.Helper()
	w := &environment{fleet: fleet, peerTables: near, fetchedFrom: make(chan string, 1000), notices: make(chan *psfleet.Notice, 1000), applied: make(chan platform.Servers, 1000)}
	f := pswatch.New(pswatch.Options{Self: psfleet.Identity{VM: vm, Region: "north"}, Store: w, PeerSource: w, Sink: w, Peers: w, Logger: hclog.NewNullLogger(), Now: time.Now})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return f, w
}

func newNotice(from, to int64, id string) *psfleet.Notice {
	return &psfleet.Notice{VM: "vm-1", Region: "north", Servers: &psfleet.ServerChanges{From: psmoment.At(0, from), Before: psmoment.At(0, from), To: psmoment.At(0, to), Entries: []psserver.Entry{{ID: id}}}}
}

// await returns what was taken with an entry.
func awaitApplied(t *testing.T, w *environment) platform.Servers {
	t.Helper()
	for {
		select {
		case s := <-w.applied:
			if len(s.Entries) > 0 {
				return s
			}
		case <-time.After(5 * time.Second):
			t.Fatal("nothing was taken")
		}
	}
}

// feed repeats a notice, as the reading VM's do each half second.
func repeatNotice(t *testing.T, f *pswatch.Watcher, n *psfleet.Notice) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() {
		for ctx.Err() == nil {
			f.HandleNotice(n)
			time.Sleep(100 * time.Millisecond)
		}
	}()
}

func TestNoticesReplaceStoreCalls(t *testing.T) {
	f, w := start(t, "vm-2", 74)
	repeatNotice(t, f, newNotice(10, 12, "i-1"))
	qt.Assert(t, awaitApplied(t, w).Entries[0].ID, qt.Equals, "i-1")
	before := w.changeCalls.Load()
	time.Sleep(1200 * time.Millisecond)
	// One call may have been under way when the first notice came.
	qt.Assert(t, w.changeCalls.Load()-before <= 1, qt.IsTrue)
}

func TestGapInNoticesCausesStoreRead(t *testing.T) {
	f, w := start(t, "vm-2", 74)
	repeatNotice(t, f, newNotice(10, 12, "i-1"))
	awaitApplied(t, w)
	time.Sleep(700 * time.Millisecond)
	before := w.changeCalls.Load()
	f.HandleNotice(newNotice(15, 16, "i-2"))
	time.Sleep(500 * time.Millisecond)
	qt.Assert(t, w.changeCalls.Load() > before, qt.IsTrue)
}

func TestMissingNoticesCauseStoreReads(t *testing.T) {
	_, w := start(t, "vm-2", 74)
	time.Sleep(1500 * time.Millisecond)
	qt.Assert(t, w.changeCalls.Load() >= 2, qt.IsTrue)
	qt.Assert(t, len(w.notices) >= 2, qt.IsTrue)
}

// TestWhoMissesNoticesReadsWithoutTelling replays a VM that gets none of the notices of a VM that
// lives, because the network loses them.
func TestNonRelayReadsWithoutSendingNotices(t *testing.T) {
	_, w := start(t, "vm-2", 74)
	w.otherRelay.Store(true)
	time.Sleep(100 * time.Millisecond)
	before := len(w.notices)
	time.Sleep(1500 * time.Millisecond)
	qt.Assert(t, w.changeCalls.Load() >= 2, qt.IsTrue)
	// One may have been under way.
	qt.Assert(t, len(w.notices)-before <= 2, qt.IsTrue, qt.Commentf("%d notices", len(w.notices)-before))
}

func TestNoticesOfLaterVMsAndOtherRegionsAreIgnored(t *testing.T) {
	f, w := start(t, "vm-2", 74)
	for _, n := range []*psfleet.Notice{
		{VM: "vm-3", Region: "north", Servers: &psfleet.ServerChanges{From: psmoment.At(0, 10), To: psmoment.At(0, 12), Entries: []psserver.Entry{{ID: "i-1"}}}},
		{VM: "vm-1", Region: "south", Servers: &psfleet.ServerChanges{From: psmoment.At(0, 10), To: psmoment.At(0, 12), Entries: []psserver.Entry{{ID: "i-1"}}}},
	} {
		repeatNotice(t, f, n)
	}
	time.Sleep(1500 * time.Millisecond)
	qt.Assert(t, w.changeCalls.Load() >= 2, qt.IsTrue)
}

func TestSmallFleetHasNoRelay(t *testing.T) {
	_, w := start(t, "vm-1", 9)
	time.Sleep(300 * time.Millisecond)
	qt.Assert(t, w.notices, qt.HasLen, 0)
	qt.Assert(t, w.changeCalls.Load(), qt.Equals, int64(1))
}

// TestChangedOrdersComeFromTheTellingVM replays a change of the configuration in a large fleet, where
// each VM that read the store for it would cost a call.
func TestChangedOrdersAreFetchedFromRelay(t *testing.T) {
	f, w := startWith(t, "vm-2", 74, pswatch.Moments{Orders: psmoment.At(0, 10), Servers: psmoment.At(0, 10)})
	repeatNotice(t, f, newNotice(10, 12, "i-1"))
	repeatNotice(t, f, &psfleet.Notice{VM: "vm-1", Region: "north", Orders: psmoment.At(0, 15)})
	qt.Assert(t, <-w.fetchedFrom, qt.Equals, "vm-1")
	time.Sleep(500 * time.Millisecond)
	qt.Assert(t, w.fetchedFrom, qt.HasLen, 0)
	qt.Assert(t, w.orderChangeCalls.Load(), qt.Equals, int64(0))
}

func TestOrdersAreReadFromStoreWhenPeersAreSilent(t *testing.T) {
	f, w := startWith(t, "vm-2", 74, pswatch.Moments{Orders: psmoment.At(0, 10), Servers: psmoment.At(0, 10)})
	w.peersSilent.Store(true)
	repeatNotice(t, f, &psfleet.Notice{VM: "vm-1", Region: "north", Orders: psmoment.At(0, 15)})
	for begun := time.Now(); w.orderChangeCalls.Load() == 0; time.Sleep(10 * time.Millisecond) {
		qt.Assert(t, time.Since(begun) < 5*time.Second, qt.IsTrue)
	}
}

func TestTablesFromPeerAreNotReadFromStore(t *testing.T) {
	f, w := startWith(t, "vm-2", 74, pswatch.Moments{Orders: psmoment.At(0, 10), Servers: psmoment.At(0, 10)})
	repeatNotice(t, f, newNotice(10, 12, "i-1"))
	awaitApplied(t, w)
	qt.Assert(t, f.Lost(), qt.IsFalse)
	qt.Assert(t, w.fullReads.Load(), qt.Equals, int64(0))
	qt.Assert(t, w.changeCalls.Load(), qt.Equals, int64(0))
}

// TestALostNoticeWithoutChangesCostsNoCall replays a store whose version grows with each
// transaction of anybody, and a network that loses notices.
func TestLostNoticeWithoutChangesCausesNoStoreCall(t *testing.T) {
	f, w := startWith(t, "vm-2", 74, pswatch.Moments{Orders: psmoment.At(0, 10), Servers: psmoment.At(0, 10)})
	n := newNotice(20, 22, "i-1")
	n.Servers.Before = psmoment.At(0, 9)
	repeatNotice(t, f, n)
	qt.Assert(t, awaitApplied(t, w).Entries[0].ID, qt.Equals, "i-1")
	qt.Assert(t, w.changeCalls.Load(), qt.Equals, int64(0))
}

// TestTheVMWithTheLargestLinkTells replays two VMs that both tell.
func TestNoticeOfVMWithLargerLinkIsAccepted(t *testing.T) {
	f, w := startWith(t, "vm-1", 74, pswatch.Moments{Orders: psmoment.At(0, 10), Servers: psmoment.At(0, 10)})
	n := newNotice(10, 12, "i-1")
	n.VM, n.Link = "vm-9", 200
	repeatNotice(t, f, n)
	qt.Assert(t, awaitApplied(t, w).Entries[0].ID, qt.Equals, "i-1")
}
