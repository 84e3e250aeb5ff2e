package pspool

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"persimmonstep/internal/version/psdoc"
)

// Lend grants at most want slots of a pool's servers to another VM. It lowers this VM's own
// limit before it returns. It lends nothing while requests wait here, and at most half of
// what is free at a time.
func (d *Dispatcher) Lend(borrower, poolName psdoc.Name, want int, incarnation string) []Grant {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.refresh()
	p := d.poolOf(poolName)
	if p.waitingCount() > 0 {
		return nil
	}
	now := d.config.Now()
	free := d.lendable(p, now)
	total := 0
	for _, t := range free {
		total += d.ownFree(t, now)
	}
	want = min(want, (total+1)/2)
	var out []Grant
	for _, t := range free {
		n := min(want, d.ownFree(t, now))
		if n <= 0 {
			break
		}
		want -= n
		out = append(out, d.lendServer(t, borrower, n, incarnation, now))
	}
	return out
}

// Spare returns the base slots of a pool that are free here; 0 while requests wait.
func (d *Dispatcher) Spare(poolName psdoc.Name) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	p := d.poolOf(poolName)
	if p.waitingCount() > 0 {
		return 0
	}
	now := d.config.Now()
	n := 0
	for _, t := range d.lendable(p, now) {
		n += d.ownFree(t, now)
	}
	return n
}

// lendable lists the servers with free base slots, the emptiest first.
func (d *Dispatcher) lendable(p *pool, now time.Time) []*server {
	var out []*server
	for _, t := range p.servers {
		if !d.excluded(t.server) && d.ownFree(t, now) > 0 {
			out = append(out, t)
		}
	}
	slices.SortStableFunc(out, func(a, b *server) int { return cmp.Compare(d.ownFree(b, now), d.ownFree(a, now)) })
	return out
}

func (d *Dispatcher) lendServer(t *server, borrower psdoc.Name, n int, incarnation string, now time.Time) Grant {
	d.seed++
	g := Grant{ID: GrantID(fmt.Sprintf("%s/%s/%d", d.config.Self, incarnation, d.seed)), Server: t.server.Name, Slots: n}
	t.lentSlots += n
	d.lent[g.ID] = &lent{Grant: g, borrower: borrower, heldUntil: now.Add(HoldTime + driftMargin)}
	return g
}

// Renew extends a grant for another term and returns the size that the borrower should go
// down to: what it asks for, or what runs now if requests wait here. It reports false for a
// grant that is not lent to the borrower, or whose slots this VM may not use any more.
//
// Only what the borrower itself asked for bounds it until the answer arrives, so slots that
// it should give up come back with its next renewal.
func (d *Dispatcher) Renew(borrower psdoc.Name, h Held) (int, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	l, found := d.lent[h.ID]
	if !found || l.borrower != borrower || h.InUse > l.Slots || h.InUse > h.Slots {
		return 0, false
	}
	t := d.servers[l.Server]
	if d.ownFree(t, d.config.Now()) < 0 {
		// The slots are this VM's no more; the borrower stops within a hold time.
		return 0, false
	}
	p := d.poolOf(t.server.Pool)
	n := min(h.Slots, l.Slots)
	t.lentSlots -= l.Slots - n
	l.Slots = n
	l.heldUntil = d.config.Now().Add(HoldTime + driftMargin)
	d.wake(p)
	if p.waitingCount() > 0 || d.excluded(t.server) {
		return h.InUse, true
	}
	return n, true
}

// TakeBack ends grants that their borrower returned.
func (d *Dispatcher) TakeBack(borrower psdoc.Name, ids []GrantID) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, id := range ids {
		if l, found := d.lent[id]; found && l.borrower == borrower {
			d.endLent(l)
		}
	}
}

func (d *Dispatcher) endLent(l *lent) {
	delete(d.lent, l.ID)
	if t, found := d.servers[l.Server]; found {
		t.lentSlots -= l.Slots
		d.wake(d.poolOf(t.server.Pool))
	}
}

// Reinstate enters a grant that an earlier process of this VM lent, as its borrower reports it.
func (d *Dispatcher) Reinstate(borrower psdoc.Name, g Grant) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.refresh()
	t, known := d.servers[g.Server]
	if _, found := d.lent[g.ID]; found || !known || g.Slots <= 0 {
		return
	}
	t.lentSlots += g.Slots
	d.lent[g.ID] = &lent{Grant: g, borrower: borrower, heldUntil: d.config.Now().Add(HoldTime + driftMargin)}
}
