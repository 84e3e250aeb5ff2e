package psbudget

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

const (
	// Term is how long a loan lasts for the borrower, from before it asked.
	Term = time.Second
	// Margin is how much longer a loan lasts for the lender; it covers the drift of clocks.
	Margin = 100 * time.Millisecond
	// Drain is the longest time for which a loan can outlast the right to what is lent.
	Drain = Term + 2*Margin

	// renewAhead is how long before a loan's end it is renewed.
	renewAhead = Term / 2
	// lendingMemory is how long a lender remembers a borrower without a loan.
	lendingMemory = 10 * time.Second
	// spareMemory is how long a shown spare is believed.
	spareMemory = time.Second
	// firstPause and longestPause bound the time before a lender with nothing to spare, or
	// without an answer, is asked again.
	firstPause   = 10 * time.Millisecond
	longestPause = time.Second
	// recallPause is the time between two recalls of the same budget.
	recallPause = 15 * time.Millisecond
	// headroom is how much more than its demand a VM tries to hold.
	headroom = 1.25
	// reserveSpan is the time for whose expected arrivals a lender keeps tokens.
	reserveSpan = 300 * time.Millisecond
	// minBurst is the burst that a VM with demand tries to hold.
	minBurst = 2
	// shrinkPart is the part of a loan that may be unneeded before it is given back.
	shrinkPart = 0.5
)

// loanRequest asks for a loan, renews it or gives it back.
type loanRequest struct {
	Key psdoc.Name `json:"key"`
	// Process identifies the borrower's process; a new one holds nothing of an earlier one.
	Process string `json:"process"`
	// Sequence grows with each request of the process to the lender for the workspace.
	Sequence uint64 `json:"sequence"`
	// Hold is what the borrower holds until the request is answered.
	Hold Amount `json:"hold"`
	// Want is what it wants to hold then.
	Want Amount `json:"want"`
	// Tokens are given back; the borrower holds them no more.
	Tokens float64 `json:"tokens,omitempty"`
	// Short says that requests wait at the borrower.
	Short bool `json:"short,omitempty"`
}

// loanAnswer grants a loan for one term.
type loanAnswer struct {
	Grant Amount `json:"grant"`
	// Tokens come with the loan.
	Tokens float64 `json:"tokens,omitempty"`
	// Spare is what the lender could lend besides.
	Spare Amount `json:"spare"`
}

// borrower identifies a process that borrows.
type borrower struct {
	vm      psdoc.Name
	process string
}

// lending is what one borrower may hold, as the lender sees it.
type lending struct {
	sequence uint64
	touched  time.Time
	// entries are what the borrower may hold until when; it may hold any one of them.
	entries []lendingEntry
}

type lendingEntry struct {
	amount  Amount
	expires time.Time
}

func (l *lending) expire(now time.Time) {
	l.entries = slices.DeleteFunc(l.entries, func(e lendingEntry) bool { return !now.Before(e.expires) })
}

// amount returns the most that the borrower may hold.
func (l *lending) amount() Amount {
	var out Amount
	for _, e := range l.entries {
		out = out.larger(e.amount)
	}
	return out
}

// next returns when the amount may change by itself.
func (l *lending) next() time.Time {
	var out time.Time
	for _, e := range l.entries {
		out = earlier(out, e.expires)
	}
	return out
}

func (l *lending) last() time.Time {
	var out time.Time
	for _, e := range l.entries {
		if e.expires.After(out) {
			out = e.expires
		}
	}
	return out
}

// borrowing is what this VM holds from one lender.
type borrowing struct {
	amount  Amount
	expires time.Time
	// sequence is that of the latest request.
	sequence uint64
	// pending is the sequence of the request under way; 0 when there is none.
	pending uint64
	spare   Amount
	shown   time.Time
	pause   time.Duration
	resume  time.Time
}

// lender is a VM that holds a base share.
type lender struct {
	vm *psplan.VM
	// distance is 0 in the same failure domain, 1 in the same region and 2 elsewhere.
	distance int
	// base is its share.
	base Amount
}

// lendable returns the most that a borrower may hold: this VM's own part beyond its own
// needs and beyond what others hold. It can be less than the borrower holds already.
func (a *account) lendable(to *lending, now time.Time) Amount {
	own, _ := a.standing.own(a.held, now)
	for _, l := range a.lent {
		if l != to {
			own = own.less(l.amount())
		}
	}
	return own.less(a.needs(now))
}

// needs returns what this VM keeps for its own requests.
func (a *account) needs(now time.Time) Amount {
	if len(a.waiting) == 0 && a.poolOf(now) != nil {
		return Amount{}
	}
	present := a.demand.present(now)
	return Amount{Rate: headroom * present, Burst: math.Max(present*reserveSpan.Seconds(), float64(len(a.waiting)))}
}

// lend answers a request for a loan. What is lent leaves this VM's limits at once.
func (a *account) lend(from borrower, r loanRequest, now time.Time) (loanAnswer, error) {
	a.fill(now)
	a.used = now
	l := a.lent[from]
	if l == nil {
		l = &lending{}
		a.lent[from] = l
	}
	if r.Sequence <= l.sequence {
		return loanAnswer{}, errors.New("the request was overtaken by a later one")
	}
	l.sequence, l.touched = r.Sequence, now
	a.giveBack(l, r.Hold, r.Tokens, now)
	hold := l.amount()
	most := a.lendable(l, now)
	grant := r.Want.smaller(most)
	if grant.empty() {
		grant = Amount{}
	}
	tokens := math.Min(math.Max(0, a.tokens), math.Max(0, grant.Burst-hold.Burst))
	l.entries = append(l.entries, lendingEntry{amount: grant, expires: now.Add(Term + Margin)})
	a.tokens -= tokens
	a.relimit(now)
	return loanAnswer{Grant: grant, Tokens: tokens, Spare: most.less(grant)}, nil
}

// giveBack takes in what a borrower holds no more. The tokens count only as far as their
// burst was still lent.
func (a *account) giveBack(l *lending, hold Amount, tokens float64, now time.Time) {
	l.expire(now)
	before, last := l.amount(), l.last()
	hold = hold.smaller(before)
	l.entries = nil
	if !hold.empty() {
		l.entries = []lendingEntry{{amount: hold, expires: last}}
	}
	a.relimit(now)
	a.tokens = math.Min(a.limit.Burst, a.tokens+math.Min(tokens, math.Max(0, before.Burst-hold.Burst)))
}

// target returns what this VM wants to hold in all, own and borrowed.
func (a *account) target(now time.Time) Amount {
	expected := a.demand.expected(now)
	if expected < dust && len(a.waiting) == 0 {
		return Amount{}
	}
	if len(a.waiting) == 0 && a.poolOf(now) != nil {
		// The tokens come from the pool, one by one.
		return Amount{}
	}
	rate := math.Min(a.whole.Rate, headroom*expected)
	if a.demand.silent(now) {
		rate = math.Min(rate, a.limit.Rate)
	}
	burst := math.Max(minBurst, a.whole.Burst*rate/math.Max(a.whole.Rate, dust))
	if a.pooled() {
		rate, burst = a.whole.Rate, a.whole.Burst
	}
	if n := float64(len(a.waiting)); n > 0 {
		burst = math.Max(burst, a.limit.Burst+n-a.tokens)
	}
	return Amount{Rate: rate, Burst: math.Min(a.whole.Burst, burst)}
}

// ask is a request that is to be sent to a lender.
type ask struct {
	to      *psplan.VM
	request loanRequest
	sent    time.Time
}

// asks decides which loans to ask for, renew and give back now. What they give back has
// left this VM's limits when the call returns.
func (a *account) asks(process string, now time.Time) []ask {
	a.fill(now)
	target := a.target(now)
	own, _ := a.own(now)
	missing := target.less(own)
	a.order(now)
	var out []ask
	for _, l := range a.lenders {
		b := a.borrowed[l.vm.Name]
		wanted := a.wanted(l, b, missing, now)
		missing = missing.less(b.likely(wanted, now))
		if !a.due(b, wanted, now) {
			continue
		}
		out = append(out, a.request(l, wanted, process, now))
	}
	return out
}

// returns gives all loans back.
func (a *account) returns(process string, now time.Time) []ask {
	a.fill(now)
	var out []ask
	for _, l := range a.lenders {
		b := a.borrowed[l.vm.Name]
		if b != nil && b.pending == 0 && now.Before(b.expires) && !b.amount.empty() {
			out = append(out, a.request(l, Amount{}, process, now))
		}
	}
	return out
}

// order puts near lenders first, and of these the ones that showed most spare.
func (a *account) order(now time.Time) {
	spare := func(l lender) float64 {
		b := a.borrowed[l.vm.Name]
		if b == nil || now.Sub(b.shown) > spareMemory {
			return l.base.Rate
		}
		return b.spare.Rate + b.amount.Rate
	}
	slices.SortStableFunc(a.lenders, func(x, y lender) int {
		return cmp.Or(cmp.Compare(x.distance, y.distance), cmp.Compare(spare(y), spare(x)))
	})
}

// wanted returns how much of what is missing to hold from a lender.
func (a *account) wanted(l lender, b *borrowing, missing Amount, now time.Time) Amount {
	likely := l.base
	if b != nil {
		held := Amount{}
		if now.Before(b.expires) {
			held = b.amount
		}
		switch {
		case now.Before(b.resume):
			likely = held
		case now.Sub(b.shown) <= spareMemory:
			likely = held.plus(b.spare).larger(held)
		}
		if len(a.waiting) > 0 && !now.Before(b.resume) {
			likely = likely.larger(l.base)
		}
	}
	return missing.smaller(likely)
}

// due reports whether a lender is to be asked now.
func (a *account) due(b *borrowing, wanted Amount, now time.Time) bool {
	if b == nil || !now.Before(b.expires) {
		return !wanted.empty() && (b == nil || b.pending == 0 && !now.Before(b.resume))
	}
	if b.pending != 0 || b.amount.empty() && wanted.empty() {
		return false
	}
	unneeded := wanted.Rate < shrinkPart*b.amount.Rate || wanted.Burst < shrinkPart*b.amount.Burst
	if b.expires.Sub(now) <= renewAhead || unneeded {
		return true
	}
	grows := !wanted.less(b.amount).less(b.amount.times(0.05)).empty()
	return grows && !now.Before(b.resume)
}

// request makes the request for a loan. What is no longer wanted goes at once.
func (a *account) request(l lender, wanted Amount, process string, now time.Time) ask {
	b := a.borrowed[l.vm.Name]
	if b == nil {
		b = &borrowing{}
		a.borrowed[l.vm.Name] = b
	}
	if !now.Before(b.expires) {
		b.amount = Amount{}
	}
	a.sequence++
	b.sequence, b.pending = a.sequence, a.sequence
	tokens := a.lower(b, wanted, now)
	return ask{to: l.vm, sent: now, request: loanRequest{
		Key: a.key, Process: process, Sequence: b.sequence,
		Hold: b.amount, Want: wanted, Tokens: tokens, Short: len(a.waiting) > 0,
	}}
}

// lower gives up a part of a loan and returns the tokens that do not fit any more.
func (a *account) lower(b *borrowing, to Amount, now time.Time) float64 {
	before, tokens := b.amount, a.tokens
	b.amount = b.amount.smaller(to)
	a.relimit(now)
	return math.Max(0, math.Min(tokens-a.tokens, before.Burst-b.amount.Burst))
}

// answered takes in the end of a request. An answer that is too late is worth nothing.
func (a *account) answered(q ask, answer loanAnswer, err error, now time.Time) {
	b := a.borrowed[q.to.Name]
	if b == nil || b.pending != q.request.Sequence {
		return
	}
	a.fill(now)
	b.pending = 0
	if err != nil {
		b.hesitate(now)
		return
	}
	b.spare, b.shown = answer.Spare, now
	b.amount, b.expires = answer.Grant, q.sent.Add(Term)
	if b.amount.empty() || !q.request.Want.less(answer.Grant).empty() && answer.Spare.empty() {
		b.hesitate(now)
	} else {
		b.pause = 0
	}
	if now.Before(b.expires) {
		a.relimit(now)
		a.tokens = math.Min(a.limit.Burst, a.tokens+answer.Tokens)
	}
}

// recallRequest asks a borrower to give back what it does not need.
type recallRequest struct {
	Key psdoc.Name `json:"key"`
}

// recallAnswer says what the borrower holds now.
type recallAnswer struct {
	Process string `json:"process"`
	// Sequence is that of the borrower's latest request; the answer counts only as long as
	// the lender has seen no later one.
	Sequence uint64  `json:"sequence"`
	Hold     Amount  `json:"hold"`
	Tokens   float64 `json:"tokens,omitempty"`
}

// recalls lists the VMs that should give back now, or none if it is too soon.
func (a *account) recalls(but psdoc.Name, now time.Time) []psdoc.Name {
	if now.Sub(a.recalled) < recallPause {
		return nil
	}
	var out []psdoc.Name
	for b, l := range a.lent {
		if b.vm != but && !l.amount().empty() {
			out = append(out, b.vm)
		}
	}
	if len(out) > 0 {
		a.recalled = now
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// yield gives back what is not needed of a loan.
func (a *account) yield(to psdoc.Name, now time.Time) (recallAnswer, error) {
	a.fill(now)
	b := a.borrowed[to]
	if b == nil || b.pending != 0 || !now.Before(b.expires) {
		return recallAnswer{}, errors.New("no loan to give back")
	}
	tokens := a.lower(b, b.amount.less(a.limit.less(a.needs(now))), now)
	return recallAnswer{Sequence: b.sequence, Hold: b.amount, Tokens: tokens}, nil
}

// yielded takes in what a borrower gave back.
func (a *account) yielded(from borrower, r recallAnswer, now time.Time) {
	a.fill(now)
	if l := a.lent[from]; l != nil && l.sequence == r.Sequence {
		a.giveBack(l, r.Hold, r.Tokens, now)
	}
}

// likely returns what of the wanted amount can be counted on: nothing beyond what is held
// where the lender gave less than was asked, or no answer, the last time.
func (b *borrowing) likely(wanted Amount, now time.Time) Amount {
	switch {
	case b == nil || b.pause == 0:
		return wanted
	case now.Before(b.expires):
		return wanted.smaller(b.amount)
	}
	return Amount{}
}

// hesitate puts off the next request for more.
func (b *borrowing) hesitate(now time.Time) {
	b.pause = min(longestPause, max(firstPause, 2*b.pause))
	b.resume = now.Add(b.pause)
}
