package psbudget

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/connection/pspeer"
	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

const (
	methodLoan   = "budget.loan"
	methodRecall = "budget.recall"
	// loanTimeout bounds a request for a loan, and recallTimeout a recall, which is made
	// while a request for a loan waits.
	loanTimeout   = 250 * time.Millisecond
	recallTimeout = 60 * time.Millisecond
)

// Handlers registers what answers other VMs.
type Handlers interface {
	Handle(method string, f pspeer.Handler)
}

// Register registers the methods by which other VMs borrow and call back.
func (b *Book) Register(h Handlers) {
	h.Handle(methodLoan, func(ctx context.Context, from psdoc.Name, params json.RawMessage) (any, error) {
		var in loanRequest
		if err := json.Unmarshal(params, &in); err != nil {
			return nil, errors.Wrap(err, "decode a request for a loan")
		}
		return b.answerLoan(ctx, from, in)
	})
	h.Handle(methodToken, b.answerToken)
	h.Handle(methodRecall, func(_ context.Context, from psdoc.Name, params json.RawMessage) (any, error) {
		var in recallRequest
		if err := json.Unmarshal(params, &in); err != nil {
			return nil, errors.Wrap(err, "decode a recall")
		}
		return b.answerRecall(from, in)
	})
}

// answerLoan lends. Where it has too little for a borrower whose requests wait, it first
// calls back what other borrowers do not need.
func (b *Book) answerLoan(ctx context.Context, from psdoc.Name, r loanRequest) (loanAnswer, error) {
	if r.Tokens < 0 {
		return loanAnswer{}, errors.New("negative tokens")
	}
	if r.Short {
		b.callBack(ctx, from, r)
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.now()
	v := b.shares.View()
	_, member := v.Plan.VM(from)
	_, known := wholeOf(v.Plan, r.Key)
	if !member || !known {
		return loanAnswer{}, errors.Errorf("VM %q or budget %q is not in the configuration", from, r.Key)
	}
	answer, err := b.account(r.Key).lend(borrower{vm: from, process: r.Process}, r, now)
	if err == nil {
		b.metrics.lent(answer)
		psevent.ShareLent.Log(b.logger, r.Key, from, answer.Grant.Rate, answer.Grant.Burst)
	}
	return answer, err
}

// callBack recalls loans if the borrower wants more than can be lent.
func (b *Book) callBack(ctx context.Context, from psdoc.Name, r loanRequest) {
	var recall []*psplan.VM
	b.mutex.Lock()
	now := b.now()
	v := b.shares.View()
	if a, found := b.accounts[r.Key]; found {
		a.held = v.Held
		a.fill(now)
		if most := a.lendable(a.lent[borrower{vm: from, process: r.Process}], now); !r.Want.less(most).empty() {
			for _, vm := range a.recalls(from, now) {
				if to, known := v.Plan.VM(vm); known {
					recall = append(recall, to)
				}
			}
		}
	}
	b.mutex.Unlock()
	var calls sync.WaitGroup
	for _, to := range recall {
		calls.Go(func() { b.recall(ctx, r.Key, to) })
	}
	calls.Wait()
}

// recall asks a borrower to give back what it does not need.
func (b *Book) recall(ctx context.Context, key psdoc.Name, to *psplan.VM) {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	var out recallAnswer
	err := b.peers.Call(ctx, pspeer.Peer{Name: to.Name, Address: to.Peer}, methodRecall, recallRequest{Key: key}, &out)
	b.metrics.called("recall", err)
	if err != nil || out.Tokens < 0 {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.now()
	a := b.account(key)
	a.yielded(borrower{vm: to.Name, process: out.Process}, out, now)
	b.serve(a)
}

func (b *Book) answerRecall(from psdoc.Name, r recallRequest) (recallAnswer, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	a, found := b.accounts[r.Key]
	if !found {
		return recallAnswer{}, errors.New("no loan to give back")
	}
	a.held = b.shares.View().Held
	out, err := a.yield(from, b.now())
	out.Process = b.process
	return out, err
}

// ask sends a request for a loan and takes in its answer.
func (b *Book) ask(ctx context.Context, q ask) {
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	var out loanAnswer
	err := b.peers.Call(ctx, pspeer.Peer{Name: q.to.Name, Address: q.to.Peer}, methodLoan, q.request, &out)
	if err == nil && out.Tokens < 0 {
		err = errors.New("negative tokens")
	}
	b.metrics.called("loan", err)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.now()
	a, found := b.accounts[q.request.Key]
	if !found {
		return
	}
	a.held = b.shares.View().Held
	a.answered(q, out, err, now)
	if err == nil {
		psevent.ShareBorrowed.Log(b.logger, a.key, q.to.Name, out.Grant.Rate, out.Grant.Burst)
	}
	b.serve(a)
	if len(a.waiting) > 0 {
		time.AfterFunc(a.retryAfter(now), func() { b.kick(q.request.Key) })
	}
}

// retryAfter returns how long until some lender may be asked again.
func (a *account) retryAfter(now time.Time) time.Duration {
	out := MaxWait
	for _, b := range a.borrowed {
		if b.pending == 0 {
			out = min(out, b.resume.Sub(now))
		}
	}
	return max(out, 0)
}
