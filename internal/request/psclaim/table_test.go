package psclaim_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/process/psplatform"
	"persimmonstep/internal/process/psstandin"
)

// fault says what happens to a call of the table.
type fault int

const (
	faultNone fault = iota
	// faultRefused ends the call before it took effect, and says so.
	faultRefused
	// faultLostCall ends the call unknown; it took no effect.
	faultLostCall
	// faultLostAnswer ends the call unknown; it took effect.
	faultLostAnswer
	// faultLate ends the call unknown; it takes effect later.
	faultLate
	// faultNever does not answer before the context ends; it took no effect.
	faultNever
	// faultSlow delays the call and its effect.
	faultSlow
	// faultVerySlow delays the call beyond the wait for a claim.
	faultVerySlow
	faultKinds
)

const (
	callTimeout = 2 * time.Second
	slowDelay   = 300 * time.Millisecond
	longDelay   = 1500 * time.Millisecond
	lateDelay   = 5 * time.Second
)

var errLost = errors.New("the connection broke")

// table is one VM's view of the shared store, with faults.
type table struct {
	store *psstandin.Store
	late  *sync.WaitGroup

	mutex  sync.Mutex
	script []fault
	// next draws a fault when the script has ended; nil has none.
	next func() fault
	dead bool
	// commits counts the calls of Commit.
	commits int
}

func (t *table) set(f func()) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	f()
}

func (t *table) fault() fault {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	switch {
	case t.dead:
		return faultLostCall
	case len(t.script) > 0:
		f := t.script[0]
		t.script = t.script[1:]
		return f
	case t.next != nil:
		return t.next()
	}
	return faultNone
}

func (t *table) Commit(ctx context.Context, x psplatform.Transaction) (uint64, error) {
	t.set(func() { t.commits++ })
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch t.fault() {
	case faultRefused:
		return 0, &psplatform.UnavailableError{Cause: errLost}
	case faultLostCall:
		return 0, &psplatform.UnknownError{Cause: errLost}
	case faultLostAnswer:
		t.store.Commit(x)
		return 0, &psplatform.UnknownError{Cause: errLost}
	case faultLate:
		t.late.Go(func() {
			time.Sleep(rand.N(lateDelay))
			t.store.Commit(x)
		})
		return 0, &psplatform.UnknownError{Cause: errLost}
	case faultNever:
		<-ctx.Done()
		return 0, &psplatform.UnknownError{Cause: ctx.Err()}
	case faultSlow:
		time.Sleep(slowDelay)
	case faultVerySlow:
		time.Sleep(longDelay)
	}
	revision, refused := t.store.Commit(x)
	if refused != nil {
		return 0, &psplatform.RefusedError{Current: *refused}
	}
	return revision, nil
}

// wait lets the fault of a reading call happen.
func (t *table) wait(ctx context.Context) error {
	switch t.fault() {
	case faultRefused, faultLostCall, faultLostAnswer, faultLate:
		return &psplatform.UnavailableError{Cause: errLost}
	case faultNever:
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		<-ctx.Done()
		return ctx.Err()
	case faultSlow:
		time.Sleep(slowDelay)
	case faultVerySlow:
		time.Sleep(longDelay)
	}
	return nil
}

func (t *table) Read(ctx context.Context, keys ...string) ([]psplatform.Row, error) {
	if err := t.wait(ctx); err != nil {
		return nil, err
	}
	return t.store.Read(keys), nil
}

func (t *table) Scan(ctx context.Context, prefix, after string, limit int) ([]psplatform.Row, error) {
	if err := t.wait(ctx); err != nil {
		return nil, err
	}
	return t.store.Scan(prefix, after, limit), nil
}

func (t *table) Put(ctx context.Context, name string, content []byte) error {
	if err := t.wait(ctx); err != nil {
		return err
	}
	t.store.Put(name, content)
	return nil
}

func (t *table) Get(ctx context.Context, name string) ([]byte, error) {
	if err := t.wait(ctx); err != nil {
		return nil, err
	}
	content, found := t.store.Get(name)
	if !found {
		return nil, &psplatform.NotFoundError{Name: name}
	}
	return content, nil
}

func (t *table) Machines(context.Context) ([]psplatform.Machine, time.Duration, error) {
	return nil, 0, nil
}
