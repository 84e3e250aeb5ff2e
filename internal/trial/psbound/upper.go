package psbound

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"persimmonstep/internal/trial/psresult"
)

const (
	// binWidth is the length of the intervals in which work must fit into slot time. Windows are widened to whole
	// intervals, so that the result stays an upper bound.
	binWidth = 5 * time.Millisecond
	// rateWindow, rateTolerance and rateSlack are the bound on a workspace's requests in any window, as
	// docs/design/hard-load.md states it.
	rateWindow    = 5 * time.Second
	rateTolerance = 0.1
	rateSlack     = 20
	// roundingMargin is more than the rounding errors of the sums of a scenario's work, as a fraction.
	roundingMargin = 1e-9
)

// Upper returns what no scheduler exceeds. Work may be interrupted, divided among slots and done by any server of the
// service in the caller's region, or in the nearest one, with its object cached there. Each column of the result is an
// upper bound by itself; all cannot be reached together.
func Upper(p *Problem) psresult.InTarget {
	out := p.empty()
	one := func(*Request) float64 { return 1 }
	for i := range out.Priorities {
		priority := out.Priorities[i].Priority
		out.Priorities[i].InTarget = p.upper(one, func(r *Request) bool { return r.Priority == priority })
	}
	all := func(*Request) bool { return true }
	out.InTarget = p.upper(one, all)
	out.Weight = p.upper(func(r *Request) float64 { return r.Weight }, all)
	return out
}

// empty returns the counts of requests by priority, with none in target.
func (p *Problem) empty() psresult.InTarget {
	var out psresult.InTarget
	for i := range p.Services {
		for j := range p.Services[i].Requests {
			if r := &p.Services[i].Requests[j]; p.counts(r) {
				out.Add(r.Priority, r.Weight, false)
			}
		}
	}
	return out
}

// upper returns an upper bound of the value of the requests in target, of those that match.
func (p *Problem) upper(value func(*Request) float64, match func(*Request) bool) float64 {
	total := 0.0
	for i := range p.Services {
		s := &p.Services[i]
		var requests []*Request
		for j := range s.Requests {
			if r := &s.Requests[j]; p.counts(r) && match(r) {
				requests = append(requests, r)
			}
		}
		total += min(p.upperBySlots(s, requests, value), p.upperByCaches(s, requests, value))
	}
	return min(total, p.upperByRates(value, match))
}

// upperByRates returns the value of the requests that the rates of their workspaces allow.
func (p *Problem) upperByRates(value func(*Request) float64, match func(*Request) bool) float64 {
	values := make(map[string][]float64)
	for i := range p.Services {
		for j := range p.Services[i].Requests {
			if r := &p.Services[i].Requests[j]; p.counts(r) && match(r) {
				values[r.Workspace] = append(values[r.Workspace], value(r))
			}
		}
	}
	total := 0.0
	windows := math.Ceil((p.Span - p.From).Seconds() / rateWindow.Seconds())
	for name, list := range values {
		limit := len(list)
		if w := p.Workspaces[name]; w.Rate > 0 {
			limit = min(limit, int(windows*((w.Rate*rateWindow.Seconds()+w.Burst)*(1+rateTolerance)+rateSlack)))
		}
		slices.SortFunc(list, func(a, b float64) int { return cmp.Compare(b, a) })
		for _, v := range list[:limit] {
			total += v
		}
	}
	return total
}

// upperByCaches returns the value of the requests without one of each object that is requested for the first time while
// requests count, if a run without the cached object isn't in target.
func (p *Problem) upperByCaches(s *Service, requests []*Request, value func(*Request) float64) float64 {
	known := make(map[int]bool)
	for i := range s.Requests {
		if r := &s.Requests[i]; !p.counts(r) {
			known[r.Object] = true
		}
	}
	total := 0.0
	for _, r := range requests {
		if r.Object >= 0 && !known[r.Object] {
			known[r.Object] = true
			if r.Ready+p.nearest(s, r)+r.Uncached > r.Due {
				continue
			}
		}
		total += value(r)
	}
	return total
}

// nearest returns the shortest round trip from any VM of the caller's region to a server.
func (p *Problem) nearest(s *Service, r *Request) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for i := range s.Servers {
		latency := p.Latency(r.Domain, &s.Servers[i])
		if p.SameRegion(r.Domain, &s.Servers[i]) {
			latency = 0
		}
		shortest = min(shortest, latency)
	}
	return shortest
}

// upperBySlots returns the greatest value of requests, in parts, whose work fits into the slot time of their service. The
// parts of a request that are served form a polymatroid, so that requests with the highest value for each second of a
// slot go first.
func (p *Problem) upperBySlots(s *Service, requests []*Request, value func(*Request) float64) float64 {
	byDensity := make(map[float64][]window)
	for _, r := range requests {
		release := r.Ready + p.nearest(s, r)
		if release+r.Work > r.Due {
			continue
		}
		w := window{from: int(release / binWidth), until: int((r.Due + binWidth - 1) / binWidth), work: r.Work.Seconds()}
		density := value(r) / w.work
		byDensity[density] = append(byDensity[density], w)
	}
	densities := make([]float64, 0, len(byDensity))
	for d := range byDensity {
		densities = append(densities, d)
	}
	slices.SortFunc(densities, func(a, b float64) int { return cmp.Compare(b, a) })
	capacity := p.capacity(s)
	var windows []window
	total, done := 0.0, 0.0
	for _, d := range densities {
		windows = append(windows, byDensity[d]...)
		fits := mostWork(windows, capacity)
		total += d * (fits - done)
		done = fits
	}
	return total * (1 + roundingMargin)
}

// capacity returns how much work the slots of a service can do in each interval, in seconds.
func (p *Problem) capacity(s *Service) []float64 {
	end := p.Span
	for i := range s.Requests {
		end = max(end, s.Requests[i].Due)
	}
	out := make([]float64, int(end/binWidth)+2)
	for i := range s.Servers {
		v := &s.Servers[i]
		for n := range out {
			at := time.Duration(n) * binWidth
			out[n] += float64(v.Slots) * v.Spells.Work(at, at+binWidth).Seconds()
		}
	}
	return out
}

// window is work in seconds that may be done from an interval on and before another one.
type window struct {
	from, until int
	work        float64
}

// windowHeap is a heap of windows by their ends.
type windowHeap []window

func (h windowHeap) Len() int           { return len(h) }
func (h windowHeap) Less(i, j int) bool { return h[i].until < h[j].until }
func (h windowHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds a window.
func (h *windowHeap) Push(v any) { *h = append(*h, v.(window)) }

// Pop removes the last window.
func (h *windowHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// mostWork returns the greatest amount of work that fits into the capacity of the intervals. Windows are contiguous, so
// it is enough to give each interval to the open windows that end first.
func mostWork(windows []window, capacity []float64) float64 {
	windows = slices.Clone(windows)
	slices.SortFunc(windows, func(a, b window) int { return cmp.Compare(a.from, b.from) })
	var open windowHeap
	done := 0.0
	for n, left := range capacity {
		for len(windows) > 0 && windows[0].from <= n {
			heap.Push(&open, windows[0])
			windows = windows[1:]
		}
		for left > 0 && len(open) > 0 {
			first := &open[0]
			if first.until <= n {
				heap.Pop(&open)
				continue
			}
			amount := min(left, first.work)
			left -= amount
			done += amount
			first.work -= amount
			if first.work <= 0 {
				heap.Pop(&open)
			}
		}
	}
	return done
}
