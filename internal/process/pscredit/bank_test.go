package pscredit_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"persimmonstep/internal/connection/pspeer"
	"persimmonstep/internal/process/pscredit"
	"persimmonstep/internal/process/pspool"
	"persimmonstep/internal/request/psroute"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// wire is a fake network between banks. It calls handlers directly and loses what it is told to.
type wire struct {
	mutex    sync.Mutex
	handlers map[psdoc.Name]map[string]pspeer.Handler
	// broken maps "method vm" to what happens to the call.
	broken map[string]fault
	calls  map[string]int
}

// fault is what happens to a call.
type fault int

const (
	loseCall fault = iota + 1
	loseAnswer
	refuseConnection
)

var errLost = errors.New("lost")

func newWire() *wire {
	return &wire{handlers: make(map[psdoc.Name]map[string]pspeer.Handler), broken: make(map[string]fault), calls: make(map[string]int)}
}

func (w *wire) breakCalls(method string, vm psdoc.Name, f fault) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.broken[method+" "+string(vm)] = f
}

func (w *wire) count(method string, vm psdoc.Name) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.calls[method+" "+string(vm)]
}

// end is one VM's end of the wire.
type end struct {
	wire *wire
	self psdoc.Name
}

// Handle registers a handler.
func (e end) Handle(method string, f pspeer.Handler) {
	if e.wire.handlers[e.self] == nil {
		e.wire.handlers[e.self] = make(map[string]pspeer.Handler)
	}
	e.wire.handlers[e.self][method] = f
}

// Call calls the handler of another VM.
func (e end) Call(ctx context.Context, to pspeer.Peer, method string, params, result any) error {
	e.wire.mutex.Lock()
	key := method + " " + string(to.Name)
	e.wire.calls[key]++
	f, broken := e.wire.handlers[to.Name][method], e.wire.broken[key]
	e.wire.mutex.Unlock()
	switch broken {
	case loseCall:
		return errLost
	case refuseConnection:
		return errors.Wrap(syscall.ECONNREFUSED, "dial")
	}
	in, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := f(ctx, e.self, in)
	if broken == loseAnswer {
		return errLost
	}
	if err != nil {
		return err
	}
	out, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(out, result)
}

// steady is a fence that never changes, with vm-1 the guardian of vm-0 and vm-2 of vm-1.
type steady struct{}

func (steady) Whole() bool                               { return true }
func (steady) Settled() bool                             { return true }
func (steady) AdoptedSince(psdoc.Name) (time.Time, bool) { return time.Time{}, false }
func (steady) Guardian(p *psplan.Plan, vm psdoc.Name) *psplan.VM {
	for i, v := range p.VMs {
		if v.Name == vm {
			return p.VMs[(i+1)%len(p.VMs)]
		}
	}
	return nil
}

type fixed struct{ plan *psplan.Plan }

func (f fixed) Plan() *psplan.Plan { return f.plan }

type healthy struct{}

func (healthy) Excluded(*psplan.Server) bool         { return false }
func (healthy) Latency(*psplan.Server) time.Duration { return 0 }
func (healthy) Weight(*psplan.Server) float64        { return 1 }

type unshifted struct{}

func (unshifted) Count(*psplan.Route)         {}
func (unshifted) MayShift(*psplan.Route) bool { return false }
func (unshifted) Spend(*psplan.Route) bool    { return false }
func (unshifted) Refund(*psplan.Route)        {}
func (unshifted) Charge(*psplan.Route, int64) {}

// node is one VM with its bank.
type node struct {
	dispatcher *pspool.Dispatcher
	bank       *pscredit.Bank
}

const vmCount = 3

// plan has vmCount failure domains in one region, each with a VM and a server of 4 slots.
func plan(t *testing.T) *psplan.Plan {
	t.Helper()
	var text strings.Builder
	text.WriteString("document = \"fleet\"\n[[regions]]\nname = \"north\"\n")
	for i := range vmCount {
		fmt.Fprintf(&text, "[[failureDomains]]\nname = \"north-%d\"\nregion = \"north\"\n", i)
		fmt.Fprintf(&text, "[[vms]]\nname = \"vm-%d\"\nfailureDomain = \"north-%d\"\ncallers = \"10.0.0.%d:1\"\npeer = \"10.0.0.%d:2\"\noperator = \"10.0.0.%d:3\"\n", i, i, i, i, i)
		fmt.Fprintf(&text, "[[servers]]\nname = \"server-%d\"\nfailureDomain = \"north-%d\"\naddress = \"10.0.1.%d:1\"\npool = \"prices\"\nslots = 4\n", i, i, i)
	}
	text.WriteString("[[routes]]\nname = \"prices\"\nprefix = \"/prices/\"\nkind = \"lookup\"\npool = \"prices\"\n")
	d, findings := psdoc.Parse("fleet.toml", []byte(text.String()))
	p, faults := psplan.Compile(1, []*psdoc.Document{d})
	qt.Assert(t, append(findings, faults...), qt.HasLen, 0)
	return p
}

// run starts a bank at each VM and stops them when the test ends.
func run(t *testing.T, w *wire, p *psplan.Plan) []node {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	nodes := make([]node, vmCount)
	for i, v := range p.VMs {
		d := pspool.NewDispatcher(pspool.Config{
			Self: v.Name, Plans: fixed{p}, Health: healthy{}, Fence: steady{}, Shifts: unshifted{}, Now: time.Now,
			Hungry: func(pool psdoc.Name) { nodes[i].bank.Hungry(pool) },
		})
		d.Block(v.Name)
		nodes[i] = node{dispatcher: d, bank: pscredit.New(pscredit.Config{
			Self: v.Name, Incarnation: "1", Plans: fixed{p}, Fence: steady{}, Dispatcher: d,
			Peers: end{w, v.Name}, Logger: hclog.NewNullLogger(), Now: time.Now,
		})}
		nodes[i].bank.Register(end{w, v.Name})
	}
	for _, n := range nodes {
		running.Go(func() { n.bank.Run(ctx) })
	}
	return nodes
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for range 10000 {
		if condition() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the condition did not come true")
}

// take acquires a number of slots at a VM and returns the refusals.
func take(t *testing.T, p *psplan.Plan, n node, vm, count int) (slots []*pspool.Slot, refused int) {
	t.Helper()
	for range count {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		s, err := n.dispatcher.Acquire(ctx, psroute.Request{Route: p.Routes[0], Domain: p.VMs[vm].Domain, Home: p.VMs[vm].Domain.Region})
		cancel()
		if err != nil {
			refused++
			continue
		}
		slots = append(slots, s)
	}
	return slots, refused
}

func TestBorrowUnderFaults(t *testing.T) {
	tests := []struct {
		name   string
		broken map[string]fault
		// slots is what vm-0 can get of the 12 slots at most and must get at least.
		least, most int
	}{
		{"no fault", nil, 10, 12},
		{"lost questions to one owner", map[string]fault{"slots.borrow vm-1": loseCall}, 6, 8},
		{"lost answers of one owner", map[string]fault{"slots.borrow vm-1": loseAnswer}, 6, 8},
		{"one owner is gone", map[string]fault{"slots.borrow vm-1": refuseConnection}, 6, 8},
		{"nobody answers", map[string]fault{"slots.borrow vm-1": loseCall, "slots.borrow vm-2": loseCall}, 4, 4},
		{"renewals are lost", map[string]fault{"slots.settle vm-1": loseCall, "slots.settle vm-2": loseCall}, 10, 12},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			p, w := plan(t), newWire()
			nodes := run(t, w, p)
			for i, v := range p.VMs {
				waitFor(t, func() bool { return !nodes[i].dispatcher.Blocked(v.Name) })
			}
			for key, f := range tt.broken {
				method, vm, _ := strings.Cut(key, " ")
				w.breakCalls(method, psdoc.Name(vm), f)
			}
			slots, refused := take(t, p, nodes[0], 0, tt.most+1)
			c.Assert(len(slots) >= tt.least, qt.IsTrue, qt.Commentf("%d slots", len(slots)))
			c.Assert(len(slots) <= tt.most, qt.IsTrue, qt.Commentf("%d slots", len(slots)))
			c.Assert(refused >= 1, qt.IsTrue)
		})
	}
}

func TestRestartedVMWaitsForWhatItLent(t *testing.T) {
	c := qt.New(t)
	p, w := plan(t), newWire()
	w.breakCalls("slots.held", "vm-2", loseCall)
	nodes := run(t, w, p)
	waitFor(t, func() bool { return w.count("slots.held", "vm-2") > 2 })
	c.Assert(nodes[0].dispatcher.Blocked("vm-0"), qt.IsTrue)
	w.breakCalls("slots.held", "vm-2", refuseConnection)
	waitFor(t, func() bool { return !nodes[0].dispatcher.Blocked("vm-0") })
}

func TestMalformedCallsAreRefused(t *testing.T) {
	p, w := plan(t), newWire()
	run(t, w, p)
	for _, params := range []string{`{}`, `{"pool":"prices","want":0}`, `{"pool":"prices","want":1000000}`, `[`, `{"pool":7}`} {
		_, err := w.handlers["vm-0"]["slots.borrow"](t.Context(), "vm-1", json.RawMessage(params))
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", params))
	}
}

func TestStoppedVMLeavesItsSlotsToItsGuardian(t *testing.T) {
	c := qt.New(t)
	p, w := plan(t), newWire()
	nodes := run(t, w, p)
	for i, v := range p.VMs {
		waitFor(t, func() bool { return !nodes[i].dispatcher.Blocked(v.Name) })
	}
	ask := func(n int) int {
		for _, v := range nodes[n].dispatcher.Candidates(p.Routes[0]) {
			if v.Server.Name == "server-0" {
				return v.Limit
			}
		}
		return -1
	}
	waitFor(t, func() bool { return ask(0) == 4 })
	nodes[0].bank.Bequeath(t.Context())
	c.Assert(ask(0), qt.Equals, 0)
	c.Assert(ask(1), qt.Equals, 4, qt.Commentf("vm-1 is the guardian of vm-0"))
	c.Assert(ask(2), qt.Equals, 0)
	// A message that comes without a fresh offer changes nothing.
	_, err := w.handlers["vm-1"]["slots.leave"](t.Context(), "vm-0", json.RawMessage(`{"ticket":1,"left":[{"server":"server-0","slots":4}]}`))
	c.Assert(err, qt.ErrorMatches, ".*not open any more")
	// The VM is back: its question ends the inheritance.
	_, err = w.handlers["vm-1"]["slots.held"](t.Context(), "vm-0", json.RawMessage(`{}`))
	c.Assert(err, qt.IsNil)
	c.Assert(ask(1), qt.Equals, 0)
}
