package pscontrol_test

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psavailability"
	"persimmonstep/internal/process/pscontrol"
	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/pshealth"
	"persimmonstep/internal/process/pslimit"
	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/process/pssnapshot"
	"persimmonstep/internal/request/psusage"
	"persimmonstep/platform/psheader"
)

// reports records the reports that a VM sends.
type reports struct {
	*store
	mutex sync.Mutex
	sent  []psmessage.Report
}

func (r *reports) Report(v *psmessage.Report, _ []psmessage.Identity) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sent = append(r.sent, *v)
	return nil
}

func (r *reports) last() psmessage.Report {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.sent[len(r.sent)-1]
}

// tokens grants probes as long as granted is set.
type tokens struct {
	*store
	mutex   sync.Mutex
	granted bool
	probes  int
}

func (t *tokens) TakeProbe(context.Context, *pssnapshot.Snapshot, *psserver.Server) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.granted
}

func (t *tokens) Probe(context.Context, psserver.Entry, string) (psheader.Health, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.probes++
	return psheader.Health{Healthy: true}, nil
}

func (t *tokens) set(granted bool) (probes int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.granted = granted
	return t.probes
}

func startWith(t *testing.T, s *store, r *reports, k *tokens) *pscontrol.Controller {
	t.Helper()
	return start(t, pscontrol.Options{Store: s, Prober: k, Fetcher: s, Peers: r, Tokens: k, Crashes: s, Usage: &psusage.Usage{}})
}

func named(perSecond float64) pslimit.Limit {
	return pslimit.Limit{Named: true, PerSecond: perSecond}
}

// TestLimitIsAnnouncedToOtherVMs lets a server name a limit to a VM, change it and withdraw it. The VM's reports announce
// the beginning and the end of the limit for a while.
func TestLimitIsAnnouncedToOtherVMs(t *testing.T) {
	s := newStore()
	r := &reports{store: s}
	c := startWith(t, s, r, &tokens{store: s})
	s.set(func(s *store) {
		s.desiredState.Configuration = configuration(1)
		s.servers.Entries = []psserver.Entry{entry("i-1")}
	})
	eventually(t, "a server", func() bool { return serverCount(c) == 1 })
	server := c.Snapshot().Servers["prices"][0]
	respond := func(a psheader.Availability, genuine bool) {
		c.UpdateAvailability(server, psavailability.Announcement{Availability: a, SentAt: time.Now(), Genuine: genuine})
	}
	limit := func() pslimit.Limit { v, _ := server.Limit(time.Now()); return v }

	respond(psheader.Availability{Limit: named(5)}, true)
	eventually(t, "the announced limit", func() bool { return len(r.last().Limited) == 1 })
	qt.Assert(t, r.last().Limited[0].Run, qt.Equals, server.Entry().Run())
	qt.Assert(t, r.last().Limited[0].Limit, qt.Equals, named(5))
	eventually(t, "the end of the announcement", func() bool { return len(r.last().Limited) == 0 })
	respond(psheader.Availability{Limit: named(4)}, true)
	// These state nothing about the limit.
	respond(psheader.Availability{LimitUnreadable: true}, true)
	respond(psheader.Availability{}, false)
	qt.Assert(t, limit(), qt.Equals, named(4))
	respond(psheader.Availability{}, true)
	qt.Assert(t, limit(), qt.Equals, pslimit.Limit{})
	eventually(t, "the announced withdrawal", func() bool { return len(r.last().Limited) == 1 })
	qt.Assert(t, r.last().Limited[0].Limit, qt.Equals, pslimit.Limit{})
}

// TestLimitOfReportIsApplied receives reports of limits. Those of an earlier run of a server and those that are older
// than this VM's own knowledge must not count.
func TestLimitOfReportIsApplied(t *testing.T) {
	s := newStore()
	c := startController(t, s)
	s.set(func(s *store) { s.servers.Entries = []psserver.Entry{entry("i-1"), entry("i-2"), entry("i-3")} })
	eventually(t, "three servers", func() bool { return serverCount(c) == 3 })
	server := func(id string) *psserver.Server {
		i := slices.IndexFunc(c.Snapshot().Servers["prices"], func(v *psserver.Server) bool { return v.Entry().ID == id })
		return c.Snapshot().Servers["prices"][i]
	}
	limited := func(id string) bool {
		limit, _ := server(id).Limit(time.Now())
		return limit.Named
	}
	server("i-3").RecordLimit(pslimit.Limit{}, time.Now(), time.Now())
	a := netip.MustParseAddrPort("127.0.0.1:2")
	c.ReceiveReport(&psmessage.Report{
		Identity: psmessage.Identity{VM: "vm-2", FailureDomain: "north-a", Region: "north", CallerAddress: a, PeerAddress: a, Incarnation: 1}, Sequence: 1,
		Limited: []psmessage.ServerLimit{
			{Run: psserver.Run{ID: "i-2", Incarnation: 77}, Limit: named(2)},
			{Run: server("i-3").Entry().Run(), Limit: named(3), Age: time.Minute},
			{Run: server("i-1").Entry().Run(), Limit: named(1), Age: time.Second},
		},
	})
	eventually(t, "the limit", func() bool { return limited("i-1") })
	qt.Assert(t, limited("i-2"), qt.IsFalse)
	qt.Assert(t, limited("i-3"), qt.IsFalse)
	_, age := server("i-1").Limit(time.Now())
	qt.Assert(t, age >= time.Second && age < 3*time.Second, qt.IsTrue, qt.Commentf("%s", age))
}

// TestFailedServerIsProbedWithinItsLimit lets a server fail. It must not be probed without a token, and be used again
// after a probe with one.
func TestFailedServerIsProbedWithinItsLimit(t *testing.T) {
	s := newStore()
	k := &tokens{store: s}
	c := startWith(t, s, &reports{store: s}, k)
	s.set(func(s *store) {
		s.desiredState.Configuration = configuration(1)
		s.servers.Entries = []psserver.Entry{entry("i-1")}
	})
	eventually(t, "a server", func() bool { return serverCount(c) == 1 && c.Snapshot().Index != nil })
	server := c.Snapshot().Servers["prices"][0]
	c.ServerFailed(server, pshealth.ReasonUnreachable, "id-1")
	time.Sleep(time.Second)
	qt.Assert(t, k.set(true), qt.Equals, 0)
	eventually(t, "the server", func() bool { return server.Usable(time.Now()) })
}

// TestAnnouncementOutlastsDigestInterval guards against announcements that end before a large fleet's next digest, which
// forwards only the latest report, so that other failure domains never learn of them.
func TestAnnouncementOutlastsDigestInterval(t *testing.T) {
	s := newStore()
	s.vms, s.otherDomains = 700, 70
	r := &reports{store: s}
	c := startWith(t, s, r, &tokens{store: s})
	s.set(func(s *store) { s.servers.Entries = []psserver.Entry{entry("i-1")} })
	eventually(t, "the fleet", func() bool { return serverCount(c) == 1 && c.FleetSize() > 700 })
	c.UpdateAvailability(c.Snapshot().Servers["prices"][0], psavailability.Announcement{Availability: psheader.Availability{Leaving: true}})
	time.Sleep(psfleet.MaxDigestInterval + time.Second)
	qt.Assert(t, r.last().Leaving, qt.HasLen, 1)
}
