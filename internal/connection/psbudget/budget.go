// Package psbudget bounds the memory that a VM holds for the callers, backend servers and other VMs that it talks to.
//
// It answers this load: many clients each make the VM hold something that is legal on its own, such as a request header of
// many short lines or a response that is read slowly. One [Budget] is shared by the whole process. Each connection draws
// from it through an [Account], so that what is held can be attributed and the connection closed that holds most and
// makes no progress.
//
// Amounts are bytes as the program holds them, which is many times what the other end has sent where small values
// become objects of their own.
package psbudget

import (
	"context"
	"sync"
	"time"
)

const (
	// reserveFraction is the fraction of the budget that is left to accounts that hold at most smallHolding bytes, so
	// that ordinary requests are served while others hold the rest.
	reserveFraction = 0.25
	smallHolding    = 32 << 10
	// stallTime is how long an account must have made no progress before it can be evicted.
	stallTime = time.Second
)

// Budget bounds what all accounts hold together. It is safe for concurrent use.
type Budget struct {
	total int64
	now   func() time.Time

	mutex    sync.Mutex
	used     int64
	accounts map[*Account]struct{}
	refused  int64
	evicted  int64
}

// New returns a budget of a number of bytes. now returns the current time with a monotonic reading.
func New(total int64, now func() time.Time) *Budget {
	return &Budget{total: total, now: now, accounts: make(map[*Account]struct{})}
}

// Usage is the state of a budget.
type Usage struct {
	// Total and Used are in bytes.
	Total, Used int64
	// Accounts is the number of open accounts.
	Accounts int
	// Refused counts the amounts that were not granted, and Evicted the accounts that were evicted.
	Refused, Evicted int64
}

// Usage returns the current state.
func (b *Budget) Usage() Usage {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return Usage{Total: b.total, Used: b.used, Accounts: len(b.accounts), Refused: b.refused, Evicted: b.evicted}
}

// Open returns the account of a connection and its clean-up function, which returns all that the account holds. evict
// closes the connection, or spares the account. It is called on a goroutine of its own, and again only after [Account.Spare].
func (b *Budget) Open(evict func()) (*Account, func()) {
	a := &Account{budget: b, evict: evict, progressAt: b.now()}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.accounts[a] = struct{}{}
	return a, a.close
}

// Account is what is held for one connection. A nil account grants every amount.
type Account struct {
	budget *Budget
	evict  func()

	// The budget's mutex guards the fields below.
	held       int64
	progressAt time.Time
	evicted    bool
	closed     bool
}

// Take draws n bytes. It returns false if they are not available; another account, the one that holds most without
// making progress, is then evicted. It never blocks.
func (a *Account) Take(n int64) bool {
	if a == nil {
		return true
	}
	a.budget.mutex.Lock()
	defer a.budget.mutex.Unlock()
	if a.take(n) {
		return true
	}
	a.budget.refused++
	a.budget.evictStalled(a)
	return false
}

// TakeSpare draws n bytes that the caller can do without. If they are not available, no account is evicted.
func (a *Account) TakeSpare(n int64) bool {
	if a == nil {
		return true
	}
	a.budget.mutex.Lock()
	defer a.budget.mutex.Unlock()
	return a.take(n)
}

// take draws n bytes if they are available. The caller holds the mutex.
func (a *Account) take(n int64) bool {
	b := a.budget
	limit := b.total
	if a.held+n > smallHolding {
		limit -= int64(reserveFraction * float64(b.total))
	}
	if a.closed || b.used+n > limit {
		return false
	}
	b.used += n
	a.held += n
	return true
}

// Return gives back n bytes that were drawn before.
func (a *Account) Return(n int64) {
	if a == nil {
		return
	}
	a.budget.mutex.Lock()
	defer a.budget.mutex.Unlock()
	a.release(n)
}

// release gives back at most what is held. The caller holds the mutex.
func (a *Account) release(n int64) {
	n = min(n, a.held)
	a.held -= n
	a.budget.used -= n
}

// Progress records that the other end has sent or read something.
func (a *Account) Progress() {
	if a == nil {
		return
	}
	a.budget.mutex.Lock()
	defer a.budget.mutex.Unlock()
	a.progressAt = a.budget.now()
}

// Spare takes back an eviction that the account's connection hasn't followed, because its other end makes progress. The account
// can be evicted later.
func (a *Account) Spare() {
	a.budget.mutex.Lock()
	defer a.budget.mutex.Unlock()
	if a.evicted {
		a.evicted = false
		a.progressAt = a.budget.now()
		a.budget.evicted--
	}
}

func (a *Account) close() {
	b := a.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	a.release(a.held)
	a.closed = true
	delete(b.accounts, a)
}

// evictStalled evicts the account that holds most among those without progress, except for one that draws now. The caller
// holds the mutex.
func (b *Budget) evictStalled(drawing *Account) {
	now := b.now()
	var most *Account
	for a := range b.accounts {
		if a == drawing || a.evicted || a.held == 0 || now.Sub(a.progressAt) < stallTime {
			continue
		}
		if most == nil || a.held > most.held {
			most = a
		}
	}
	if most == nil {
		return
	}
	most.evicted = true
	b.evicted++
	go most.evict()
}

// accountKey is the context key of an account.
type accountKey struct{}

// With adds the account of a request's connection to the request's context.
func With(ctx context.Context, a *Account) context.Context {
	return context.WithValue(ctx, accountKey{}, a)
}

// Of returns the account of a request's connection; nil if there is none.
func Of(ctx context.Context) *Account {
	a, _ := ctx.Value(accountKey{}).(*Account)
	return a
}
