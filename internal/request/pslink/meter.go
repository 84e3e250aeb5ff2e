// Package pslink bounds what crosses the links between regions.
//
// The configuration gives each pair of regions a capacity. It is split over the VMs of the
// two regions by their weights, so that no message is needed to keep the sum. A VM pays for
// the bytes that it moved after it moved them, since an answer's size is not known before:
// it may go into debt for what is under way and sends nothing more over the link until the
// debt is paid.
package pslink

import (
	"sync"
	"time"

	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

const (
	bitsPerByte = 8
	// burstTime is how much of its rate a VM may save up.
	burstTime = 250 * time.Millisecond
)

// Plans gives the plan in force.
type Plans interface {
	Plan() *psplan.Plan
}

// Meter keeps one VM's parts of the links. Both directions of a link are paid out of one
// part, which keeps each of them within the capacity.
type Meter struct {
	self  psdoc.Name
	plans Plans
	now   func() time.Time

	mutex sync.Mutex
	plan  *psplan.Plan
	parts map[psdoc.Name]*part
}

// part is this VM's part of the link to another region.
type part struct {
	// rate is in bytes per second.
	rate   float64
	tokens float64
	last   time.Time
}

// NewMeter returns the meter of a VM.
func NewMeter(self psdoc.Name, p Plans, now func() time.Time) *Meter {
	return &Meter{self: self, plans: p, now: now, parts: make(map[psdoc.Name]*part)}
}

// MayCross reports whether a request may be sent to a region. A region to which the
// configuration names no link is not bounded.
func (m *Meter) MayCross(to *psplan.Region) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	p, found := m.part(to.Name)
	return !found || p.tokens > 0
}

// Charge pays for bytes that crossed the link to a region in either direction.
func (m *Meter) Charge(to *psplan.Region, bytes int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if p, found := m.part(to.Name); found {
		p.tokens -= float64(bytes)
	}
}

// part returns this VM's part of the link to a region, filled up to now. The mutex is held.
func (m *Meter) part(to psdoc.Name) (*part, bool) {
	m.refresh()
	p, found := m.parts[to]
	if !found {
		return nil, false
	}
	now := m.now()
	if passed := now.Sub(p.last); passed > 0 {
		p.tokens = min(p.rate*burstTime.Seconds(), p.tokens+passed.Seconds()*p.rate)
		p.last = now
	}
	return p, true
}

// refresh takes over a new plan. Debts stay.
func (m *Meter) refresh() {
	plan := m.plans.Plan()
	if plan == m.plan {
		return
	}
	m.plan = plan
	old := m.parts
	m.parts = make(map[psdoc.Name]*part)
	self, found := plan.VM(m.self)
	if !found {
		return
	}
	for _, l := range plan.Links {
		to, touches := other(l, self.Domain.Region)
		if !touches {
			continue
		}
		p, known := old[to.Name]
		if !known {
			p = &part{last: m.now()}
		}
		p.rate = l.BitsPerSecond / bitsPerByte * self.Weight / (weight(l.Between[0]) + weight(l.Between[1]))
		m.parts[to.Name] = p
	}
}

// other returns the far end of a link that touches a region.
func other(l *psplan.Link, r *psplan.Region) (*psplan.Region, bool) {
	switch r.Name {
	case l.Between[0].Name:
		return l.Between[1], true
	case l.Between[1].Name:
		return l.Between[0], true
	}
	return nil, false
}

// weight sums the weights of a region's VMs.
func weight(r *psplan.Region) float64 {
	sum := 0.0
	for _, d := range r.Domains {
		for _, v := range d.VMs {
			sum += v.Weight
		}
	}
	return sum
}
