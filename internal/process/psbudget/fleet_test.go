package psbudget

import (
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"persimmonstep/internal/process/psfence"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

var epoch = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// maxDrift is the greatest deviation of a clock's rate.
const maxDrift = 0.02

// fleet runs the accounts of one workspace on several VMs, with loss and delay of messages.
// It plays the part of the fences: it keeps their promises and nothing beyond them.
type fleet struct {
	now      time.Time
	nodes    []*node
	pending  []func()
	versions []version
	// current is the version that is applied; settledAt is when no VM acts on earlier ones.
	current   int
	settledAt time.Time
	strict    reference
	loose     reference
	spends    int
	loans     int
	adoptions int
	tokens    int
	// fault is what a token that was used broke.
	fault error
}

// version is a budget with its split.
type version struct {
	whole  Amount
	shares []float64
}

// node is one VM.
type node struct {
	index   int
	vm      *psplan.VM
	rate    float64
	account *account
	process int
	paused  bool
	// acting are the versions that the VM has to obey; none in its grace after a start.
	acting []int
	grace  time.Time
	// held is until when the fence holds, in the fleet's time; lost is when it was given up.
	held    time.Time
	adopter *node
	// free is when nobody uses the revocable part any more.
	free time.Time
}

// reference is a token bucket over the whole fleet.
type reference struct {
	whole Amount
	level float64
	last  time.Time
}

func (r *reference) spend(now time.Time) error {
	r.level = max(0, r.level-now.Sub(r.last).Seconds()*r.whole.Rate*(1+maxDrift)) + 1
	r.last = now
	if r.level > r.whole.Burst+0.001 {
		return fmt.Errorf("the fleet spends %.3f above its rate with a burst of %.3f", r.level, r.whole.Burst)
	}
	return nil
}

func newFleet(vms int, rate func() float64, versions ...version) *fleet {
	f := &fleet{now: epoch, versions: versions}
	f.strict = reference{whole: versions[0].whole, last: epoch}
	f.loose = f.strict
	for i := range vms {
		n := &node{index: i, vm: &psplan.VM{Name: psdoc.Name(fmt.Sprintf("vm-%d", i))}, rate: rate()}
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		f.start(n)
		n.grace, n.acting = epoch, []int{0}
		f.restand(n)
	}
	return f
}

func (f *fleet) local(n *node) time.Time {
	return epoch.Add(time.Duration(float64(f.now.Sub(epoch)) * n.rate))
}

// at turns a time of the fleet into one of a VM.
func (n *node) at(t time.Time) time.Time {
	return epoch.Add(time.Duration(float64(t.Sub(epoch)) * n.rate))
}

func (f *fleet) start(n *node) {
	n.process++
	n.account = newAccount("w", n.vm.Name, f.local(n))
	n.acting, n.grace = nil, f.now.Add(Drain)
	for _, v := range f.nodes {
		if v != n {
			n.account.lenders = append(n.account.lenders, lender{vm: v.vm, distance: v.index % 3})
		}
	}
	n.account.rank()
}

// part is the smallest share of a VM in the versions that another one obeys.
func (f *fleet) part(n, of *node) float64 {
	out := 1.0
	for _, v := range n.acting {
		out = min(out, f.versions[v].shares[of.index])
	}
	return out
}

func (f *fleet) restand(n *node) {
	var s standing
	whole := Amount{}
	if len(n.acting) > 0 {
		whole = f.versions[n.acting[len(n.acting)-1]].whole
		mine := f.part(n, n)
		s.retained = Amount{Rate: psfence.Retained * mine * whole.Rate, Burst: mine * whole.Burst}
		s.revocable = (1 - psfence.Retained) * mine * whole.Rate
		for _, x := range f.nodes {
			if x.adopter == n {
				s.adopted += (1 - psfence.Retained) * f.part(n, x) * whole.Rate
			}
		}
	}
	for i := range n.account.lenders {
		n.account.lenders[i].base = whole.times(1 / float64(len(f.nodes)))
	}
	held := n.account.held
	n.account.setStanding(s, whole, held, f.local(n))
}

// fence renews the fence of a VM if nobody else may use its part.
func (f *fleet) fence(n *node) {
	if n.adopter != nil {
		n.adopter, n.free = nil, f.now.Add(Drain)
		for _, v := range f.nodes {
			f.restand(v)
		}
	}
	if f.now.Before(n.free) || n.paused {
		return
	}
	held := psfence.Span{Since: f.local(n), Until: f.local(n).Add(psfence.Term)}
	if !n.account.held.Until.Before(held.Since) {
		held.Since = n.account.held.Since
	}
	n.account.held = held
	n.held = f.now.Add(time.Duration(float64(psfence.Term) * (1 + 2*maxDrift)))
}

// adopt gives a VM's revocable part to another one once every loan of it has run out.
func (f *fleet) adopt(n, by *node) {
	if n == by || n.adopter != nil || f.now.Before(n.held.Add(Drain)) || f.now.Before(n.free) || len(by.acting) == 0 {
		return
	}
	n.adopter, n.free = by, f.now.Add(24*time.Hour)
	f.adoptions++
	f.restand(by)
}

// apply makes the next version current once the last one is settled.
func (f *fleet) apply() {
	if f.current+1 >= len(f.versions) || f.settledAt.IsZero() && f.current > 0 {
		return
	}
	f.current++
	f.settledAt = time.Time{}
	f.strict.whole = f.versions[f.current].whole.larger(f.versions[f.current-1].whole)
	f.loose.whole = f.loose.whole.larger(f.strict.whole)
}

// learn puts the current version in force at a VM.
func (f *fleet) learn(n *node) {
	if len(n.acting) > 0 && n.acting[len(n.acting)-1] < f.current {
		n.acting = append(n.acting, f.current)
		f.restand(n)
	}
}

// settle ends the use of earlier versions when all VMs have the current one and the loans
// of before have run out.
func (f *fleet) settle() {
	for _, n := range f.nodes {
		if len(n.acting) == 0 && !f.now.Before(n.grace) {
			n.acting = []int{f.current}
			if f.current > 0 && f.settledAt.IsZero() {
				n.acting = []int{f.current - 1, f.current}
			}
			f.restand(n)
		}
		if len(n.acting) == 0 || n.acting[len(n.acting)-1] < f.current {
			return
		}
	}
	if f.settledAt.IsZero() {
		f.settledAt = f.now.Add(Drain)
	}
	if f.now.Before(f.settledAt) {
		return
	}
	for _, n := range f.nodes {
		if len(n.acting) > 1 {
			n.acting = []int{f.current}
			f.strict = reference{whole: f.versions[f.current].whole, last: f.now}
			f.restand(n)
		}
	}
}

// upkeep sends what the account of a VM wants to ask.
func (f *fleet) upkeep(n *node) {
	process := n.process
	for _, q := range n.account.asks(fmt.Sprint(process), f.local(n)) {
		f.loans++
		f.send(f.node(q.to.Name), func(to *node) {
			answer, err := to.account.lend(borrower{vm: n.vm.Name, process: q.request.Process}, q.request, f.local(to))
			f.send(n, func(n *node) {
				if n.process == process {
					n.account.answered(q, answer, err, f.local(n))
				}
			})
		})
	}
}

// timeOut ends a request without an answer.
func (f *fleet) timeOut(n *node) {
	for _, l := range n.account.lenders {
		if b := n.account.borrowed[l.vm.Name]; b != nil && b.pending != 0 {
			q := ask{to: l.vm, request: loanRequest{Sequence: b.pending}, sent: f.local(n)}
			n.account.answered(q, loanAnswer{}, errors.New("timeout"), f.local(n))
		}
	}
}

func (f *fleet) recall(n *node) {
	process := n.process
	for _, vm := range n.account.recalls("", f.local(n)) {
		f.send(f.node(vm), func(to *node) {
			out, err := to.account.yield(n.vm.Name, f.local(to))
			from := borrower{vm: to.vm.Name, process: fmt.Sprint(to.process)}
			f.send(n, func(n *node) {
				if err == nil && n.process == process {
					n.account.yielded(from, out, f.local(n))
				}
			})
		})
	}
}

// token has a VM ask another one for a token and use it if it comes in time.
func (f *fleet) token(n, of *node) {
	process, sent := n.process, f.local(n)
	f.send(of, func(of *node) {
		if !of.account.give(f.local(of)) {
			return
		}
		f.tokens++
		f.send(n, func(n *node) {
			if n.process == process && f.local(n).Sub(sent) < tokenLife && f.fault == nil {
				f.fault = f.enter()
			}
		})
	})
}

// enter counts one spend of the fleet.
func (f *fleet) enter() error {
	f.spends++
	if err := f.strict.spend(f.now); err != nil {
		return err
	}
	return f.loose.spend(f.now)
}

func (f *fleet) node(name psdoc.Name) *node {
	for _, n := range f.nodes {
		if n.vm.Name == name {
			return n
		}
	}
	panic("unknown VM")
}

// send delivers a step to a VM, later or never.
func (f *fleet) send(n *node, step func(n *node)) {
	f.pending = append(f.pending, func() {
		if !n.paused {
			step(n)
		}
	})
}

func (f *fleet) spend(n *node, times int) error {
	for range times {
		n.account.demand.arrive(1, f.local(n))
		if !n.account.spend(1, f.local(n)) {
			return nil
		}
		if err := f.enter(); err != nil {
			return err
		}
	}
	return f.fault
}

// check compares the limits of all VMs together with the whole.
func (f *fleet) check() error {
	var sum Amount
	for _, n := range f.nodes {
		n.account.fill(f.local(n))
		if n.account.tokens > n.account.limit.Burst+dust {
			return fmt.Errorf("%s holds %.3f tokens with a burst of %.3f", n.vm.Name, n.account.tokens, n.account.limit.Burst)
		}
		sum = sum.plus(n.account.limit)
	}
	if whole := f.strict.whole; sum.Rate > whole.Rate+0.001 || sum.Burst > whole.Burst+0.001 {
		return fmt.Errorf("the limits add up to %v of %v", sum, whole)
	}
	return nil
}

// spendAll takes every token that there is.
func (f *fleet) spendAll() error {
	for _, n := range f.nodes {
		if err := f.spend(n, 100); err != nil {
			return err
		}
	}
	return nil
}

// pause stops one VM and lets the others go on, or all if it is stopped already.
func (f *fleet) pause(n *node) {
	was := n.paused
	for _, v := range f.nodes {
		v.paused = false
	}
	n.paused = !was
}

// deliver carries out what is pending, in any order, but for what is lost or held back.
func (f *fleet) deliver(t *rapid.T, rounds int) {
	held := rapid.IntRange(0, 2).Draw(t, "held")
	for range rounds {
		if len(f.pending) <= held {
			return
		}
		i := rapid.IntRange(0, len(f.pending)-1).Draw(t, "next")
		step := f.pending[i]
		f.pending = append(f.pending[:i:i], f.pending[i+1:]...)
		if rapid.IntRange(0, 9).Draw(t, "lost") > 0 {
			step()
		}
	}
}

func TestFleetKeepsRateAndBurst(t *testing.T) {
	var spends, loans, adoptions, tokens int
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(4, func() float64 { return rapid.Float64Range(1-maxDrift, 1+maxDrift).Draw(t, "drift") },
			version{Amount{20, 10}, []float64{0.25, 0.25, 0.25, 0.25}},
			version{Amount{20, 10}, []float64{0.4, 0.2, 0.4, 0}},
			version{Amount{60, 6}, []float64{0.1, 0.2, 0.3, 0.4}},
			version{Amount{30, 12}, []float64{0.1, 0.2, 0.3, 0.4}},
		)
		pick := func() *node { return f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "vm")] }
		check := func(err error) {
			if err != nil {
				t.Fatal(err)
			}
		}
		live := func(t *rapid.T) {
			hot, step := pick(), time.Duration(rapid.IntRange(5, 300).Draw(t, "ms"))*time.Millisecond
			for range rapid.IntRange(3, 20).Draw(t, "rounds") {
				f.now = f.now.Add(step)
				f.settle()
				for _, n := range f.nodes {
					f.fence(n)
					if !n.paused {
						f.upkeep(n)
					}
				}
				for range rapid.IntRange(0, 3).Draw(t, "tokens") {
					f.token(hot, pick())
				}
				f.deliver(t, 20)
				check(f.spend(hot, 12))
				if rapid.Bool().Draw(t, "checked") {
					check(f.check())
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"live": live, "liveOn": live, "liveLong": live, "liveLonger": live,
			"wait": func(t *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				f.settle()
			},
			"adopt": func(t *rapid.T) {
				n, by := pick(), pick()
				f.now = f.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
				f.adopt(n, by)
			},
			"tokens": func(t *rapid.T) {
				for range 10 {
					f.token(pick(), pick())
				}
				f.deliver(t, 30)
				f.now = f.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
				check(f.spendAll())
			},
			"spend":   func(*rapid.T) { check(f.spendAll()) },
			"check":   func(*rapid.T) { check(f.check()) },
			"deliver": func(t *rapid.T) { f.deliver(t, 5) },
			"timeOut": func(*rapid.T) { f.timeOut(pick()) },
			"recall":  func(*rapid.T) { f.recall(pick()) },
			"pause":   func(*rapid.T) { f.pause(pick()) },
			"restart": func(*rapid.T) { f.start(pick()) },
			"apply":   func(*rapid.T) { f.apply() },
			"learn": func(*rapid.T) {
				for _, n := range f.nodes {
					if rapid.Bool().Draw(t, "learns") {
						f.learn(n)
					}
				}
			},
		})
		spends, loans, adoptions, tokens = spends+f.spends, loans+f.loans, adoptions+f.adoptions, tokens+f.tokens
	})
	c := qt.New(t)
	c.Assert(min(spends, loans, adoptions, tokens) > 0, qt.IsTrue, qt.Commentf("%d spends, %d loans, %d adoptions, %d tokens", spends, loans, adoptions, tokens))
}
