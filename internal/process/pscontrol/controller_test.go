package pscontrol_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"persimmonstep/internal/process/pscontrol"
	"persimmonstep/internal/process/pslink"
	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/psnode"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/process/pssnapshot"
	"persimmonstep/internal/request/psusage"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/internal/version/psrevision"
	"persimmonstep/platform"
	"persimmonstep/platform/psheader"
)

// store is an in-memory store that also stands in for the other dependencies of a controller. Each set wakes
// the callers that wait for changes.
type store struct {
	mutex        sync.Mutex
	desiredState platform.DesiredState
	servers      platform.Servers
	version      int64
	era          int64
	unavailable  bool
	changed      chan struct{}
	// readDelay is how long a full read takes.
	readDelay time.Duration
	// vms is the number of other published VMs, and peerState the state that they return; if it is nil, a
	// default state with no revisions.
	vms       int
	peerState *psmessage.ControlState
	// otherDomains is the number of failure domains of the published VMs, without that of the VM under test; if it is
	// 0, they are in the same one.
	otherDomains int
	// fullReads counts full reads of a table.
	fullReads int
	// fetches lists the VMs from which state was fetched, each with the tag that was known.
	fetches []string
}

var errUnavailable = errors.New("read the store: unavailable")

func newStore() *store {
	return &store{changed: make(chan struct{}), version: 1}
}

func (s *store) set(change func(s *store)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	change(s)
	s.desiredState.Revision, s.servers.Revision = psrevision.New(s.era, s.version), psrevision.New(s.era, s.version)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) read() (platform.DesiredState, platform.Servers, error) {
	time.Sleep(s.readDelay)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fullReads++
	if s.unavailable {
		return platform.DesiredState{}, platform.Servers{}, errUnavailable
	}
	return s.desiredState, s.servers, nil
}

func (s *store) DesiredState(context.Context) (platform.DesiredState, error) {
	state, _, err := s.read()
	return state, err
}

func (s *store) Servers(context.Context) (platform.Servers, error) {
	_, v, err := s.read()
	return v, err
}

// wait waits for a change. It then fails as after a gap in the history, so that the table is read in full.
func (s *store) wait(ctx context.Context) error {
	s.mutex.Lock()
	changed := s.changed
	s.mutex.Unlock()
	select {
	case <-changed:
	case <-ctx.Done():
	}
	return &platform.StoreError{Failure: platform.HistoryGone, Status: 410}
}

func (s *store) DesiredStateChanges(ctx context.Context, _ psrevision.Revision, _ time.Duration) (platform.DesiredState, error) {
	return platform.DesiredState{}, s.wait(ctx)
}

func (s *store) ServerChanges(ctx context.Context, _ psrevision.Revision, _ time.Duration) (platform.Servers, error) {
	return platform.Servers{}, s.wait(ctx)
}

func (s *store) VMs(context.Context) (platform.VMs, error) {
	v := platform.VMs{Rows: map[string][]byte{}}
	for i := range s.vms {
		a := netip.MustParseAddrPort("127.0.0.1:2")
		name := fmt.Sprintf("vm-0-%02d", i)
		domain := "north-a"
		if s.otherDomains > 0 {
			domain = fmt.Sprint("other-", i%s.otherDomains)
		}
		data, err := json.Marshal(psmessage.Identity{VM: name, FailureDomain: domain, Region: "north", CallerAddress: a, PeerAddress: a, Link: float64(1000 - i)})
		if err != nil {
			return v, err
		}
		v.Rows[name] = data
	}
	return v, nil
}

func (*store) VMChanges(context.Context, psrevision.Revision) (platform.VMs, error) {
	return platform.VMs{}, nil
}
func (*store) PublishVM(context.Context, string, []byte) error      { return nil }
func (*store) Report(*psmessage.Report, []psmessage.Identity) error { return nil }

func (*store) Notice(*psmessage.Notice, []psmessage.Identity) error { return nil }

func (*store) Digest(*psmessage.Digest, []psmessage.Identity) error                   { return nil }
func (*store) Demands(time.Time) map[string]float64                                   { return nil }
func (*store) Update(*pssnapshot.Snapshot)                                            {}
func (*store) TakeProbe(context.Context, *pssnapshot.Snapshot, *psserver.Server) bool { return true }
func (*store) Crashes(time.Time) map[uint64]int                                       { return nil }
func (*store) RecordPeerCrashes(string, map[uint64]int, time.Time)                    {}

func (*store) ForgetSuspected() {}
func (*store) Probe(context.Context, psserver.Entry, string) (psheader.Health, error) {
	return psheader.Health{Healthy: true, Server: "i-1", ColdFor: time.Minute}, nil
}

// Fetch returns the state of a VM that reads the store.
func (s *store) Fetch(_ context.Context, vm psmessage.Identity, known string) (psmessage.StateResponse, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.fetches = append(s.fetches, vm.VM+" "+known)
	if s.peerState != nil {
		return psmessage.StateResponse{State: *s.peerState, ETag: "mark"}, nil
	}
	if known == "mark" {
		return psmessage.StateResponse{ETag: known, Unchanged: true}, nil
	}
	return psmessage.StateResponse{
		State: psmessage.ControlState{Configuration: configuration(4), Evacuated: []string{"south-a"}, Servers: []psserver.Entry{entry("i-7")}, Age: peerStateAge},
		ETag:  "mark",
	}, nil
}

// FetchDesiredState returns the same state without the servers.
func (s *store) FetchDesiredState(ctx context.Context, vm psmessage.Identity) (psmessage.ControlState, error) {
	response, err := s.Fetch(ctx, vm, "")
	response.State.Servers = nil
	return response.State, err
}

// peerStateAge is the age of the other VM's default state.
const peerStateAge = 3 * time.Second

func startController(t *testing.T, s *store) *pscontrol.Controller {
	t.Helper()
	return start(t, pscontrol.Options{Store: s, Prober: s, Fetcher: s, Peers: s, Tokens: s, Crashes: s, Usage: &psusage.Usage{}})
}

// start starts the controller of a VM in the failure domain north-a with the given dependencies.
func start(t *testing.T, o pscontrol.Options) *pscontrol.Controller {
	t.Helper()
	a := netip.MustParseAddrPort("127.0.0.1:1")
	o.Settings = &psnode.Settings{Regions: map[string]string{"north-a": "north"}}
	o.Identity = psmessage.Identity{VM: "vm-1", FailureDomain: "north-a", Region: "north", CallerAddress: a, PeerAddress: a}
	o.Logger, o.Now, o.SinceBoot = hclog.NewNullLogger(), time.Now, func() time.Duration { return 0 }
	if o.Links == nil {
		o.Links = pslink.New(nil, o.Logger, o.Now)
	}
	c := pscontrol.New(o)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go c.Run(ctx)
	return c
}

// eventually waits until a condition holds, and fails the test after eight seconds.
func eventually(t *testing.T, expected string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("timed out waiting for: %s", expected)
}

func configuration(version int64) *psconfig.Configuration {
	return &psconfig.Configuration{Version: version, Services: []psconfig.Service{{Name: "prices", ColdStart: time.Minute, ColdPerSecond: 5}}}
}

func entry(id string) psserver.Entry {
	return psserver.Entry{ID: id, Service: "prices", FailureDomain: "north-a", Slots: 4, Address: netip.MustParseAddrPort("127.0.0.9:80")}
}

func version(c *pscontrol.Controller) int64 {
	if x := c.Snapshot().Index; x != nil {
		return x.Configuration.Version
	}
	return 0
}

func TestConfigurationVersionNeverDecreases(t *testing.T) {
	s := newStore()
	c := startController(t, s)
	s.set(func(s *store) { s.desiredState.Configuration = configuration(7) })
	eventually(t, "version 7", func() bool { return version(c) == 7 })
	s.set(func(s *store) { s.desiredState.Configuration = configuration(5) })
	faulty := configuration(8)
	faulty.Routes = []psconfig.Route{{Name: "without anything"}}
	s.set(func(s *store) { s.desiredState.Configuration = faulty })
	s.set(func(s *store) {
		s.desiredState.Configuration = nil
		s.desiredState.Evacuated = []string{"north-a"}
	})
	eventually(t, "the evacuation", func() bool { return c.Snapshot().Evacuated["north-a"] })
	qt.Assert(t, version(c), qt.Equals, int64(7))
	s.set(func(s *store) { s.desiredState.Configuration = configuration(9) })
	eventually(t, "version 9", func() bool { return version(c) == 9 })
}

func serverCount(c *pscontrol.Controller) int { return len(c.Snapshot().Servers["prices"]) }

func TestUnregisteredServersAreRemoved(t *testing.T) {
	s := newStore()
	c := startController(t, s)
	s.set(func(s *store) { s.servers.Entries = []psserver.Entry{entry("i-1"), entry("i-2")} })
	eventually(t, "two servers", func() bool { return serverCount(c) == 2 })
	s.set(func(s *store) { s.servers.Entries = []psserver.Entry{entry("i-1")} })
	eventually(t, "one server", func() bool { return serverCount(c) == 1 })
}

// TestEntriesExpiredInStoreOutageAreKeptTemporarily expires the entries of two servers during a store outage.
// After the outage the missing entries must be kept for the time that servers need to write them again, and
// not for longer.
func TestEntriesExpiredInStoreOutageAreKeptTemporarily(t *testing.T) {
	s := newStore()
	c := startController(t, s)
	s.set(func(s *store) { s.servers.Entries = []psserver.Entry{entry("i-1"), entry("i-2")} })
	eventually(t, "two servers", func() bool { return serverCount(c) == 2 })
	s.set(func(s *store) { s.unavailable = true })
	time.Sleep(300 * time.Millisecond)
	s.set(func(s *store) {
		s.unavailable = false
		s.servers.Entries = nil
	})
	time.Sleep(1200 * time.Millisecond)
	qt.Assert(t, serverCount(c), qt.Equals, 2)
	s.set(func(s *store) { s.servers.Entries = []psserver.Entry{entry("i-1")} })
	eventually(t, "removal of the entry that is still missing", func() bool { return serverCount(c) == 1 })
}

// TestMissingEntriesAreRemovedWithinTheBound partitions a VM from the store while a server leaves. Three seconds
// after the partition ends the server must get no more requests. The bound of the test is shorter by the time of
// one connection attempt and by a margin for a request that is in flight.
func TestMissingEntriesAreRemovedWithinTheBound(t *testing.T) {
	const bound = 2500 * time.Millisecond
	s := newStore()
	c := startController(t, s)
	s.set(func(s *store) { s.servers.Entries = []psserver.Entry{entry("i-1"), entry("i-2")} })
	eventually(t, "two servers", func() bool { return serverCount(c) == 2 })
	s.set(func(s *store) { s.unavailable = true })
	time.Sleep(1500 * time.Millisecond)
	s.set(func(s *store) {
		s.unavailable = false
		s.servers.Entries = []psserver.Entry{entry("i-1")}
	})
	reachableAt := time.Now()
	eventually(t, "removal of the server", func() bool { return serverCount(c) == 1 })
	qt.Assert(t, time.Since(reachableAt) < bound, qt.IsTrue, qt.Commentf("%s", time.Since(reachableAt)))
}

func TestServersReturnColdAfterEvacuation(t *testing.T) {
	s := newStore()
	c := startController(t, s)
	s.set(func(s *store) {
		s.desiredState.Configuration = configuration(1)
		s.servers.Entries = []psserver.Entry{entry("i-1")}
		s.desiredState.Evacuated = []string{"north-a"}
	})
	eventually(t, "the evacuation", func() bool { return c.Snapshot().Evacuated["north-a"] && serverCount(c) == 1 })
	s.set(func(s *store) { s.desiredState.Evacuated = nil })
	eventually(t, "a cold server", func() bool {
		list := c.Snapshot().Servers["prices"]
		return !c.Snapshot().Evacuated["north-a"] && len(list) == 1 && list[0].View(time.Now()).Cold
	})
}

func TestDirectoryListsLiveVMs(t *testing.T) {
	s := newStore()
	c := startController(t, s)
	a := netip.MustParseAddrPort("127.0.0.1:2")
	r := &psmessage.Report{Identity: psmessage.Identity{VM: "vm-2", FailureDomain: "north-a", Region: "north", CallerAddress: a, PeerAddress: a}, Sequence: 1, Ready: true}
	c.ReceiveReport(r)
	eventually(t, "two VMs", func() bool { return len(c.Snapshot().VMs) == 2 })
	eventually(t, "removal of the silent VM", func() bool { return len(c.Snapshot().VMs) == 1 })
	c.Leave()
	eventually(t, "removal of the leaving VM", func() bool { return len(c.Snapshot().VMs) == 0 })
	qt.Assert(t, c.Ready(), qt.IsFalse)
}

// TestStateIsFetchedFromPeerDuringStoreOutage starts a VM while its store calls fail. It must take the state
// of a VM that reads the store, fetch with the tag that it knows, and return to the store afterwards.
func TestStateIsFetchedFromPeerDuringStoreOutage(t *testing.T) {
	s := newStore()
	s.set(func(s *store) { s.unavailable = true })
	c := startController(t, s)
	time.Sleep(time.Second)
	qt.Assert(t, c.Ready(), qt.IsFalse)
	a := netip.MustParseAddrPort("127.0.0.1:2")
	r := &psmessage.Report{Identity: psmessage.Identity{VM: "vm-2", FailureDomain: "north-a", Region: "north", CallerAddress: a, PeerAddress: a}, Sequence: 1, ReadsStore: true}
	c.ReceiveReport(r)
	eventually(t, "the other VM's state", func() bool {
		return c.Ready() && version(c) == 4 && serverCount(c) == 1 && c.Snapshot().Evacuated["south-a"]
	})
	qt.Assert(t, time.Since(c.Snapshot().ServersReadAt) >= peerStateAge, qt.IsTrue)
	c.ReceiveReport(&psmessage.Report{Identity: r.Identity, Sequence: 2, ReadsStore: true})
	eventually(t, "a fetch with the known tag", func() bool {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return slices.Contains(s.fetches, "vm-2 mark")
	})
	s.set(func(s *store) {
		s.unavailable = false
		s.desiredState.Configuration = configuration(5)
		s.servers.Entries = []psserver.Entry{entry("i-1"), entry("i-2")}
	})
	eventually(t, "the store's state", func() bool { return version(c) == 5 && serverCount(c) == 2 && !c.Snapshot().Evacuated["south-a"] })
}

// TestOlderStateOfPeerRevivesServer guards against requests to a server that has left. A VM that knows of the removal
// loses the store and fetches the state of a VM that does not know of it yet.
func TestOlderStateOfPeerRevivesServer(t *testing.T) {
	s := newStore()
	c := startController(t, s)
	s.set(func(s *store) {
		s.desiredState.Configuration = configuration(4)
		s.servers.Entries = []psserver.Entry{entry("i-1"), entry("i-2")}
	})
	eventually(t, "two servers", func() bool { return serverCount(c) == 2 })
	before := psrevision.New(s.era, s.version)
	s.set(func(s *store) { s.servers.Entries = []psserver.Entry{entry("i-1")} })
	eventually(t, "one server", func() bool { return serverCount(c) == 1 })
	s.set(func(s *store) {
		s.unavailable = true
		s.peerState = &psmessage.ControlState{
			Configuration: configuration(4), Servers: []psserver.Entry{entry("i-1"), entry("i-2")},
			DesiredStateRevision: before, ServersRevision: before, ReadsStore: true,
		}
	})
	a := netip.MustParseAddrPort("127.0.0.1:2")
	c.ReceiveReport(&psmessage.Report{
		Identity: psmessage.Identity{VM: "vm-2", FailureDomain: "north-a", Region: "north", CallerAddress: a, PeerAddress: a}, Sequence: 1, ReadsStore: true,
	})
	eventually(t, "a fetch", func() bool {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return len(s.fetches) > 0
	})
	time.Sleep(100 * time.Millisecond)
	qt.Assert(t, serverCount(c), qt.Equals, 1)
}

// TestSlowStoreReadDoesNotTriggerPeerFetch starts a VM behind a slow link, over which reading the table of a
// large fleet takes seconds. Fetching the state of other VMs as well would compete for the same link.
func TestSlowStoreReadDoesNotTriggerPeerFetch(t *testing.T) {
	s := newStore()
	s.readDelay = 2 * time.Second
	c := startController(t, s)
	a := netip.MustParseAddrPort("127.0.0.1:2")
	c.ReceiveReport(&psmessage.Report{Identity: psmessage.Identity{VM: "vm-2", FailureDomain: "north-a", Region: "north", CallerAddress: a, PeerAddress: a}, Sequence: 1, ReadsStore: true})
	time.Sleep(1800 * time.Millisecond)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	qt.Assert(t, s.fetches, qt.HasLen, 0)
}

// TestReportsOfServersAreApplied receives a report of a slow server and of leaving servers. A report about an
// earlier run of a server must not affect the current run.
func TestReportsOfServersAreApplied(t *testing.T) {
	s := newStore()
	c := startController(t, s)
	s.set(func(s *store) { s.servers.Entries = []psserver.Entry{entry("i-1"), entry("i-2"), entry("i-3")} })
	eventually(t, "three servers", func() bool { return serverCount(c) == 3 })
	now := time.Now()
	server := func(id string) *psserver.Server {
		i := slices.IndexFunc(c.Snapshot().Servers["prices"], func(v *psserver.Server) bool { return v.Entry().ID == id })
		return c.Snapshot().Servers["prices"][i]
	}
	a := netip.MustParseAddrPort("127.0.0.1:2")
	c.ReceiveReport(&psmessage.Report{
		Identity: psmessage.Identity{VM: "vm-2", FailureDomain: "north-a", Region: "north", CallerAddress: a, PeerAddress: a, Incarnation: 1}, Sequence: 1,
		Slow:    map[string]float64{"i-1": 3},
		Leaving: []psserver.Run{server("i-2").Entry().Run(), {ID: "i-3", Incarnation: 77}},
	})
	eventually(t, "the leaving server", func() bool { return server("i-2").Leaving() })
	qt.Assert(t, server("i-1").View(now).Lag > 2.5, qt.IsTrue)
	qt.Assert(t, server("i-3").Leaving(), qt.IsFalse)
}

// TestOneVMOfARegionRelaysStoreChanges receives reports of VMs that come before this one in the region's order
// and then fall silent. While such a VM is live it relays in place of this one.
func TestOneVMOfARegionRelaysStoreChanges(t *testing.T) {
	s := newStore()
	c := startController(t, s)
	qt.Assert(t, c.IsRelay(), qt.IsTrue)
	a := netip.MustParseAddrPort("127.0.0.1:2")
	report := func(vm, region string) {
		c.ReceiveReport(&psmessage.Report{Identity: psmessage.Identity{VM: vm, FailureDomain: region + "-a", Region: region, CallerAddress: a, PeerAddress: a}, Sequence: 1, ReadsStore: true})
	}
	report("vm-2", "north")
	report("vm-0", "south")
	time.Sleep(400 * time.Millisecond)
	qt.Assert(t, c.IsRelay(), qt.IsTrue)
	report("vm-0b", "north")
	eventually(t, "relaying by the earlier VM", func() bool { return !c.IsRelay() })
	eventually(t, "relaying by this VM after the other's silence", func() bool { return c.IsRelay() })
}

// TestStartInLargeFleetBootstrapsFromPeer starts a VM in a large fleet. Hundreds of VMs that start together
// would overload the store with full reads, so this VM must fetch the tables from the first VM of its failure
// domain and read none itself.
func TestStartInLargeFleetBootstrapsFromPeer(t *testing.T) {
	s := newStore()
	s.vms = 30
	s.peerState = &psmessage.ControlState{
		Configuration: configuration(4), Servers: []psserver.Entry{entry("i-7")}, Evacuated: []string{"south-a"},
		DesiredStateRevision: psrevision.New(0, 3), ServersRevision: psrevision.New(0, 9), ReadsStore: true, Age: 100 * time.Millisecond,
	}
	c := startController(t, s)
	eventually(t, "the first VM's state", func() bool {
		return c.Ready() && version(c) == 4 && serverCount(c) == 1 && c.Snapshot().Evacuated["south-a"]
	})
	s.mutex.Lock()
	defer s.mutex.Unlock()
	qt.Assert(t, s.fullReads, qt.Equals, 0)
	qt.Assert(t, s.fetches[0], qt.Equals, "vm-0-00 ")
	qt.Assert(t, c.StoreLost(), qt.IsFalse)
}

// TestStalePeerStateIsNotUsedAtStart offers the state of a VM that has not read the store for five seconds.
// The starting VM must read the store instead.
func TestStalePeerStateIsNotUsedAtStart(t *testing.T) {
	s := newStore()
	s.vms = 30
	s.peerState = &psmessage.ControlState{Configuration: configuration(4), DesiredStateRevision: psrevision.New(0, 3), ServersRevision: psrevision.New(0, 9), ReadsStore: true, Age: 5 * time.Second}
	s.set(func(s *store) {
		s.desiredState.Configuration = configuration(5)
		s.servers.Entries = []psserver.Entry{entry("i-1")}
	})
	c := startController(t, s)
	eventually(t, "the store's state", func() bool { return c.Ready() && version(c) == 5 })
}
