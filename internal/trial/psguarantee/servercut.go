package psguarantee

import (
	"slices"
	"time"
)

const (
	// contactTime is the time after the begin of a cut from which on the VMs must serve in spite of it.
	contactTime = 3 * time.Second
	// minServedRatio is the least ratio of the served fractions of first attempts at cut VMs and at the others.
	minServedRatio = 2.0 / 3
	// unservedSlack and unservedFraction are the number of first attempts that may fail at cut VMs in any case: a
	// number, and a fraction of the first attempts at all VMs.
	unservedSlack    = 10
	unservedFraction = 0.02
)

// ServerCut is the time during which VMs were cut off from all backend servers.
type ServerCut struct {
	VMs         []string
	From, Until time.Duration
}

// cutVMsUnserved returns the number of first attempts that cut VMs did not serve, over the cuts in which they served a
// much smaller fraction than the other VMs.
func (h History) cutVMsUnserved() int {
	n := 0
	for _, c := range h.ServerCuts {
		n += h.unservedIn(c)
	}
	return n
}

func (h History) unservedIn(c ServerCut) int {
	var cut, others served
	for _, o := range h.Observations {
		if o.First == "" || o.Sent < c.From+contactTime || o.Sent >= c.Until || !h.inTouch(o.First, o.Sent) {
			continue
		}
		if slices.Contains(c.VMs, o.First) {
			cut.add(o.FirstServed)
		} else {
			others.add(o.FirstServed)
		}
	}
	allowed := unservedSlack + unservedFraction*float64(cut.all+others.all)
	if float64(cut.failed) <= allowed || cut.fraction() >= minServedRatio*others.fraction() {
		return 0
	}
	return cut.failed
}

// inTouch reports whether the process of a VM ran at a time and had run without a restart for contactTime.
func (h History) inTouch(vm string, at time.Duration) bool {
	before := 0
	for _, t := range h.Restarts[vm] {
		if t > at {
			continue
		}
		if at-t < contactTime {
			return false
		}
		before++
	}
	// Ends and starts alternate.
	return before%2 == 0
}

// served counts attempts.
type served struct {
	all, failed int
}

func (s *served) add(ok bool) {
	s.all++
	if !ok {
		s.failed++
	}
}

// fraction returns the fraction of the attempts that were served.
func (s *served) fraction() float64 {
	if s.all == 0 {
		return 0
	}
	return 1 - float64(s.failed)/float64(s.all)
}
