package pspool

import (
	"cmp"
	"slices"
	"time"

	"persimmonstep/internal/version/psdoc"
)

// Due is what a borrower should tell a lender.
type Due struct {
	Lender psdoc.Name
	// Renew lists grants to extend, with the sizes that are still wanted.
	Renew []Held
	// Return lists grants that are not used any more. They are forgotten here already.
	Return []GrantID
}

// renewAhead is how long before a term's end a grant in use is renewed.
const renewAhead = 600 * time.Millisecond

// Tick ends what has run out and returns what lenders should be told.
func (d *Dispatcher) Tick() []Due {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.refresh()
	now := d.config.Now()
	for _, l := range d.lent {
		if now.After(l.heldUntil) {
			d.endLent(l)
		}
	}
	d.stopExcess(now)
	d.tickGained(now)
	due := make(map[psdoc.Name]*Due)
	for _, b := range d.borrowed {
		d.tickBorrowed(b, now, due)
	}
	return sorted(due)
}

// sorted lists what is due by lender.
func sorted(due map[psdoc.Name]*Due) []Due {
	out := make([]Due, 0, len(due))
	for _, v := range due {
		out = append(out, *v)
	}
	slices.SortFunc(out, func(a, b Due) int { return cmp.Compare(a.Lender, b.Lender) })
	return out
}

func (d *Dispatcher) tickBorrowed(b *borrowed, now time.Time, due map[psdoc.Name]*Due) {
	if now.After(b.holdUntil.Add(-driftMargin)) {
		for s := range b.slots {
			s.lose()
		}
	}
	v, found := due[b.lender]
	if !found {
		v = &Due{Lender: b.lender}
	}
	idle := now.Sub(b.used) > Term/2
	switch {
	case len(b.slots) == 0 && (idle || now.After(b.startUntil)):
		d.forgetBorrowed(b)
		v.Return = append(v.Return, b.ID)
	case now.After(b.startUntil.Add(-renewAhead)):
		v.Renew = append(v.Renew, b.held())
	default:
		return
	}
	due[b.lender] = v
}

func (d *Dispatcher) forgetBorrowed(b *borrowed) {
	delete(d.borrowed, b.ID)
	t := d.servers[b.Server]
	t.grants = slices.DeleteFunc(t.grants, func(v *borrowed) bool { return v == b })
	if !d.mayUse(t) {
		p := d.poolOf(t.server.Pool)
		p.servers = slices.DeleteFunc(p.servers, func(v *server) bool { return v == t })
	}
}

// stopExcess stops requests on base slots that were not this VM's for so long that another
// VM may be about to use them: revocable ones after the fence was lost, adopted ones after
// the adoption ended, and those that a new plan gave to another VM.
func (d *Dispatcher) stopExcess(now time.Time) {
	for _, t := range d.servers {
		excess := -d.ownFree(t, now)
		if excess <= 0 || len(t.slots) == 0 {
			t.excessAt = time.Time{}
			continue
		}
		if t.excessAt.IsZero() {
			t.excessAt = now
		}
		if now.Sub(t.excessAt) >= HoldTime-2*driftMargin {
			t.lose(excess)
		}
	}
}

// lose ends some of the requests on base slots.
func (t *server) lose(n int) {
	for s := range t.slots {
		if n <= 0 {
			return
		}
		s.lose()
		n--
	}
}

// ReturnAll forgets every grant in which nothing runs and returns what to tell the lenders.
func (d *Dispatcher) ReturnAll() []Due {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	due := make(map[psdoc.Name]*Due)
	for _, b := range d.borrowed {
		if len(b.slots) > 0 {
			continue
		}
		v, found := due[b.lender]
		if !found {
			v = &Due{Lender: b.lender}
			due[b.lender] = v
		}
		d.forgetBorrowed(b)
		v.Return = append(v.Return, b.ID)
	}
	return sorted(due)
}
