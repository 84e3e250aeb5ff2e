package pswatch_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/process/pswatch"
	"persimmonstep/internal/version/psrevision"
	"persimmonstep/platform"
)

// environment is a store that never changes, a sink and the other VMs of a region.
type environment struct {
	fleet int
	// otherRelay states that another VM is the relay of the region.
	otherRelay  atomic.Bool
	fullReads   atomic.Int64
	changeCalls atomic.Int64
	// peerTables are the tables that another VM serves at the start. peersSilent states that no VM
	// answers requests for the desired state.
	peerTables  pswatch.Revisions
	peersSilent atomic.Bool
	// fetchedFrom receives the name of each VM from which the desired state was fetched.
	fetchedFrom      chan string
	orderChangeCalls atomic.Int64
	notices          chan *psmessage.Notice
	applied          chan platform.Servers
}

func (e *environment) DesiredStateChanges(ctx context.Context, after psrevision.Revision, wait time.Duration) (platform.DesiredState, error) {
	e.orderChangeCalls.Add(1)
	sleep(ctx, wait)
	return platform.DesiredState{Revision: after}, nil
}

func (e *environment) Servers(context.Context) (platform.Servers, error) {
	e.fullReads.Add(1)
	return platform.Servers{Revision: psrevision.New(0, 10)}, nil
}

func (e *environment) ServerChanges(ctx context.Context, after psrevision.Revision, wait time.Duration) (platform.Servers, error) {
	e.changeCalls.Add(1)
	sleep(ctx, wait)
	return platform.Servers{Revision: after}, nil
}

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

func (*environment) ApplyDesiredState(platform.DesiredState, bool, bool) {}

func (e *environment) ApplyServers(s platform.Servers, full, _ bool) {
	if !full {
		e.applied <- s
	}
}

func (*environment) DesiredState(context.Context) (platform.DesiredState, error) {
	return platform.DesiredState{Revision: psrevision.New(0, 10)}, nil
}

func (e *environment) FetchDesiredState(_ context.Context, vm string, wanted psrevision.Revision) (psrevision.Revision, bool) {
	if e.peersSilent.Load() {
		return psrevision.Revision{}, false
	}
	e.fetchedFrom <- vm
	return wanted, true
}

func (e *environment) FetchTables(context.Context) (pswatch.Revisions, bool) {
	return e.peerTables, e.peerTables != pswatch.Revisions{}
}

func (e *environment) FleetSize() int { return e.fleet }

func (e *environment) IsRelay() bool { return !e.otherRelay.Load() }

func (e *environment) SendNotice(n *psmessage.Notice) { e.notices <- n }

func start(t *testing.T, vm string, fleet int) (*pswatch.Watcher, *environment) {
	t.Helper()
	return startWith(t, vm, fleet, pswatch.Revisions{})
}

// startWith starts a watcher that gets its tables from another VM.
func startWith(t *testing.T, vm string, fleet int, peerTables pswatch.Revisions) (*pswatch.Watcher, *environment) {
	t.Helper()
	e := &environment{
		fleet: fleet, peerTables: peerTables, fetchedFrom: make(chan string, 1000),
		notices: make(chan *psmessage.Notice, 1000), applied: make(chan platform.Servers, 1000),
	}
	w := startWatcher(t, pswatch.Options{
		Self:  psmessage.Identity{VM: vm, Region: "north"},
		Store: e, PeerSource: e, Sink: e, Peers: e,
	})
	return w, e
}

func newNotice(from, to int64, id string) *psmessage.Notice {
	return &psmessage.Notice{VM: "vm-1", Region: "north", Servers: &psmessage.ServerChanges{
		From: psrevision.New(0, from), Before: psrevision.New(0, from), To: psrevision.New(0, to),
		Entries: []psserver.Entry{{ID: id}},
	}}
}

// awaitApplied returns the first applied changes that contain an entry.
func awaitApplied(t *testing.T, e *environment) platform.Servers {
	t.Helper()
	for {
		select {
		case s := <-e.applied:
			if len(s.Entries) > 0 {
				return s
			}
		case <-time.After(5 * time.Second):
			t.Fatal("no changes with an entry were applied within 5 s")
		}
	}
}

// repeatNotice sends a notice again and again, as the relay sends notices every half second.
func repeatNotice(t *testing.T, w *pswatch.Watcher, n *psmessage.Notice) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() {
		for ctx.Err() == nil {
			w.HandleNotice(n)
			time.Sleep(100 * time.Millisecond)
		}
	}()
}

func TestNoticesReplaceStoreCalls(t *testing.T) {
	w, e := start(t, "vm-2", 74)
	repeatNotice(t, w, newNotice(10, 12, "i-1"))
	qt.Assert(t, awaitApplied(t, e).Entries[0].ID, qt.Equals, "i-1")
	before := e.changeCalls.Load()
	time.Sleep(1200 * time.Millisecond)
	// One call may have been in progress when the first notice arrived.
	qt.Assert(t, e.changeCalls.Load()-before <= 1, qt.IsTrue)
}

func TestGapInNoticesCausesStoreRead(t *testing.T) {
	w, e := start(t, "vm-2", 74)
	repeatNotice(t, w, newNotice(10, 12, "i-1"))
	awaitApplied(t, e)
	time.Sleep(700 * time.Millisecond)
	before := e.changeCalls.Load()
	w.HandleNotice(newNotice(15, 16, "i-2"))
	time.Sleep(500 * time.Millisecond)
	qt.Assert(t, e.changeCalls.Load() > before, qt.IsTrue)
}

func TestMissingNoticesCauseStoreReads(t *testing.T) {
	_, e := start(t, "vm-2", 74)
	time.Sleep(1500 * time.Millisecond)
	qt.Assert(t, e.changeCalls.Load() >= 2, qt.IsTrue)
	qt.Assert(t, len(e.notices) >= 2, qt.IsTrue)
}

// TestNonRelayReadsWithoutSendingNotices covers a VM that receives none of the notices of a live
// relay, because the network loses them.
func TestNonRelayReadsWithoutSendingNotices(t *testing.T) {
	_, e := start(t, "vm-2", 74)
	e.otherRelay.Store(true)
	time.Sleep(100 * time.Millisecond)
	before := len(e.notices)
	time.Sleep(1500 * time.Millisecond)
	qt.Assert(t, e.changeCalls.Load() >= 2, qt.IsTrue)
	// One notice may have been in progress.
	qt.Assert(t, len(e.notices)-before <= 2, qt.IsTrue, qt.Commentf("%d notices", len(e.notices)-before))
}

func TestNoticesOfLaterVMsAndOtherRegionsAreIgnored(t *testing.T) {
	w, e := start(t, "vm-2", 74)
	for _, n := range []*psmessage.Notice{
		{VM: "vm-3", Region: "north", Servers: &psmessage.ServerChanges{From: psrevision.New(0, 10), To: psrevision.New(0, 12), Entries: []psserver.Entry{{ID: "i-1"}}}},
		{VM: "vm-1", Region: "south", Servers: &psmessage.ServerChanges{From: psrevision.New(0, 10), To: psrevision.New(0, 12), Entries: []psserver.Entry{{ID: "i-1"}}}},
	} {
		repeatNotice(t, w, n)
	}
	time.Sleep(1500 * time.Millisecond)
	qt.Assert(t, e.changeCalls.Load() >= 2, qt.IsTrue)
}

func TestSmallFleetHasNoRelay(t *testing.T) {
	_, e := start(t, "vm-1", 9)
	time.Sleep(300 * time.Millisecond)
	qt.Assert(t, e.notices, qt.HasLen, 0)
	qt.Assert(t, e.changeCalls.Load(), qt.Equals, int64(1))
}

// TestChangedDesiredStateIsFetchedFromRelay covers a change of the configuration in a large fleet, where a
// read of the store by each VM would cost one call per VM.
func TestChangedDesiredStateIsFetchedFromRelay(t *testing.T) {
	w, e := startWith(t, "vm-2", 74, pswatch.Revisions{DesiredState: psrevision.New(0, 10), Servers: psrevision.New(0, 10)})
	repeatNotice(t, w, newNotice(10, 12, "i-1"))
	repeatNotice(t, w, &psmessage.Notice{VM: "vm-1", Region: "north", DesiredStateRevision: psrevision.New(0, 15)})
	qt.Assert(t, <-e.fetchedFrom, qt.Equals, "vm-1")
	time.Sleep(500 * time.Millisecond)
	qt.Assert(t, e.fetchedFrom, qt.HasLen, 0)
	qt.Assert(t, e.orderChangeCalls.Load(), qt.Equals, int64(0))
}

func TestDesiredStateIsReadFromStoreWhenPeersAreSilent(t *testing.T) {
	w, e := startWith(t, "vm-2", 74, pswatch.Revisions{DesiredState: psrevision.New(0, 10), Servers: psrevision.New(0, 10)})
	e.peersSilent.Store(true)
	repeatNotice(t, w, &psmessage.Notice{VM: "vm-1", Region: "north", DesiredStateRevision: psrevision.New(0, 15)})
	for startedAt := time.Now(); e.orderChangeCalls.Load() == 0; time.Sleep(10 * time.Millisecond) {
		qt.Assert(t, time.Since(startedAt) < 5*time.Second, qt.IsTrue)
	}
}

func TestTablesFromPeerAreNotReadFromStore(t *testing.T) {
	w, e := startWith(t, "vm-2", 74, pswatch.Revisions{DesiredState: psrevision.New(0, 10), Servers: psrevision.New(0, 10)})
	repeatNotice(t, w, newNotice(10, 12, "i-1"))
	awaitApplied(t, e)
	qt.Assert(t, w.Lost(), qt.IsFalse)
	qt.Assert(t, e.fullReads.Load(), qt.Equals, int64(0))
	qt.Assert(t, e.changeCalls.Load(), qt.Equals, int64(0))
}

// TestLostNoticeWithoutChangesCausesNoStoreCall covers a store whose version increases with every
// transaction of any client, and a network that loses notices.
func TestLostNoticeWithoutChangesCausesNoStoreCall(t *testing.T) {
	w, e := startWith(t, "vm-2", 74, pswatch.Revisions{DesiredState: psrevision.New(0, 10), Servers: psrevision.New(0, 10)})
	n := newNotice(20, 22, "i-1")
	n.Servers.Before = psrevision.New(0, 9)
	repeatNotice(t, w, n)
	qt.Assert(t, awaitApplied(t, e).Entries[0].ID, qt.Equals, "i-1")
	qt.Assert(t, e.changeCalls.Load(), qt.Equals, int64(0))
}

// TestNoticeOfVMWithLargerLinkIsAccepted covers two VMs that both act as the relay.
func TestNoticeOfVMWithLargerLinkIsAccepted(t *testing.T) {
	w, e := startWith(t, "vm-1", 74, pswatch.Revisions{DesiredState: psrevision.New(0, 10), Servers: psrevision.New(0, 10)})
	n := newNotice(10, 12, "i-1")
	n.VM, n.Link = "vm-9", 200
	repeatNotice(t, w, n)
	qt.Assert(t, awaitApplied(t, e).Entries[0].ID, qt.Equals, "i-1")
}

// TestNewRelayClaimsNothingWasMissed covers a VM that has learned of changes through notices and becomes the relay. Its
// own notices must tell VMs that have missed those changes to read them.
func TestNewRelayClaimsNothingWasMissed(t *testing.T) {
	w, e := startWith(t, "vm-2", 74, pswatch.Revisions{DesiredState: psrevision.New(0, 10), Servers: psrevision.New(0, 10)})
	w.HandleNotice(newNotice(10, 12, "i-1"))
	w.HandleNotice(&psmessage.Notice{VM: "vm-1", Region: "north", DesiredStateRevision: psrevision.New(0, 15)})
	awaitApplied(t, e)
	<-e.fetchedFrom
	servers, desiredState := false, false
	for !servers || !desiredState {
		select {
		case n := <-e.notices:
			if n.Servers != nil {
				servers = true
				qt.Assert(t, n.Servers.Before, qt.Equals, psrevision.New(0, 12))
				continue
			}
			desiredState = true
			qt.Assert(t, n.DesiredStateRevision, qt.Equals, psrevision.New(0, 15))
		case <-time.After(8 * time.Second):
			t.Fatal("the VM sent no notices within 8 s")
		}
	}
}
