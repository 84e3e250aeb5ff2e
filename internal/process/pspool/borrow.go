package pspool

import (
	"slices"
	"time"

	"persimmonstep/internal/version/psdoc"
)

// Borrow enters grants that a lender gave on a call that was sent at the given time.
func (d *Dispatcher) Borrow(lender psdoc.Name, grants []Grant, sent time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.refresh()
	for _, g := range grants {
		t, known := d.servers[g.Server]
		if _, found := d.borrowed[g.ID]; found || !known || g.Slots <= 0 {
			continue
		}
		b := &borrowed{
			Grant: g, lender: lender, slots: make(map[*Slot]struct{}),
			startUntil: sent.Add(Term), holdUntil: sent.Add(HoldTime), used: sent,
		}
		d.borrowed[g.ID] = b
		t.grants = append(t.grants, b)
		d.include(t)
	}
	for _, g := range grants {
		if t, known := d.servers[g.Server]; known {
			d.wake(d.poolOf(t.server.Pool))
		}
	}
}

// include lists a server in its pool.
func (d *Dispatcher) include(t *server) {
	p := d.poolOf(t.server.Pool)
	if !slices.Contains(p.servers, t) {
		p.servers = append(p.servers, t)
	}
}

// Renewed enters the answer to a renewal that was sent at the given time: the size to go
// down to, which never rises.
func (d *Dispatcher) Renewed(id GrantID, n int, sent time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	b, found := d.borrowed[id]
	if !found {
		return
	}
	b.Slots = min(b.Slots, max(n, len(b.slots)))
	b.startUntil, b.holdUntil = sent.Add(Term), sent.Add(HoldTime)
	d.wake(d.poolOf(d.servers[b.Server].server.Pool))
}

// HeldOf lists the grants of a lender that this VM holds. Grants under calls to the lender
// that were sent earlier must not be entered afterwards.
func (d *Dispatcher) HeldOf(lender psdoc.Name) []Held {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var out []Held
	for _, b := range d.borrowed {
		if b.lender == lender {
			out = append(out, b.held())
		}
	}
	return out
}

func (g *borrowed) held() Held {
	return Held{Grant: g.Grant, InUse: len(g.slots)}
}
