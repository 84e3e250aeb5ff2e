// Package psrepeat bounds how many requests are sent to a second backend server.
//
// It answers this load pattern: servers turn away or lose a part of what they get, and each
// VM sends that part again. The bound holds for all VMs together, so each VM keeps it on its
// own requests and has an even part of what is allowed besides.
package psrepeat

import (
	"sync"
	"time"
)

const (
	// cells divide the window; a cell is forgotten as a whole.
	cells = 20
	// margin is the part of the bound that is used, because windows of several VMs differ.
	margin = 0.75
)

// Bound is the fleet's bound for one service.
type Bound struct {
	// Ratio is the number of repeats for each request in a window.
	Ratio  float64
	Window time.Duration
	// Slack is this VM's part of the repeats that are allowed besides.
	Slack float64
}

// cell counts one part of the window.
type cell struct {
	turn              int64
	requests, repeats float64
}

// Budgets holds the counts of all services. The zero value is empty.
type Budgets struct {
	mutex    sync.Mutex
	services map[string]*[cells]cell
}

// Request counts a request for a service.
func (b *Budgets) Request(service string, w time.Duration, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.cell(service, w, now).requests++
}

// Take counts a repeat if the bound allows it.
func (b *Budgets) Take(service string, bound Bound, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	current := b.cell(service, bound.Window, now)
	var requests, repeats float64
	for _, c := range b.services[service] {
		if current.turn-c.turn < cells {
			requests += c.requests
			repeats += c.repeats
		}
	}
	if repeats+1 > margin*(bound.Ratio*requests+bound.Slack) {
		return false
	}
	current.repeats++
	return true
}

func (b *Budgets) cell(service string, w time.Duration, now time.Time) *cell {
	if b.services == nil {
		b.services = make(map[string]*[cells]cell)
	}
	list, found := b.services[service]
	if !found {
		list = &[cells]cell{}
		b.services[service] = list
	}
	turn := now.UnixNano() / int64(w/cells)
	c := &list[turn%cells]
	if c.turn != turn {
		*c = cell{turn: turn}
	}
	return c
}
