package psclaim

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/process/psplatform"
)

const (
	// maxBatch bounds the claims of one transaction.
	maxBatch = 64
	// minBackoff and maxBackoff bound the wait after a transaction that did not end well.
	minBackoff = 10 * time.Millisecond
	maxBackoff = time.Second
	// maxRefusals is the number of refused transactions in a row after which there is a wait;
	// more than that without progress come from stale reads.
	maxRefusals = 3
	// drainTimeout bounds the settling of writes when the VM stops.
	drainTimeout = 2 * time.Second
)

// write is the change of one claim's row that waits for a group commit.
//
// Its condition is the revision that the row had before. A row's revision never returns,
// so a write that was sent twice takes effect at most once, and the nonce tells afterwards
// whether it did.
type write struct {
	key      string
	revision uint64
	record   record
	// settled is called once by the committer, with no lock held.
	settled func(outcome)

	mutex     sync.Mutex
	abandoned bool
	ended     bool

	// doubtful says that a commit with this write ended unknown and may take effect late.
	doubtful bool
	// stale says that the row must be read before the next commit.
	stale bool
}

// outcome says how a write ended.
type outcome struct {
	// won says that the row holds the write's record at the revision.
	won      bool
	revision uint64
	// epoch is that of the record as it was written.
	epoch uint64
	// current is the row that was in the way, if the write was lost.
	current psplatform.Row
	// outage says that the write was given up because the platform is down; it certainly
	// took no effect.
	outage bool
}

// abandon gives up an insert whose caller will not wait longer, and reports false if it
// has ended already. The committer then sees to it that the row is or becomes released.
func (w *write) abandon() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.ended {
		return false
	}
	w.abandoned = true
	return true
}

func (w *write) isAbandoned() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.abandoned
}

// end settles the write. An insert that wins after it was abandoned goes on to be released.
func (w *write) end(o outcome) (ended bool) {
	w.mutex.Lock()
	if w.abandoned && o.won && w.record.State == stateRunning {
		w.mutex.Unlock()
		w.record.State, w.revision = stateReleased, o.revision
		return false
	}
	w.ended = true
	w.mutex.Unlock()
	w.settled(o)
	return true
}

// committer sends writes in group commits, one transaction at a time.
type committer struct {
	table       psplatform.Table
	incarnation string
	observe     func(batch int, err error)

	mutex    sync.Mutex
	incoming []*write
	notify   chan struct{}

	// What follows belongs to the goroutine of run.
	queue      []*write
	epoch      uint64
	epochRow   uint64
	epochStale bool
	sequence   uint64
	backoff    time.Duration
	// refusals counts the refused transactions since a write last ended.
	refusals int
}

func newCommitter(t psplatform.Table, incarnation string, observe func(int, error)) *committer {
	return &committer{table: t, incarnation: incarnation, observe: observe, notify: make(chan struct{}, 1), epochStale: true}
}

func (c *committer) submit(w *write) {
	c.mutex.Lock()
	c.incoming = append(c.incoming, w)
	c.mutex.Unlock()
	select {
	case c.notify <- struct{}{}:
	default:
	}
}

func (c *committer) take() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.queue = append(c.queue, c.incoming...)
	c.incoming = nil
}

// run commits until the context ends and then for a bounded time what is left.
func (c *committer) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.take()
		if len(c.queue) == 0 {
			select {
			case <-c.notify:
			case <-ctx.Done():
			}
			continue
		}
		c.step(ctx)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
	defer cancel()
	for c.take(); len(c.queue) > 0 && ctx.Err() == nil; c.take() {
		c.step(ctx)
	}
}

// step tries to bring the first writes of the queue to their end.
func (c *committer) step(ctx context.Context) {
	c.dropAbandoned()
	batch := c.queue[:min(maxBatch, len(c.queue))]
	rest := c.queue[len(batch):]
	left, err := c.attempt(ctx, batch)
	// Writes that came later go first, so that one that cannot be settled holds up none.
	c.queue = append(append([]*write(nil), rest...), left...)
	switch {
	case err == nil && c.refusals <= maxRefusals:
		c.backoff = 0
		return
	case psplatform.IsOutage(err):
		c.giveUpInserts()
	}
	c.backoff = min(max(2*c.backoff, minBackoff), maxBackoff)
	t := time.NewTimer(c.backoff)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// dropAbandoned ends abandoned inserts that certainly took no effect and turns the others
// into releases.
func (c *committer) dropAbandoned() {
	c.filter(func(w *write) bool {
		if !w.isAbandoned() || w.record.State != stateRunning {
			return true
		}
		if !w.doubtful {
			return !w.end(outcome{outage: true})
		}
		w.record.State, w.stale = stateReleased, true
		return true
	})
}

// giveUpInserts ends the inserts that certainly took no effect.
func (c *committer) giveUpInserts() {
	c.take()
	c.filter(func(w *write) bool {
		return w.doubtful || w.record.State != stateRunning || !w.end(outcome{outage: true})
	})
}

func (c *committer) filter(keep func(*write) bool) {
	var out []*write
	for _, w := range c.queue {
		if keep(w) {
			out = append(out, w)
		}
	}
	c.queue = out
}

// attempt reads what must be read, commits what may be committed, and returns the writes
// that have not ended.
func (c *committer) attempt(ctx context.Context, batch []*write) ([]*write, error) {
	batch, err := c.refresh(ctx, batch)
	if err != nil || len(batch) == 0 {
		return batch, err
	}
	revision, err := c.table.Commit(ctx, c.transaction(batch))
	c.observe(len(batch), err)
	var refused *psplatform.RefusedError
	switch {
	case err == nil:
		c.refusals = 0
		return c.endWon(batch, revision), nil
	case errors.As(err, &refused):
		c.refusals++
		c.epochStale = c.epochStale || refused.Current.Key == epochKey
		markStale(batch)
		return batch, nil
	case psplatform.IsUnknown(err):
		markStale(batch)
		for _, w := range batch {
			w.doubtful = true
		}
	}
	return batch, err
}

func markStale(batch []*write) {
	for _, w := range batch {
		w.stale = true
	}
}

func (c *committer) endWon(batch []*write, revision uint64) (left []*write) {
	for _, w := range batch {
		if !w.end(outcome{won: true, revision: revision, epoch: w.record.Epoch}) {
			left = append(left, w)
		}
	}
	return left
}

// refresh reads the epoch and the rows of stale writes, ends the writes whose end the rows
// show, and returns the others, which may be committed.
func (c *committer) refresh(ctx context.Context, batch []*write) ([]*write, error) {
	var keys []string
	for _, w := range batch {
		if w.stale {
			keys = append(keys, w.key)
		}
	}
	if len(keys) == 0 && !c.epochStale {
		return batch, nil
	}
	rows, err := c.table.Read(ctx, append(keys, epochKey)...)
	if err != nil {
		return batch, errors.Wrap(err, "read claims")
	}
	last := rows[len(rows)-1]
	if c.epoch, err = decodeEpoch(last); err != nil {
		return batch, err
	}
	c.epochRow, c.epochStale = last.Revision, false
	var left []*write
	for _, w := range batch {
		if w.stale {
			row := rows[0]
			rows = rows[1:]
			w.stale = false
			if c.classify(w, row) {
				continue
			}
		}
		left = append(left, w)
	}
	if len(left) < len(batch) {
		c.refusals = 0
	}
	return left, nil
}

// classify ends a write whose row shows how it ended and reports whether it did.
func (c *committer) classify(w *write, row psplatform.Row) bool {
	if row.Revision == w.revision {
		return false
	}
	var current record
	if row.Revision != 0 {
		var err error
		if current, err = decode(row); err != nil {
			return w.end(outcome{current: row})
		}
	}
	switch {
	case current.Nonce != w.record.Nonce:
		return w.end(outcome{current: row})
	case current.State == w.record.State:
		return w.end(outcome{won: true, revision: row.Revision, epoch: current.Epoch})
	}
	// The insert took effect after its caller had gone; the release goes on top of it.
	w.revision = row.Revision
	return false
}

// transaction makes the transaction of a batch. The condition on the epoch's row ties each
// insert to its epoch, so that a commit that takes effect very late cannot bring back a
// claim that was cleaned up.
func (c *committer) transaction(batch []*write) psplatform.Transaction {
	t := psplatform.Transaction{Conditions: []psplatform.Condition{{Key: epochKey, Revision: c.epochRow}}}
	var logged []string
	for _, w := range batch {
		if w.record.State == stateRunning || w.revision == 0 {
			w.record.Epoch = c.epoch
			logged = append(logged, w.key)
		}
		t.Conditions = append(t.Conditions, psplatform.Condition{Key: w.key, Revision: w.revision})
		t.Writes = append(t.Writes, psplatform.Write{Key: w.key, Value: encode(w.record)})
	}
	if len(logged) > 0 {
		c.sequence++
		t.Writes = append(t.Writes, psplatform.Write{Key: logKey(c.epoch, c.incarnation, c.sequence), Value: encode(logged)})
	}
	return t
}
