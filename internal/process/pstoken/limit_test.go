package pstoken_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/connection/pspeer"
	"persimmonstep/internal/process/pslease"
	"persimmonstep/internal/process/pslimit"
	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/process/pssnapshot"
	"persimmonstep/internal/process/pstoken"
	"persimmonstep/internal/trial/psguarantee"
)

const (
	simulationStep = 10 * time.Millisecond
	simulationSpan = 24 * time.Second
	// runTime is the time from a request's arrival at the simulated server to its response.
	runTime = 80 * time.Millisecond
	// reserveTime is how long a silent VM counts as one that uses its share.
	reserveTime = 10 * time.Second
	domainCount = 6
)

// simulation is a fleet whose VMs want to send requests to one server, in steps of virtual time. Messages between VMs
// take no time.
type simulation struct {
	random *rand.Rand
	now    time.Time
	start  time.Time
	vms    []*simulatedVM
	// limit is the server's limit at a time.
	limit    func(at time.Duration) pslimit.Limit
	arrivals []psguarantee.Arrival
	restarts map[string][]time.Duration
	// side returns the side of a partition on which a VM is; all are on the same one if it is nil.
	side func(vm int, at time.Duration) int
	// propagation is the time within which all VMs know what one reports.
	propagation time.Duration
	// loss is the probability that a request for tokens gets no response.
	loss float64
	// wanted counts the requests that VMs wanted to send, and asked the requests for tokens.
	wanted, asked int
}

// simulatedVM is a VM with its view of the server.
type simulatedVM struct {
	index    int
	identity psmessage.Identity
	// rate is the rate at which the VM wants to send requests to the server.
	rate float64
	// from is when the VM becomes known to the others.
	from time.Duration
	// until is when the VM ends for good; 0 if it doesn't.
	until  time.Duration
	tokens *pstoken.Tokens
	server *psserver.Server
	// responses are the responses that the VM will get.
	responses []simulatedResponse
}

type simulatedResponse struct {
	arrival     int
	sentAt, due time.Time
}

// newSimulation returns a fleet whose VMs want to send the given numbers of requests per second.
func newSimulation(seed uint64, rates []float64, limit func(time.Duration) pslimit.Limit) *simulation {
	w := &simulation{
		random: rand.New(rand.NewPCG(seed, seed)), start: time.Unix(1000, 0), now: time.Unix(1000, 0),
		limit: limit, restarts: make(map[string][]time.Duration), propagation: 500 * time.Millisecond,
	}
	for i, rate := range rates {
		v := &simulatedVM{index: i, rate: rate, identity: psmessage.Identity{
			VM: fmt.Sprint("vm-", i), FailureDomain: fmt.Sprint("domain-", i%domainCount), Region: fmt.Sprint("region-", i%domainCount/2),
			PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 1}), 1),
		}}
		w.vms = append(w.vms, v)
		w.startVM(v)
	}
	return w
}

// startVM starts the process of a VM.
func (w *simulation) startVM(v *simulatedVM) {
	entry := psserver.Entry{ID: "i-1", Service: "prices", FailureDomain: "domain-0", Slots: 5}
	v.server = psserver.New(entry, "region-0", w.now)
	v.tokens = newTokens(v.identity.VM, client{w, v}, func() time.Time { return w.now })
	v.responses = nil
	w.restarts[v.identity.VM] = append(w.restarts[v.identity.VM], w.at())
}

func (w *simulation) at() time.Duration { return w.now.Sub(w.start) }

// snapshot returns a VM's view of the fleet.
func (w *simulation) snapshot(v *simulatedVM) *pssnapshot.Snapshot {
	members := []psmessage.Identity{v.identity}
	for _, peer := range w.vms {
		// VMs learn of a new one at different times.
		delay := w.propagation * time.Duration(v.index%10) / 9
		known := peer.from == 0 || w.at() >= peer.from+delay || peer == v
		known = known && !w.ended(peer, w.at()-reserveTime)
		if peer != v && known && (w.reaches(v, peer, w.at()) || w.reaches(v, peer, w.at()-reserveTime)) {
			members = append(members, peer.identity)
		}
	}
	own := float64(len(members)) / float64(len(w.vms))
	return &pssnapshot.Snapshot{
		Servers:         map[string][]*psserver.Server{"prices": {v.server}},
		Holding:         pslease.Holding{Parts: len(w.vms), Groups: []pslease.Group{{Members: members, Settled: true, Own: own}}},
		PropagationTime: w.propagation,
	}
}

func (w *simulation) reaches(a, b *simulatedVM, at time.Duration) bool {
	return w.side == nil || w.side(a.index, at) == w.side(b.index, at)
}

// client sends the requests of a VM for tokens.
type client struct {
	simulation *simulation
	vm         *simulatedVM
}

func (c client) RequestToken(_ context.Context, to netip.AddrPort, q psmessage.TokenRequest) (psmessage.TokenResponse, error) {
	w := c.simulation
	w.asked++
	i := slices.IndexFunc(w.vms, func(v *simulatedVM) bool { return v.identity.PeerAddress == to })
	owner := w.vms[i]
	if !w.reaches(c.vm, owner, w.at()) || w.random.Float64() < w.loss/2 || w.at() < owner.from || w.ended(owner, w.at()) {
		return psmessage.TokenResponse{}, pspeer.ErrNoResponse
	}
	response := owner.tokens.Grant(w.snapshot(owner), q)
	if w.random.Float64() < w.loss/2 {
		return psmessage.TokenResponse{}, pspeer.ErrNoResponse
	}
	return response, nil
}

// ended reports whether a VM is gone for good.
func (w *simulation) ended(v *simulatedVM, at time.Duration) bool {
	return v.until > 0 && at >= v.until
}

// run simulates the span. each is called at the beginning of each step.
func (w *simulation) run(each func(at time.Duration)) {
	for w.at() < simulationSpan {
		w.now = w.now.Add(simulationStep)
		if each != nil {
			each(w.at())
		}
		for _, v := range w.vms {
			w.respond(v)
			w.send(v)
		}
	}
}

// respond delivers the responses that are due to a VM. If the limit begins or ends, the others learn of it.
func (w *simulation) respond(v *simulatedVM) {
	for len(v.responses) > 0 && !v.responses[0].due.After(w.now) {
		r := v.responses[0]
		v.responses = v.responses[1:]
		before, changed := v.server.RecordLimit(w.arrivals[r.arrival].Named, r.sentAt, w.now)
		if changed && before.Named != w.arrivals[r.arrival].Named.Named {
			w.announce(v)
		}
	}
}

// announce tells the others what a VM knows of the limit.
func (w *simulation) announce(v *simulatedVM) {
	limit, age := v.server.Limit(w.now)
	for _, peer := range w.vms {
		if peer != v && w.reaches(v, peer, w.at()) {
			peer.server.RecordPeerLimit(limit, w.now.Add(-age))
		}
	}
}

// send sends the requests of a step.
func (w *simulation) send(v *simulatedVM) {
	if w.at() < v.from || w.ended(v, w.at()) {
		return
	}
	for p := v.rate * simulationStep.Seconds(); p > 0 && w.random.Float64() < p; p-- {
		w.wanted++
		if _, granted := v.tokens.TakeServer(context.Background(), w.snapshot(v), v.server).(pstoken.Granted); !granted {
			continue
		}
		at := w.at()
		named := at + runTime
		w.arrivals = append(w.arrivals, psguarantee.Arrival{At: at, VM: v.identity.VM, Named: w.limit(named), NamedAt: named})
		v.responses = append(v.responses, simulatedResponse{len(w.arrivals) - 1, w.now, w.now.Add(runTime)})
	}
}

// exceeded returns the requests beyond the bound that the server's limits set.
func (w *simulation) exceeded() int {
	s := psguarantee.Server{ID: "i-1", Arrivals: w.arrivals}
	return psguarantee.Check(psguarantee.History{Servers: []psguarantee.Server{s}, Restarts: w.restarts}).LimitExceeded
}

// received returns the rate of the requests that the server got in a span.
func (w *simulation) received(from, to time.Duration) float64 {
	n := 0
	for _, a := range w.arrivals {
		if a.At >= from && a.At < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}

// constantLimit is a limit that the server names from the fourth second on.
func constantLimit(perSecond float64) func(time.Duration) pslimit.Limit {
	return func(at time.Duration) pslimit.Limit {
		if at < 4*time.Second {
			return pslimit.Limit{}
		}
		return pslimit.Limit{Named: true, PerSecond: perSecond}
	}
}

// evenRates splits a load evenly over a number of VMs.
func evenRates(vms int, load float64) []float64 {
	return slices.Repeat([]float64{load / float64(vms)}, vms)
}

// minUse is the least fraction of its limit that a server with more load gets.
const minUse = 0.85

// TestLimitHoldsOverAllVMsAndIsUsed sends a server several times its limit, from fleets of different sizes, evenly
// or nearly all from one VM. The server must get no more than its limit allows, and most of what it takes.
func TestLimitHoldsOverAllVMsAndIsUsed(t *testing.T) {
	for _, vms := range []int{1, 9, 81, 300} {
		for _, limit := range []float64{0, 0.3, 5, 40} {
			for _, uneven := range []bool{false, true} {
				for _, factor := range []float64{0.9, 3, 20} {
					name := fmt.Sprintf("vms=%d/limit=%g/uneven=%t/load=%g", vms, limit, uneven, factor)
					t.Run(name, func(t *testing.T) {
						load := factor * max(limit, 1)
						rates := evenRates(vms, load)
						if uneven {
							rates = evenRates(vms, 0.1*load)
							rates[vms-1] += 0.9 * load
						}
						w := newSimulation(uint64(vms), rates, constantLimit(limit))
						w.run(nil)
						qt.Check(t, w.exceeded(), qt.Equals, 0)
						if factor > 1 && limit > 1 {
							used := w.received(8*time.Second, simulationSpan) / limit
							qt.Check(t, used >= minUse, qt.IsTrue, qt.Commentf("%.2f of the limit", used))
						}
						qt.Check(t, w.asked <= w.wanted, qt.IsTrue, qt.Commentf("%d messages for %d requests", w.asked, w.wanted))
					})
				}
			}
		}
	}
}

// TestLimitHoldsDuringPartitionRestartsAndLoss splits the fleet while both sides can reach the server, restarts VMs and
// drops messages.
func TestLimitHoldsDuringPartitionRestartsAndLoss(t *testing.T) {
	for _, vms := range []int{9, 81} {
		for _, limit := range []float64{0.3, 5, 40} {
			for seed := range uint64(8) {
				t.Run(fmt.Sprintf("vms=%d/limit=%g/seed=%d", vms, limit, seed), func(t *testing.T) {
					w := newSimulation(seed, evenRates(vms, 4*max(limit, 1)), constantLimit(limit))
					w.loss = 0.1
					begin, end := time.Duration(4+w.random.IntN(6))*time.Second, time.Duration(10+w.random.IntN(14))*time.Second
					w.side = func(vm int, at time.Duration) int {
						if at < begin || at > end {
							return 0
						}
						return vm % domainCount / 3
					}
					w.run(func(time.Duration) {
						if w.random.Float64() < simulationStep.Seconds() {
							w.startVM(w.vms[w.random.IntN(vms)])
						}
					})
					qt.Check(t, w.exceeded(), qt.Equals, 0)
				})
			}
		}
	}
}

// TestLimitHoldsWhileOwnersChange adds VMs in the server's failure domain one after the other. Each may become the owner
// of the tokens, and the others learn of it at different times.
func TestLimitHoldsWhileOwnersChange(t *testing.T) {
	for _, propagation := range []time.Duration{500 * time.Millisecond, 8 * time.Second} {
		for _, limit := range []float64{0.3, 5, 40} {
			for seed := range uint64(8) {
				t.Run(fmt.Sprintf("propagation=%s/limit=%g/seed=%d", propagation, limit, seed), func(t *testing.T) {
					w := newSimulation(seed, evenRates(60, 8*max(limit, 1)), constantLimit(limit))
					w.propagation = propagation
					for i := domainCount; i < len(w.vms); i += domainCount {
						w.vms[i].from = 4*time.Second + time.Duration(i/domainCount)*max(2*time.Second, propagation)
					}
					w.run(nil)
					qt.Check(t, w.exceeded(), qt.Equals, 0)
				})
			}
		}
	}
}

// TestChangingLimitHolds lets the limit change each second, and in each response.
func TestChangingLimitHolds(t *testing.T) {
	for name, period := range map[string]time.Duration{"each second": time.Second, "each response": simulationStep} {
		for _, vms := range []int{9, 81} {
			t.Run(fmt.Sprintf("%s/vms=%d", name, vms), func(t *testing.T) {
				values := []float64{8, 3, 12, 0.5, 6}
				w := newSimulation(1, evenRates(vms, 40), func(at time.Duration) pslimit.Limit {
					if at < 4*time.Second {
						return pslimit.Limit{}
					}
					return pslimit.Limit{Named: true, PerSecond: values[int(at/period)%len(values)]}
				})
				w.run(nil)
				qt.Check(t, w.exceeded(), qt.Equals, 0)
				qt.Check(t, w.received(8*time.Second, simulationSpan) > 3, qt.IsTrue)
			})
		}
	}
}

// TestWithdrawnLimitIsForgotten withdraws a limit, also one that let only trial requests pass.
func TestWithdrawnLimitIsForgotten(t *testing.T) {
	for _, vms := range []int{9, 300} {
		for _, limit := range []float64{0, 5} {
			t.Run(fmt.Sprintf("vms=%d/limit=%g", vms, limit), func(t *testing.T) {
				named := constantLimit(limit)
				w := newSimulation(1, evenRates(vms, 40), func(at time.Duration) pslimit.Limit {
					if at > 12*time.Second {
						return pslimit.Limit{}
					}
					return named(at)
				})
				w.run(nil)
				qt.Check(t, w.received(8*time.Second, 12*time.Second) < 1.1*max(limit, 0.5), qt.IsTrue)
				after := w.received(18*time.Second, simulationSpan)
				qt.Check(t, after > 35, qt.IsTrue, qt.Commentf("%.1f a second", after))
			})
		}
	}
}

// TestLimitOfEndedRunDoesNotBindNextOne restarts the server. The new run owes nothing to what the old one stated.
func TestLimitOfEndedRunDoesNotBindNextOne(t *testing.T) {
	w := newSimulation(1, evenRates(9, 40), constantLimit(0))
	wanted, sent := 0, 0
	w.run(func(at time.Duration) {
		if at != 12*time.Second {
			return
		}
		wanted, sent = w.wanted, len(w.arrivals)
		w.limit = func(time.Duration) pslimit.Limit { return pslimit.Limit{} }
		for _, v := range w.vms {
			e := v.server.Entry()
			e.Incarnation = time.UnixMilli(1)
			v.server, v.responses = psserver.New(e, v.server.Region, w.now), nil
		}
	})
	qt.Check(t, len(w.arrivals)-sent, qt.Equals, w.wanted-wanted)
}

// TestLimitIsUsedAgainAfterOwnersEnd ends the owner of the tokens for good. Its backup grants an eighth, and another
// owner takes over when its share is no longer reserved.
func TestLimitIsUsedAgainAfterOwnersEnd(t *testing.T) {
	w := newSimulation(1, evenRates(54, 60), constantLimit(10))
	owner, _ := w.snapshot(w.vms[0]).ServerTokenOwners(w.vms[0].server.Entry(), "region-0")
	for _, v := range w.vms {
		if v.identity.VM == owner.VM {
			v.until = 8 * time.Second
		}
	}
	w.run(nil)
	qt.Check(t, w.exceeded(), qt.Equals, 0)
	during, after := w.received(10*time.Second, 17*time.Second), w.received(20*time.Second, simulationSpan)
	qt.Check(t, during > 0.8, qt.IsTrue, qt.Commentf("%.1f a second", during))
	qt.Check(t, after > 0.8*10, qt.IsTrue, qt.Commentf("%.1f a second", after))
}

// TestExtremeLimits names limits at the ends of the range.
func TestExtremeLimits(t *testing.T) {
	w := newSimulation(1, evenRates(9, 40), constantLimit(1e300))
	w.run(nil)
	qt.Check(t, w.received(8*time.Second, simulationSpan) > 35, qt.IsTrue)
	w = newSimulation(1, evenRates(9, 40), constantLimit(1e-9))
	w.run(nil)
	qt.Check(t, w.received(8*time.Second, simulationSpan) < 0.5, qt.IsTrue)
}

// TestServerWithoutLimitNeedsNoToken checks that requests to a server without a limit cause no messages.
func TestServerWithoutLimitNeedsNoToken(t *testing.T) {
	w := newSimulation(1, evenRates(9, 40), func(time.Duration) pslimit.Limit { return pslimit.Limit{} })
	w.run(nil)
	qt.Check(t, w.asked, qt.Equals, 0)
	qt.Check(t, len(w.arrivals), qt.Equals, w.wanted)
}
