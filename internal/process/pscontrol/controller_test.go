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
	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/psnode"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/internal/version/psmoment"
	"persimmonstep/platform"
)

// store is a store whose tables a test sets. Each set wakes those that wait for changes.
type store struct {
	mutex   sync.Mutex
	orders  platform.Orders
	servers platform.Servers
	version int64
	era     int64
	away    bool
	changed chan struct{}
	// slow is how long a whole reading takes.
	slow time.Duration
	// vms is the number of other VMs that are published, and near what the first of them believes.
	vms  int
	near *psfleet.Beliefs
	// readings counts whole readings of a table.
	readings int
	// asked lists which VM was asked, and what was known of its beliefs.
	asked []string
}

var errAway = errors.New("the store is away")

func newStore() *store {
	return &store{changed: make(chan struct{}), version: 1}
}

func (s *store) set(change func(s *store)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	change(s)
	s.orders.At, s.servers.At = psmoment.At(s.era, s.version), psmoment.At(s.era, s.version)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) read() (platform.Orders, platform.Servers, error) {
	time.Sleep(s.slow)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.readings++
	if s.away {
		return platform.Orders{}, platform.Servers{}, errAway
	}
	return s.orders, s.servers, nil
}

func (s *store) Orders(context.Context) (platform.Orders, error) {
	o, _, err := s.read()
	return o, err
}

func (s *store) Servers(context.Context) (platform.Servers, error) {
	_, v, err := s.read()
	return v, err
}

// wait waits for a change. What follows is read as a whole, as after lost history.
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

func (s *store) OrderChanges(ctx context.Context, _ psmoment.Moment, _ time.Duration) (platform.Orders, error) {
	return platform.Orders{}, s.wait(ctx)
}

func (s *store) ServerChanges(ctx context.Context, _ psmoment.Moment, _ time.Duration) (platform.Servers, error) {
	return platform.Servers{}, s.wait(ctx)
}

func (s *store) VMs(context.Context) (platform.VMs, error) {
	v := platform.VMs{Rows: map[string][]byte{}}
	for i := range s.vms {
		a := netip.MustParseAddrPort("127.0.0.1:2")
		name := fmt.Sprintf("vm-0-%02d", i)
		data, err := json.Marshal(psfleet.Identity{VM: name, FailureDomain: "north-a", Region: "north", Callers: a, Peers: a, Link: float64(100 - i)})
		if err != nil {
			return v, err
		}
		v.Rows[name] = data
	}
	return v, nil
}

func (*store) VMChanges(context.Context, psmoment.Moment) (platform.VMs, error) {
	return platform.VMs{}, nil
}
func (*store) PublishVM(context.Context, string, []byte) error  { return nil }
func (*store) Report(*psfleet.Report, []psfleet.Identity) error { return nil }
func (*store) Notice(*psfleet.Notice, []psfleet.Identity) error { return nil }
func (*store) Digest(*psfleet.Digest, []psfleet.Identity) error { return nil }
func (*store) Demands(time.Time) map[string]float64             { return nil }
func (*store) Crashes(time.Time) map[uint64]int                 { return nil }
func (*store) Learn(string, map[uint64]int, time.Time)          {}
func (*store) Probe(context.Context, psserver.Entry, string) (platform.Health, error) {
	return platform.Health{Healthy: true, Server: "i-1", ColdFor: time.Minute}, nil
}

// Ask returns what a VM that reads the store would believe.
func (s *store) Ask(_ context.Context, vm psfleet.Identity, known string) (psfleet.Told, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.asked = append(s.asked, vm.VM+" "+known)
	if s.near != nil {
		return psfleet.Told{Beliefs: *s.near, Mark: "mark"}, nil
	}
	if known == "mark" {
		return psfleet.Told{Mark: known, Unchanged: true}, nil
	}
	return psfleet.Told{
		Beliefs: psfleet.Beliefs{Configuration: configuration(4), Evacuated: []string{"south-a"}, Servers: []psserver.Entry{entry("i-7")}, Age: told},
		Mark:    "mark",
	}, nil
}

// AskOrders returns the same without servers.
func (s *store) AskOrders(ctx context.Context, vm psfleet.Identity) (psfleet.Beliefs, error) {
	t, err := s.Ask(ctx, vm, "")
	t.Beliefs.Servers = nil
	return t.Beliefs, err
}

// told is the age of what the other VM believes.
const told = 3 * time.Second

func start(t *testing.T, s *store) *pscontrol.Control {
	t.Helper()
	a := netip.MustParseAddrPort("127.0.0.1:1")
	c := pscontrol.New(pscontrol.Options{
		Settings: &psnode.Settings{Regions: map[string]string{"north-a": "north"}},
		Identity: psfleet.Identity{VM: "vm-1", FailureDomain: "north-a", Region: "north", Callers: a, Peers: a},
		Store:    s, Prober: s, Believers: s, Peers: s, Demands: s, Crashes: s, Logger: hclog.NewNullLogger(), Now: time.Now,
	})
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go c.Run(ctx)
	return c
}

// eventually waits until something holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not in time: %s", what)
}

func configuration(version int64) *psconfig.Configuration {
	return &psconfig.Configuration{Version: version, Services: []psconfig.Service{{Name: "prices", ColdStart: time.Minute, ColdPerSecond: 5}}}
}

func entry(id string) psserver.Entry {
	return psserver.Entry{ID: id, Service: "prices", FailureDomain: "north-a", Slots: 4}
}

func version(c *pscontrol.Control) int64 {
	if x := c.Snapshot().Index; x != nil {
		return x.Configuration.Version
	}
	return 0
}

func TestAConfigurationNeverGoesBack(t *testing.T) {
	s := newStore()
	c := start(t, s)
	s.set(func(s *store) { s.orders.Configuration = configuration(7) })
	eventually(t, "version 7", func() bool { return version(c) == 7 })
	s.set(func(s *store) { s.orders.Configuration = configuration(5) })
	faulty := configuration(8)
	faulty.Routes = []psconfig.Route{{Name: "without anything"}}
	s.set(func(s *store) { s.orders.Configuration = faulty })
	s.set(func(s *store) {
		s.orders.Configuration = nil
		s.orders.Evacuated = []string{"north-a"}
	})
	eventually(t, "the evacuation", func() bool { return c.Snapshot().Evacuated["north-a"] })
	qt.Assert(t, version(c), qt.Equals, int64(7))
	s.set(func(s *store) { s.orders.Configuration = configuration(9) })
	eventually(t, "version 9", func() bool { return version(c) == 9 })
}

func servers(c *pscontrol.Control) int { return len(c.Snapshot().Servers["prices"]) }

func TestServersThatAreGoneAreDropped(t *testing.T) {
	s := newStore()
	c := start(t, s)
	s.set(func(s *store) { s.servers.Entries = []psserver.Entry{entry("i-1"), entry("i-2")} })
	eventually(t, "two servers", func() bool { return servers(c) == 2 })
	s.set(func(s *store) { s.servers.Entries = []psserver.Entry{entry("i-1")} })
	eventually(t, "one server", func() bool { return servers(c) == 1 })
}

// TestEntriesThatLapsedWhileTheStoreWasAwayMayReturn checks that missing entries are kept for
// the time in which servers write them again, and not for longer.
func TestEntriesThatLapsedWhileTheStoreWasAwayMayReturn(t *testing.T) {
	s := newStore()
	c := start(t, s)
	s.set(func(s *store) { s.servers.Entries = []psserver.Entry{entry("i-1"), entry("i-2")} })
	eventually(t, "two servers", func() bool { return servers(c) == 2 })
	s.set(func(s *store) { s.away = true })
	time.Sleep(300 * time.Millisecond)
	s.set(func(s *store) {
		s.away = false
		s.servers.Entries = nil
	})
	time.Sleep(1200 * time.Millisecond)
	qt.Assert(t, servers(c), qt.Equals, 2)
	s.set(func(s *store) { s.servers.Entries = []psserver.Entry{entry("i-1")} })
	eventually(t, "the entry that is still missing is gone", func() bool { return servers(c) == 1 })
}

// TestMissingEntriesAreGoneBeforeBoundsHold replays a VM that was cut off from the store while a
// server left. Bounds hold for it three seconds after the cut, less the time of one connection
// attempt and some for the request that is on its way.
func TestMissingEntriesAreGoneBeforeBoundsHold(t *testing.T) {
	const bound = 2500 * time.Millisecond
	s := newStore()
	c := start(t, s)
	s.set(func(s *store) { s.servers.Entries = []psserver.Entry{entry("i-1"), entry("i-2")} })
	eventually(t, "two servers", func() bool { return servers(c) == 2 })
	s.set(func(s *store) { s.away = true })
	time.Sleep(1500 * time.Millisecond)
	s.set(func(s *store) {
		s.away = false
		s.servers.Entries = []psserver.Entry{entry("i-1")}
	})
	begun := time.Now()
	eventually(t, "the server is gone", func() bool { return servers(c) == 1 })
	qt.Assert(t, time.Since(begun) < bound, qt.IsTrue, qt.Commentf("%s", time.Since(begun)))
}

func TestServersOfAnEvacuatedDomainReturnAsColdAsTheySay(t *testing.T) {
	s := newStore()
	c := start(t, s)
	s.set(func(s *store) {
		s.orders.Configuration = configuration(1)
		s.servers.Entries = []psserver.Entry{entry("i-1")}
		s.orders.Evacuated = []string{"north-a"}
	})
	eventually(t, "the evacuation", func() bool { return c.Snapshot().Evacuated["north-a"] && servers(c) == 1 })
	s.set(func(s *store) { s.orders.Evacuated = nil })
	eventually(t, "a cold server", func() bool {
		list := c.Snapshot().Servers["prices"]
		return !c.Snapshot().Evacuated["north-a"] && len(list) == 1 && list[0].View(time.Now()).Cold
	})
}

func TestAnotherVMThatTakesCallersIsInTheDirectory(t *testing.T) {
	s := newStore()
	c := start(t, s)
	a := netip.MustParseAddrPort("127.0.0.1:2")
	r := &psfleet.Report{Identity: psfleet.Identity{VM: "vm-2", FailureDomain: "north-a", Region: "north", Callers: a, Peers: a}, Sequence: 1, Ready: true}
	c.Heard(r)
	eventually(t, "two VMs", func() bool { return len(c.Snapshot().VMs) == 2 })
	eventually(t, "one VM after silence", func() bool { return len(c.Snapshot().VMs) == 1 })
	c.Leave()
	eventually(t, "no VM after leaving", func() bool { return len(c.Snapshot().VMs) == 0 })
	qt.Assert(t, c.Ready(), qt.IsFalse)
}

// TestAVMWithoutTheStoreLearnsFromOneThatReadsIt starts a VM while the store turns it away.
func TestAVMWithoutTheStoreLearnsFromOneThatReadsIt(t *testing.T) {
	s := newStore()
	s.set(func(s *store) { s.away = true })
	c := start(t, s)
	time.Sleep(time.Second)
	qt.Assert(t, c.Ready(), qt.IsFalse)
	a := netip.MustParseAddrPort("127.0.0.1:2")
	r := &psfleet.Report{Identity: psfleet.Identity{VM: "vm-2", FailureDomain: "north-a", Region: "north", Callers: a, Peers: a}, Sequence: 1, Reads: true}
	c.Heard(r)
	eventually(t, "what the other VM believes", func() bool {
		return c.Ready() && version(c) == 4 && servers(c) == 1 && c.Snapshot().Evacuated["south-a"]
	})
	qt.Assert(t, time.Since(c.Snapshot().ServersAt) >= told, qt.IsTrue)
	c.Heard(&psfleet.Report{Identity: r.Identity, Sequence: 2, Reads: true})
	eventually(t, "a question that says what is known", func() bool {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return slices.Contains(s.asked, "vm-2 mark")
	})
	s.set(func(s *store) {
		s.away = false
		s.orders.Configuration = configuration(5)
		s.servers.Entries = []psserver.Entry{entry("i-1"), entry("i-2")}
	})
	eventually(t, "what the store says", func() bool { return version(c) == 5 && servers(c) == 2 && !c.Snapshot().Evacuated["south-a"] })
}

// TestWhoReadsTheStoreDoesNotAskOtherVMs replays a VM that starts behind a slow link, over which the
// table of a large fleet takes its time. Beliefs of other VMs would come over the same link.
func TestWhoReadsTheStoreDoesNotAskOtherVMs(t *testing.T) {
	s := newStore()
	s.slow = 2 * time.Second
	c := start(t, s)
	a := netip.MustParseAddrPort("127.0.0.1:2")
	c.Heard(&psfleet.Report{Identity: psfleet.Identity{VM: "vm-2", FailureDomain: "north-a", Region: "north", Callers: a, Peers: a}, Sequence: 1, Reads: true})
	time.Sleep(1800 * time.Millisecond)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	qt.Assert(t, s.asked, qt.HasLen, 0)
}

// TestAnotherVMTellsOfServers hears that a server is slow and that one leaves. A word about an earlier
// run of a server doesn't count.
func TestAnotherVMTellsOfServers(t *testing.T) {
	s := newStore()
	c := start(t, s)
	s.set(func(s *store) { s.servers.Entries = []psserver.Entry{entry("i-1"), entry("i-2"), entry("i-3")} })
	eventually(t, "three servers", func() bool { return servers(c) == 3 })
	now := time.Now()
	server := func(id string) *psserver.Server {
		i := slices.IndexFunc(c.Snapshot().Servers["prices"], func(v *psserver.Server) bool { return v.Entry().ID == id })
		return c.Snapshot().Servers["prices"][i]
	}
	a := netip.MustParseAddrPort("127.0.0.1:2")
	c.Heard(&psfleet.Report{
		Identity: psfleet.Identity{VM: "vm-2", FailureDomain: "north-a", Region: "north", Callers: a, Peers: a, Incarnation: 1}, Sequence: 1,
		Slow:    map[string]float64{"i-1": 3},
		Leaving: []psserver.Run{server("i-2").Entry().Run(), {ID: "i-3", Incarnation: 77}},
	})
	eventually(t, "the server that leaves", func() bool { return server("i-2").Leaves() })
	qt.Assert(t, server("i-1").View(now).Lag > 2.5, qt.IsTrue)
	qt.Assert(t, server("i-3").Leaves(), qt.IsFalse)
}

// TestOneVMOfARegionTellsTheOthers replays a VM that learns of earlier ones, which then fall silent.
func TestOneVMOfARegionTellsTheOthers(t *testing.T) {
	s := newStore()
	c := start(t, s)
	qt.Assert(t, c.Tells(), qt.IsTrue)
	a := netip.MustParseAddrPort("127.0.0.1:2")
	hear := func(vm, region string) {
		c.Heard(&psfleet.Report{Identity: psfleet.Identity{VM: vm, FailureDomain: region + "-a", Region: region, Callers: a, Peers: a}, Sequence: 1, Reads: true})
	}
	hear("vm-2", "north")
	hear("vm-0", "south")
	time.Sleep(400 * time.Millisecond)
	qt.Assert(t, c.Tells(), qt.IsTrue)
	hear("vm-0b", "north")
	eventually(t, "an earlier VM tells", func() bool { return !c.Tells() })
	eventually(t, "it is silent", func() bool { return c.Tells() })
}

// TestAVMThatStartsInALargeFleetTakesTheTablesOfAnother replays hundreds of VMs that start together:
// most of them leave the store's tables to the first one of their failure domain.
func TestAVMThatStartsInALargeFleetTakesTheTablesOfAnother(t *testing.T) {
	s := newStore()
	s.vms = 30
	s.near = &psfleet.Beliefs{
		Configuration: configuration(4), Servers: []psserver.Entry{entry("i-7")}, Evacuated: []string{"south-a"},
		OrdersAt: psmoment.At(0, 3), ServersAt: psmoment.At(0, 9), Reads: true, Age: 100 * time.Millisecond,
	}
	c := start(t, s)
	eventually(t, "what the first VM believes", func() bool {
		return c.Ready() && version(c) == 4 && servers(c) == 1 && c.Snapshot().Evacuated["south-a"]
	})
	s.mutex.Lock()
	defer s.mutex.Unlock()
	qt.Assert(t, s.readings, qt.Equals, 0)
	qt.Assert(t, s.asked[0], qt.Equals, "vm-0-00 ")
	qt.Assert(t, c.StoreLost(), qt.IsFalse)
}

// TestOldTablesOfAnotherVMAreNotTaken asks a VM that has not read the store for a while.
func TestOldTablesOfAnotherVMAreNotTaken(t *testing.T) {
	s := newStore()
	s.vms = 30
	s.near = &psfleet.Beliefs{Configuration: configuration(4), OrdersAt: psmoment.At(0, 3), ServersAt: psmoment.At(0, 9), Reads: true, Age: 5 * time.Second}
	s.set(func(s *store) {
		s.orders.Configuration = configuration(5)
		s.servers.Entries = []psserver.Entry{entry("i-1")}
	})
	c := start(t, s)
	eventually(t, "what the store says", func() bool { return c.Ready() && version(c) == 5 })
}

// TestOrdersOfAnotherVMCountIfTheyAreNewEnough asks a VM that announced a change.
func TestOrdersOfAnotherVMCountIfTheyAreNewEnough(t *testing.T) {
	s := newStore()
	s.vms = 30
	s.near = &psfleet.Beliefs{Configuration: configuration(4), OrdersAt: psmoment.At(0, 7), ServersAt: psmoment.At(0, 9), Reads: true}
	c := start(t, s)
	eventually(t, "the tables", func() bool { return version(c) == 4 })
	v, found := c.AskOrders(t.Context(), "vm-0-01", psmoment.At(0, 7))
	qt.Assert(t, found, qt.IsTrue)
	qt.Assert(t, v, qt.Equals, psmoment.At(0, 7))
	limited, stop := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer stop()
	_, found = c.AskOrders(limited, "vm-0-01", psmoment.At(0, 8))
	qt.Assert(t, found, qt.IsFalse)
	_, found = c.AskOrders(t.Context(), "vm-unknown", psmoment.At(0, 7))
	qt.Assert(t, found, qt.IsFalse)
}
