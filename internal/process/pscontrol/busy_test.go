package pscontrol_test

import (
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/pscontrol"
	"persimmonstep/internal/process/psmessage"
)

// usage finds a workspace busy and records what other VMs find.
type usage struct {
	mutex sync.Mutex
	peers map[string][]string
}

func (*usage) Busy(time.Time) []string { return []string{"trays"} }

func (u *usage) RecordPeer(vm string, busy []string, _ time.Time) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.peers[vm] = busy
}

func (u *usage) peer(vm string) ([]string, bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	busy, found := u.peers[vm]
	return busy, found
}

// TestBusyWorkspacesAreExchanged guards against reports without the workspaces that a VM finds busy, against those of other VMs
// that are lost, and against VMs of an earlier build, which don't name any, that count as finding none.
func TestBusyWorkspacesAreExchanged(t *testing.T) {
	s := newStore()
	r := &reports{store: s}
	u := &usage{peers: make(map[string][]string)}
	c := start(t, pscontrol.Options{Store: s, Prober: s, Fetcher: s, Peers: r, Tokens: s, Crashes: s, Usage: u})
	s.set(func(s *store) { s.desiredState.Configuration = configuration(1) })
	eventually(t, "a report", func() bool { return slices.Equal(r.lastOrNone().Busy, []string{"trays"}) })
	for i, vm := range []string{"vm-2", "vm-3"} {
		a := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(2+i))
		v := psmessage.Identity{VM: vm, FailureDomain: "north-a", Region: "north", CallerAddress: a, PeerAddress: a, Incarnation: 1}
		if vm == "vm-3" {
			v.Features = psmessage.BusyWorkspaces
		}
		c.ReceiveReport(&psmessage.Report{Identity: v, Sequence: 1, Busy: []string{"southern"}})
	}
	eventually(t, "the report of the other VM", func() bool { _, found := u.peer("vm-3"); return found })
	busy, _ := u.peer("vm-3")
	qt.Check(t, busy, qt.DeepEquals, []string{"southern"})
	_, found := u.peer("vm-2")
	qt.Check(t, found, qt.IsFalse)
}

// lastOrNone returns the last report, or an empty one before the first.
func (r *reports) lastOrNone() psmessage.Report {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.sent) == 0 {
		return psmessage.Report{}
	}
	return r.sent[len(r.sent)-1]
}
