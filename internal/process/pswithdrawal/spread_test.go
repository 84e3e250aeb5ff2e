package pswithdrawal_test

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"persimmonstep/internal/connection/psfanout"
	"persimmonstep/internal/connection/pspeer"
	"persimmonstep/internal/process/psplatform"
	"persimmonstep/internal/process/psstandin"
	"persimmonstep/internal/process/pswithdrawal"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// network joins VMs in memory and can cut some of them off.
type network struct {
	mutex    sync.Mutex
	plan     *psplan.Plan
	handlers map[psdoc.Name]map[string]pspeer.Handler
	cut      map[psdoc.Name]bool
	store    psstandin.Store
	down     bool
}

func (n *network) Plan() *psplan.Plan { return n.plan }

func (n *network) set(f func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	f()
}

// peer is one VM's end of the network.
type peer struct {
	network *network
	name    psdoc.Name
}

func (p peer) Handle(method string, f pspeer.Handler) {
	p.network.set(func() { p.network.handlers[p.name][method] = f })
}

func (p peer) Call(ctx context.Context, to pspeer.Peer, method string, params, result any) error {
	p.network.mutex.Lock()
	f, cut := p.network.handlers[to.Name][method], p.network.cut[to.Name] || p.network.cut[p.name]
	p.network.mutex.Unlock()
	if cut {
		return errors.New("cut off")
	}
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := f(ctx, p.name, data)
	if err != nil {
		return err
	}
	data, err = json.Marshal(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}

func (n *network) Read(_ context.Context, keys ...string) ([]psplatform.Row, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.down {
		return nil, &psplatform.UnavailableError{Cause: errors.New("down")}
	}
	return n.store.Read(keys), nil
}

func (n *network) Scan(_ context.Context, prefix, after string, limit int) ([]psplatform.Row, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.down {
		return nil, &psplatform.UnavailableError{Cause: errors.New("down")}
	}
	return n.store.Scan(prefix, after, limit), nil
}

func (n *network) Commit(_ context.Context, t psplatform.Transaction) (uint64, error) {
	revision, _ := n.store.Commit(t)
	return revision, nil
}

func loopback(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(n+1))
}

func newNetwork(names ...psdoc.Name) *network {
	n := &network{plan: &psplan.Plan{Version: 1}, handlers: make(map[psdoc.Name]map[string]pspeer.Handler), cut: make(map[psdoc.Name]bool)}
	document := psdoc.Document{Document: "network", Regions: []psdoc.Region{{Name: "r"}}}
	for i, v := range names {
		n.handlers[v] = make(map[string]pspeer.Handler)
		// The domain is the first letter of the name.
		if d := v[:1]; len(document.FailureDomains) == 0 || document.FailureDomains[len(document.FailureDomains)-1].Name != d {
			document.FailureDomains = append(document.FailureDomains, psdoc.FailureDomain{Name: d, Region: "r"})
		}
		document.VMs = append(document.VMs, psdoc.VM{
			Name: v, FailureDomain: v[:1], Callers: loopback(3 * i), Peer: loopback(3*i + 1), Operator: loopback(3*i + 2),
		})
	}
	n.plan, _ = psplan.Compile(1, []*psdoc.Document{&document})
	return n
}

func (n *network) node(name psdoc.Name) *pswithdrawal.Spreader {
	p := peer{n, name}
	s := &pswithdrawal.Spreader{
		Set: &pswithdrawal.Set{}, Plans: n, Peers: p, Fanout: psfanout.New(name, n, p), Table: n, Logger: hclog.NewNullLogger(),
		First: func() bool { return name[1] == '1' },
	}
	s.Start()
	return s
}

var names = []psdoc.Name{"a1", "a2", "a3", "b1", "b2"}

func TestWithdrawReachesAllWhileTheStoreIsDown(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(names...)
	n.down = true
	var nodes []*pswithdrawal.Spreader
	for _, v := range names {
		nodes = append(nodes, n.node(v))
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	confirmed, missing := nodes[0].Withdraw(ctx, "k1", "k2")
	c.Assert(confirmed, qt.DeepEquals, names)
	c.Assert(missing, qt.HasLen, 0)
	for _, s := range nodes {
		c.Assert(s.Set.Has("k1"), qt.IsTrue)
		c.Assert(s.Set.Has("k3"), qt.IsFalse)
	}
}

func TestWithdrawNamesTheMissingAndTheyCatchUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := newNetwork(names...)
		n.down = true
		n.cut["a1"], n.cut["b2"] = true, true
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var nodes []*pswithdrawal.Spreader
		for _, v := range names {
			s := n.node(v)
			nodes = append(nodes, s)
			go s.Run(ctx)
		}
		asking, stop := context.WithTimeout(ctx, 5*time.Second)
		defer stop()
		confirmed, missing := nodes[1].Withdraw(asking, "k1")
		c.Assert(confirmed, qt.DeepEquals, []psdoc.Name{"a2", "a3", "b1"})
		c.Assert(missing, qt.DeepEquals, []psdoc.Name{"a1", "b2"})

		// A peer that hears a different summary pulls the set.
		n.set(func() { n.cut["b2"] = false; n.down = false })
		synctest.Wait()
		nodes[4].Consume("b1", nodes[3].Produce())
		synctest.Wait()
		c.Assert(nodes[4].Set.Has("k1"), qt.IsTrue)

		// The table brings it within seconds to a domain's first VM that no peer reaches, and to
		// one that starts later.
		time.Sleep(5 * time.Second)
		synctest.Wait()
		c.Assert(nodes[0].Set.Has("k1"), qt.IsTrue)
		c.Assert(nodes[1].Stored(), qt.IsTrue)
		late := n.node("a1")
		c.Assert(late.Loaded(), qt.IsFalse)
		go late.Run(ctx)
		synctest.Wait()
		c.Assert(late.Set.Has("k1"), qt.IsTrue)
	})
}
