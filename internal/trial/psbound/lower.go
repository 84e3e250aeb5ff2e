package psbound

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"persimmonstep/internal/trial/psresult"
)

// maxReplicas is the greatest number of servers that cache one object in a schedule.
const maxReplicas = 4

// remotePenalties are the values, as a fraction of a server's mean load, that are tried for the disadvantage of caching an
// object in a region other than that of its callers.
var remotePenalties = []float64{0, 0.25, 0.5, 1}

// Lower returns what a schedule serves in target. Objects have fixed servers, whose caches hold all of theirs. The first
// requests of an object run uncached, one on each of its servers. All others are inserted in an order, such as that of their
// value for each second of a slot and then of their deadlines, into the time that the slots still have free. A request that
// doesn't end in time anywhere, or is above the rate of its workspace, is rejected. Of several numbers and places of
// servers for the objects of a service, and of several orders, the best is taken.
func Lower(p *Problem) psresult.InTarget {
	var out psresult.InTarget
	for i := range p.Services {
		s := &p.Services[i]
		var best psresult.InTarget
		var chosen plan
		try := func(c plan) {
			if v := p.schedule(s, c); v.Weight > best.Weight || best.Sent == 0 {
				best, chosen = v, c
			}
		}
		for replicas := range maxReplicas {
			for _, penalty := range remotePenalties {
				try(plan{replicas: replicas + 1, penalty: penalty, compare: byDensity})
			}
		}
		for _, f := range []func(a, b *Request) int{byDeadline, byLatestStart, byWeight} {
			chosen.compare = f
			try(chosen)
		}
		out.Merge(best)
	}
	return out
}

// plan is how a schedule is made.
type plan struct {
	// replicas is the number of servers that cache an object, and penalty the disadvantage of one in another region.
	replicas int
	penalty  float64
	// compare orders the requests.
	compare func(a, b *Request) int
}

func byDensity(a, b *Request) int {
	return cmp.Or(cmp.Compare(b.density(), a.density()), byDeadline(a, b))
}
func byDeadline(a, b *Request) int { return cmp.Compare(a.Due, b.Due) }
func byLatestStart(a, b *Request) int {
	return cmp.Compare(a.Due-a.Work, b.Due-b.Work)
}

func byWeight(a, b *Request) int { return cmp.Or(cmp.Compare(b.Weight, a.Weight), byLatestStart(a, b)) }

// run is a time in which a slot is in use.
type run struct {
	start, end time.Duration
}

// timeline is the schedule of the slots of one server.
type timeline struct {
	server *Server
	// slots holds the runs of each slot in order of time.
	slots [][]run
	// cachedFrom holds the time from which on each of its objects is cached.
	cachedFrom map[int]time.Duration
}

// place is where a request can run.
type place struct {
	timeline *timeline
	slot     int
	run
}

// earliest returns the earliest run of work on the server that begins at or after a time and ends before another.
func (t *timeline) earliest(ready, end, work time.Duration) (place, bool) {
	best, found := place{}, false
	for slot, runs := range t.slots {
		start := ready
		for i := sort.Search(len(runs), func(i int) bool { return runs[i].end > ready }); ; i++ {
			finish := t.server.Spells.Finish(start, work)
			if finish > end {
				break
			}
			if i == len(runs) || finish <= runs[i].start {
				best, found, end = place{t, slot, run{start, finish}}, true, finish-1
				break
			}
			start = max(start, runs[i].end)
		}
	}
	return best, found
}

// occupy adds the run of a place to the schedule.
func (v place) occupy() {
	runs := v.timeline.slots[v.slot]
	i := sort.Search(len(runs), func(i int) bool { return runs[i].start >= v.start })
	v.timeline.slots[v.slot] = slices.Insert(runs, i, v.run)
}

// schedule returns what a schedule of a service serves in target.
func (p *Problem) schedule(s *Service, c plan) psresult.InTarget {
	timelines := make([]*timeline, len(s.Servers))
	for i := range s.Servers {
		timelines[i] = &timeline{server: &s.Servers[i], slots: make([][]run, s.Servers[i].Slots), cachedFrom: make(map[int]time.Duration)}
	}
	inTarget := make(map[*Request]bool)
	objects := p.assign(s, timelines, c)
	var rest []*Request
	for i := range s.Requests {
		r := &s.Requests[i]
		if !r.Entitled {
			continue
		}
		if r.Object < 0 || !p.fill(r, objects, inTarget) {
			rest = append(rest, r)
		}
	}
	slices.SortStableFunc(rest, c.compare)
	for _, r := range rest {
		candidates := timelines
		if r.Object >= 0 {
			candidates = objects[r.Object]
		}
		if v, found := p.insert(r, candidates); found {
			v.occupy()
			inTarget[r] = true
		}
	}
	var out psresult.InTarget
	for i := range s.Requests {
		if r := &s.Requests[i]; p.counts(r) {
			out.Add(r.Priority, r.Weight, inTarget[r])
		}
	}
	return out
}

// fill runs a request on the first server of its object that hasn't cached it yet. It reports whether there is one.
func (p *Problem) fill(r *Request, objects map[int][]*timeline, inTarget map[*Request]bool) bool {
	for _, t := range objects[r.Object] {
		if _, cached := t.cachedFrom[r.Object]; cached {
			continue
		}
		v, found := t.earliest(r.Ready+p.Latency(r.Domain, t.server), r.End, r.Uncached)
		if found {
			v.occupy()
			t.cachedFrom[r.Object] = v.start
			inTarget[r] = v.end <= r.Due
		}
		return found
	}
	return false
}

// insert returns the place on one of the servers at which a request ends first; false if it isn't in time anywhere.
func (p *Problem) insert(r *Request, candidates []*timeline) (place, bool) {
	best, found, due := place{}, false, r.Due
	for _, t := range candidates {
		ready := r.Ready + p.Latency(r.Domain, t.server)
		if r.Object >= 0 {
			from, cached := t.cachedFrom[r.Object]
			if !cached {
				continue
			}
			ready = max(ready, from)
		}
		if v, fits := t.earliest(ready, due, r.Work); fits {
			best, found, due = v, true, v.end-1
		}
	}
	return best, found
}

// assign returns the servers of each object. Objects with more work go first, each to the servers with the least work for
// a slot. Those that the caches don't hold have none.
func (p *Problem) assign(s *Service, timelines []*timeline, c plan) map[int][]*timeline {
	work, domains := make(map[int]float64), make(map[int]int)
	total, slots := 0.0, 0
	var objects []int
	for i := range s.Requests {
		r := &s.Requests[i]
		if r.Object < 0 {
			continue
		}
		if _, found := work[r.Object]; !found {
			objects = append(objects, r.Object)
		}
		work[r.Object] += r.Work.Seconds()
		domains[r.Object] = r.Domain
		total += r.Work.Seconds()
	}
	for i := range s.Servers {
		slots += s.Servers[i].Slots
	}
	slices.SortFunc(objects, func(a, b int) int { return cmp.Or(cmp.Compare(work[b], work[a]), cmp.Compare(a, b)) })
	load, room := make(map[*timeline]float64), make(map[*timeline]int)
	for _, t := range timelines {
		room[t] = t.server.CacheSize
	}
	out := make(map[int][]*timeline)
	// The first server of each object is assigned before the second of any, so that caches hold all objects first.
	for n := range c.replicas {
		for _, o := range objects {
			cost := func(t *timeline) float64 {
				v := load[t] / float64(t.server.Slots) / (total / float64(slots))
				if !p.SameRegion(domains[o], t.server) {
					v += c.penalty
				}
				return v
			}
			var best *timeline
			for _, t := range timelines {
				if room[t] > 0 && !slices.Contains(out[o], t) && (best == nil || cost(t) < cost(best)) {
					best = t
				}
			}
			if best == nil || len(out[o]) < n {
				continue
			}
			out[o] = append(out[o], best)
			room[best]--
			load[best] += work[o] / float64(c.replicas)
		}
	}
	return out
}
