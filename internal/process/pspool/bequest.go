package pspool

import (
	"time"

	"persimmonstep/internal/version/psdoc"
)

// BequestTerm is how long a VM may use the slots of one that has stopped gracefully.
const BequestTerm = 20 * time.Second

// Bequest is what a stopping VM leaves of one server.
type Bequest struct {
	Server psdoc.Name `json:"server"`
	Slots  int        `json:"slots"`
}

// Bequeath gives up all base slots for the rest of the process and returns those that are
// free. Slots that are lent stay with their borrowers until their hold time is over.
func (d *Dispatcher) Bequeath() []Bequest {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.refresh()
	now := d.config.Now()
	var out []Bequest
	for _, t := range d.servers {
		if n := d.ownFree(t, now); t.owner == d.config.Self && n > 0 {
			out = append(out, Bequest{Server: t.server.Name, Slots: n})
		}
	}
	d.blocked[d.config.Self] = true
	return out
}

// Inherit lets this VM use the slots that a stopping VM left to it.
func (d *Dispatcher) Inherit(from psdoc.Name, left []Bequest) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.refresh()
	until := d.config.Now().Add(BequestTerm)
	for _, b := range left {
		t, known := d.servers[b.Server]
		if known && t.owner == from && b.Slots > 0 && b.Slots <= t.server.Slots {
			t.inherited, t.inheritedUntil = b.Slots, until
			d.include(t)
			d.wake(d.poolOf(t.server.Pool))
		}
	}
}

// Disinherit ends the use of slots that a VM left, because the VM is back.
func (d *Dispatcher) Disinherit(from psdoc.Name) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, t := range d.servers {
		if t.owner == from {
			t.inherited = 0
		}
	}
}

// inheritedNow returns the slots of the server that a stopped VM left here.
func (t *server) inheritedNow(now time.Time) int {
	if t.inherited > 0 && now.Before(t.inheritedUntil) {
		return t.inherited
	}
	return 0
}
