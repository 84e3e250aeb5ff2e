package psretry

import (
	"sync"
	"time"

	"persimmonstep/internal/version/psdoc"
)

const (
	// Fraction is the part of a window's first attempts that its paid retries may add.
	Fraction = 0.1
	// Floor is the number of paid retries that a window allows however few requests it has.
	Floor = 3
	// Window is the span over which both are counted.
	Window = 10 * time.Second

	slots    = 20
	slotSpan = Window / slots
)

// Budget bounds the paid retries of this VM, for each pool of backend servers by itself, so
// that one failing pool cannot spend what another needs. Its zero value is ready.
type Budget struct {
	mutex sync.Mutex
	pools map[psdoc.Name]*window
}

// window counts first attempts and retries in a ring of slots.
type window struct {
	ring            [slots]slot
	firsts, retries int
	// last is the number of the newest slot since the zero time.
	last int64
}

type slot struct {
	firsts, retries int
}

// First enters a first attempt.
func (b *Budget) First(pool psdoc.Name, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	w := b.window(pool, now)
	w.firsts++
	w.ring[w.last%slots].firsts++
}

// Spend enters a retry, or reports false and enters nothing where the budget is empty.
func (b *Budget) Spend(pool psdoc.Name, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	w := b.window(pool, now)
	if float64(w.retries+1) > Fraction*float64(w.firsts)+Floor {
		return false
	}
	w.retries++
	w.ring[w.last%slots].retries++
	return true
}

// window returns a pool's window, with what is too old taken out.
func (b *Budget) window(pool psdoc.Name, now time.Time) *window {
	if b.pools == nil {
		b.pools = make(map[psdoc.Name]*window)
	}
	w, found := b.pools[pool]
	if !found {
		w = &window{}
		b.pools[pool] = w
	}
	w.turn(now.UnixNano() / int64(slotSpan))
	return w
}

// turn moves the ring on to a slot.
func (w *window) turn(to int64) {
	if to-w.last >= slots {
		*w = window{last: to}
		return
	}
	for w.last < to {
		w.last++
		old := &w.ring[w.last%slots]
		w.firsts -= old.firsts
		w.retries -= old.retries
		*old = slot{}
	}
}
