package pscontrol_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"persimmonstep/internal/process/pscontrol"
	"persimmonstep/internal/process/pshealth"
	"persimmonstep/internal/process/pslink"
	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/request/psusage"
	"persimmonstep/platform"
	"persimmonstep/platform/psheader"
)

// unreachable reaches no server.
type unreachable struct{}

var errRefused = errors.New("refused")

func (unreachable) Reach(context.Context, netip.AddrPort) error { return errRefused }

func (unreachable) Probe(context.Context, psserver.Entry, string) (psheader.Health, error) {
	return psheader.Health{}, errRefused
}

// startWithLinks starts a controller that knows three servers and monitors links that are lost.
func startWithLinks(t *testing.T) (*pscontrol.Controller, *pslink.Monitor, *reports) {
	t.Helper()
	s := newStore()
	r := &reports{store: s}
	links := pslink.New(unreachable{}, hclog.NewNullLogger(), time.Now)
	c := start(t, pscontrol.Options{Store: s, Prober: unreachable{}, Fetcher: s, Peers: r, Tokens: s, Crashes: s, Usage: &psusage.Usage{}, Links: links})
	s.set(func(s *store) {
		s.desiredState.Configuration = configuration(1)
		s.servers.Entries = []psserver.Entry{entry("i-1"), entry("i-2"), entry("i-3")}
	})
	eventually(t, "three servers", func() bool { return serverCount(c) == 3 })
	return c, links, r
}

// TestVMWithoutLinksMisleadsOthers guards against a VM that tells the others of failed servers when its own links are
// lost. All VMs take such servers out of use.
func TestVMWithoutLinksMisleadsOthers(t *testing.T) {
	c, links, r := startWithLinks(t)
	servers := c.Snapshot().Servers["prices"]
	c.ServerFailed(servers[0], pshealth.ReasonUnreachable, "id-1")
	time.Sleep(600 * time.Millisecond)
	qt.Assert(t, r.last().Failed, qt.HasLen, 0)
	links.Connected(time.Now())
	eventually(t, "a failed server", func() bool { return len(r.last().Failed) == 1 })

	c.ServerFailed(servers[1], pshealth.ReasonUnreachable, "id-2")
	links.Unconnected("i-1")
	links.Unconnected("i-2")
	eventually(t, "lost links", c.ServerLinksLost)
	eventually(t, "no failed server", func() bool { return len(r.last().Failed) == 0 })
	eventually(t, "all servers in use", func() bool {
		return servers[0].Usable(time.Now()) && servers[1].Usable(time.Now())
	})
	c.ServerFailed(servers[2], pshealth.ReasonUnreachable, "id-3")
	qt.Assert(t, servers[2].Usable(time.Now()), qt.IsTrue)
}

// TestVMOfEarlierBuildMisleadsOthers covers a VM whose build doesn't know the state of its own links, and which names
// servers as failed because of that.
func TestVMOfEarlierBuildMisleadsOthers(t *testing.T) {
	for _, features := range []psmessage.Features{0, psmessage.CurrentFeatures} {
		c, _, _ := startWithLinks(t)
		server := c.Snapshot().Servers["prices"][0]
		report := psmessage.Report{Identity: psmessage.Identity{
			VM: "vm-2", FailureDomain: "north-a", Region: "north", Incarnation: 1, Features: features,
			CallerAddress: netip.MustParseAddrPort("127.0.0.2:80"), PeerAddress: netip.MustParseAddrPort("127.0.0.2:81"),
		}}
		for sequence, failed := range [][]string{nil, {server.Entry().ID}} {
			r := report
			r.Sequence, r.Failed = int64(sequence+1), failed
			c.ReceiveReport(&r)
		}
		// The controller handles events in order, so after this one it has handled the reports.
		c.ApplyServers(platform.Servers{Entries: []psserver.Entry{entry("i-4")}}, false, false)
		eventually(t, "four servers", func() bool { return serverCount(c) == 4 })
		qt.Assert(t, server.Usable(time.Now()), qt.Equals, features == 0)
	}
}

// TestServerThatLeftByReportStaysInUse covers a VM whose calls to the store are late. Another VM's report names a server that
// left, also as leaving, for VMs of earlier builds; a later entry of the server counts.
func TestServerThatLeftByReportStaysInUse(t *testing.T) {
	c, _, _ := startWithLinks(t)
	server := c.Snapshot().Servers["prices"][0]
	run := server.Entry().Run()
	at := netip.MustParseAddrPort("127.0.0.2:80")
	c.ReceiveReport(&psmessage.Report{
		Identity: psmessage.Identity{VM: "vm-2", FailureDomain: "north-a", Region: "north", Incarnation: 1, CallerAddress: at, PeerAddress: at},
		Sequence: 1, Leaving: []psserver.Run{run}, Departed: []psmessage.Departure{{Run: run, Sequence: 4}},
	})
	eventually(t, "the departure", func() bool { return !server.Usable(time.Now()) })
	ready := server.Entry()
	ready.State, ready.Sequence = psserver.Ready, 5
	c.ApplyServers(platform.Servers{Entries: []psserver.Entry{ready}}, false, false)
	eventually(t, "the later entry", func() bool { return server.Usable(time.Now()) })
}
