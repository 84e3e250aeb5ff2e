// Package psshed orders the requests of a service by what their rejection costs callers.
//
// It answers this load pattern: requests of several priorities need more slots than a service has. Decided each alone, all
// are rejected alike, and those with the shortest target first. The package ranks a request among the present demand: the
// more urgent classes come first, within a class the requests of workspaces that send no more than usual, and among these
// the ones that occupy a slot for the shortest time. A request's position in that order is its threshold: it is rejected when
// the admitted fraction of the demand falls below it. So the fraction that is admitted altogether doesn't depend on the order,
// and neither does the control that determines it.
//
// A VM sees only its own share of a service's requests, so each VM orders these. All VMs see the same queues.
//
// The package does no I/O and reads no clock.
package psshed

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"persimmonstep/internal/request/psdecay"
)

const (
	// unorderedFraction is the fraction of requests whose position is random. It is the floor of each class and of long
	// runs: they are served at least this fraction as often as all requests are on average.
	unorderedFraction = 0.35
	// demandTimeConstant is the time constant with which requests are forgotten. At 84 VMs, a VM gets some 20 requests a
	// second of a service.
	demandTimeConstant = 2 * time.Second
	// snapshotInterval is the time for which a demand is used without counting it anew.
	snapshotInterval = 10 * time.Millisecond
	// minClassFraction is the fraction of the demand below which a class sets no bounds for less urgent ones.
	minClassFraction = 0.02
	// runBuckets is the number of buckets of slot times, and bucketsPerDoubling that from a time to its double; the first
	// bucket ends at a millisecond.
	runBuckets         = 16
	bucketsPerDoubling = 1
	// minBeyond is the number of requests beyond the usual amount of their workspace below which a class has none.
	minBeyond = 0.01
)

// Class is the demand of the requests with one priority.
type Class struct {
	// Priority is the priority; 0 is the most urgent.
	Priority int `json:"priority"`
	// Above is the fraction of the service's requests that are more urgent, and Fraction that of this class.
	Above    float64 `json:"above"`
	Fraction float64 `json:"fraction"`
	// Target is the mean latency objective, and Run the mean time from sending to the response without a queue.
	Target time.Duration `json:"target"`
	Run    time.Duration `json:"run"`
	// Rejected is the fraction of the class's requests that are rejected for lack of slots.
	Rejected float64 `json:"rejected"`
	// Beyond is the fraction of the class's requests that exceed the usual amount of their workspace.
	Beyond float64 `json:"beyond"`
	// Shorter is the fraction of the class's requests in earlier buckets, for each bucket: by slot time those within the
	// usual amount of their workspace, then, if there are any, by slot time those beyond it.
	Shorter []float64 `json:"shorter"`
}

// Demand is the present demand of a service by classes, the most urgent first. A service without known demand has none.
type Demand []Class

// Request is what the order depends on.
type Request struct {
	Priority int
	// Slot is how long the request is expected to occupy a slot.
	Slot time.Duration
	// BeyondUsual reports whether the request exceeds the usual amount of its workspace.
	BeyondUsual bool
	// Random is a number in 0..1 that differs between requests.
	Random float64
}

// Order is the place of a request among the demand.
type Order struct {
	// Above is the fraction of the requests that are more urgent, and Below that of the less urgent ones.
	Above, Below float64
	// Position is the fraction of the requests that are rejected later than this one.
	Position float64
	// Random is a number in 0..1 that is independent of the order.
	Random float64
	// MoreUrgent are the more urgent classes with a considerable demand, and Class is that of the request.
	MoreUrgent []Class
	Class      Class
}

// Order returns the place of a request. A part of the requests has a random place.
func (d Demand) Order(r Request) Order {
	o := Order{Class: Class{Priority: r.Priority, Fraction: 1}}
	ordered := r.Random >= unorderedFraction
	if ordered {
		o.Random = (r.Random - unorderedFraction) / (1 - unorderedFraction)
	} else {
		o.Random = r.Random / unorderedFraction
	}
	o.Position = o.Random
	i, found := slices.BinarySearchFunc(d, r.Priority, func(c Class, p int) int { return cmp.Compare(c.Priority, p) })
	for _, c := range d[:i] {
		if c.Fraction >= minClassFraction {
			o.MoreUrgent = append(o.MoreUrgent, c)
		}
	}
	if found {
		o.Class = d[i]
	}
	if !ordered || !found {
		return o
	}
	o.Above, o.Below = o.Class.Above, max(0, 1-o.Class.Above-o.Class.Fraction)
	o.Position = o.Above + o.Class.Fraction*o.Class.shorter(bucket(r.Slot, r.BeyondUsual), o.Random)
	return o
}

// OrderedRandom returns the random number of a request whose place is not random, for a number in 0..1.
func OrderedRandom(v float64) float64 { return unorderedFraction + v*(1-unorderedFraction) }

// shorter returns the fraction of the class's requests in buckets before b. Those in the same bucket count by chance.
func (c *Class) shorter(b int, random float64) float64 {
	switch {
	case len(c.Shorter) == 0:
		return random
	case b >= len(c.Shorter):
		return 1
	}
	end := 1.0
	if b+1 < len(c.Shorter) {
		end = c.Shorter[b+1]
	}
	return c.Shorter[b] + random*(end-c.Shorter[b])
}

func bucket(d time.Duration, beyondUsual bool) int {
	doublings := math.Log2(max(1, float64(d)/float64(time.Millisecond)))
	b := min(runBuckets-1, int(bucketsPerDoubling*doublings))
	if beyondUsual {
		b += runBuckets
	}
	return b
}

// Demands measures the demand of each service at one VM. The zero value has none. It is safe for concurrent use.
type Demands struct {
	mutex    sync.Mutex
	services map[string]*service
}

type service struct {
	classes []classCount
	at      time.Time
	// demand is the demand at the time at; nil if it isn't counted yet.
	demand Demand
}

// classCount counts the recent requests of a class. All values decay with demandTimeConstant.
type classCount struct {
	priority         int
	requests         float64
	rejected         float64
	targets, latency float64
	// slots counts them by slot time: those within the usual amount of their workspace, and those beyond it.
	slots  [2 * runBuckets]float64
	beyond float64
}

// Observation is a request that was decided on.
type Observation struct {
	Priority int
	// Slot is how long it was expected to occupy a slot, Run the time to the response without a queue, and Target its
	// latency objective.
	Slot, Run, Target time.Duration
	// BeyondUsual reports whether it exceeded the usual amount of its workspace.
	BeyondUsual bool
	// Rejected is set if the request was rejected for lack of slots.
	Rejected bool
}

// Observe counts a request of a service.
func (d *Demands) Observe(name string, o Observation, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.services == nil {
		d.services = make(map[string]*service)
	}
	s, found := d.services[name]
	if !found {
		s = &service{at: now}
		d.services[name] = s
	}
	s.decay(now)
	c := s.class(o.Priority)
	c.requests++
	if o.Rejected {
		c.rejected++
	}
	c.targets += float64(o.Target)
	c.latency += float64(o.Run)
	c.slots[bucket(o.Slot, o.BeyondUsual)]++
	if o.BeyondUsual {
		c.beyond++
	}
}

// decay ages all counts, once every snapshotInterval.
func (s *service) decay(now time.Time) {
	if now.Sub(s.at) < snapshotInterval {
		return
	}
	s.demand = nil
	f := psdecay.Factor(now.Sub(s.at), demandTimeConstant)
	s.at = now
	for i := range s.classes {
		c := &s.classes[i]
		c.requests *= f
		c.rejected *= f
		c.targets *= f
		c.latency *= f
		if c.beyond *= f; c.beyond > 0 && c.beyond < minBeyond {
			c.beyond = 0
			clear(c.slots[runBuckets:])
		}
		for b := range c.used() {
			c.slots[b] *= f
		}
	}
}

// used returns the number of buckets that may have requests.
func (c *classCount) used() int {
	if c.beyond == 0 {
		return runBuckets
	}
	return len(c.slots)
}

// class returns the count of a priority, in ascending order of priorities.
func (s *service) class(priority int) *classCount {
	i, found := slices.BinarySearchFunc(s.classes, priority, func(c classCount, p int) int { return cmp.Compare(c.priority, p) })
	if !found {
		s.classes = slices.Insert(s.classes, i, classCount{priority: priority})
	}
	return &s.classes[i]
}

// Of returns the demand of a service. It must not be modified.
func (d *Demands) Of(name string, now time.Time) Demand {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	s, found := d.services[name]
	if !found {
		return nil
	}
	s.decay(now)
	if s.demand == nil {
		s.demand = s.count()
	}
	return s.demand
}

// count returns the demand by the present counts.
func (s *service) count() Demand {
	sum := 0.0
	for i := range s.classes {
		sum += s.classes[i].requests
	}
	if sum == 0 {
		return nil
	}
	list := make(Demand, 0, len(s.classes))
	above := 0.0
	for i := range s.classes {
		c := &s.classes[i]
		if c.requests == 0 {
			continue
		}
		v := Class{
			Priority: c.priority, Above: above, Fraction: c.requests / sum, Rejected: c.rejected / c.requests,
			Target: time.Duration(c.targets / c.requests), Run: time.Duration(c.latency / c.requests), Shorter: make([]float64, c.used()), Beyond: c.beyond / c.requests,
		}
		shorter := 0.0
		for b := range v.Shorter {
			v.Shorter[b] = shorter / c.requests
			shorter += c.slots[b]
		}
		above += v.Fraction
		list = append(list, v)
	}
	return list
}
