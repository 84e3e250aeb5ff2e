package psloss

import (
	"slices"
	"sort"
	"time"

	"persimmonstep/internal/trial/psbackend"
	"persimmonstep/internal/trial/psload"
	"persimmonstep/internal/trial/psscenario"
)

// Server is what one backend server has recorded.
type Server struct {
	Service   string
	Slots     int
	CacheSize int
	// Executions are its runs in the order in which it admitted them.
	Executions []psbackend.Execution
}

// SlotUse is how the slot time of a service was used while requests count, as fractions.
type SlotUse struct {
	Service string `json:"service"`
	// InTarget and Late are the runs of requests that were served, without the additional times below. Unused are runs
	// whose response no caller got.
	InTarget float64 `json:"inTarget"`
	Late     float64 `json:"late"`
	Unused   float64 `json:"unused"`
	// Uncached and SlowMachine are the additional times of all runs.
	Uncached    float64 `json:"uncached"`
	SlowMachine float64 `json:"slowMachine"`
	Idle        float64 `json:"idle"`
}

// CacheUse counts the runs of a route by whether their object was cached.
type CacheUse struct {
	Route string `json:"route"`
	Runs  int    `json:"runs"`
	// First is the number of uncached runs of objects that had not run anywhere, Evicted of those that had run on the
	// same server, and Moved of the others.
	First   int `json:"first"`
	Evicted int `json:"evicted"`
	Moved   int `json:"moved"`
}

// activity is what servers did during a run.
type activity struct {
	record *Record
	// byID holds the requests by the ids of their attempts.
	byID map[string]*psload.Observation
	// busy holds the runs of each server, cached the objects that each admitted, and holders the time of the first run of an
	// object on each server.
	busy    []busyTimes
	cached  [][]admittedObject
	holders map[objectKey]map[int]time.Duration
}

// admittedObject is the object of a request that a server admitted.
type admittedObject struct {
	at     time.Duration
	object int
}

type objectKey struct {
	service string
	object  int
}

// busyTimes are the admissions, starts and ends of a server's runs, each in order of time.
type busyTimes struct {
	admissions, starts, ends []time.Duration
}

// running returns the number of runs at a time.
func (b *busyTimes) running(at time.Duration) int { return until(b.starts, at) - until(b.ends, at) }

// present returns the number of requests that run or wait at a time.
func (b *busyTimes) present(at time.Duration) int { return until(b.admissions, at) - until(b.ends, at) }

// until returns how many times of a sorted list are not after a time.
func until(list []time.Duration, at time.Duration) int {
	return sort.Search(len(list), func(i int) bool { return list[i] > at })
}

func newActivity(r *Record, pools map[string]psscenario.Pool) *activity {
	a := &activity{record: r, byID: make(map[string]*psload.Observation), holders: make(map[objectKey]map[int]time.Duration)}
	for i := range r.Observations {
		for _, id := range r.Observations[i].IDs {
			a.byID[id] = &r.Observations[i]
		}
	}
	for n, s := range r.Servers {
		var b busyTimes
		var admitted []admittedObject
		for _, v := range s.Executions {
			b.admissions = append(b.admissions, v.Admitted.Sub(r.Start))
			b.starts = append(b.starts, v.Started.Sub(r.Start))
			b.ends = append(b.ends, v.Ended.Sub(r.Start))
			if key, found := a.objectOf(v.ID, pools); found {
				at := v.Admitted.Sub(r.Start)
				a.note(key, n, at)
				admitted = append(admitted, admittedObject{at, key.object})
			}
		}
		slices.Sort(b.admissions)
		slices.Sort(b.starts)
		slices.Sort(b.ends)
		a.busy = append(a.busy, b)
		a.cached = append(a.cached, admitted)
	}
	return a
}

// objectOf returns the object of a run; false if it has none.
func (a *activity) objectOf(id string, pools map[string]psscenario.Pool) (objectKey, bool) {
	o := a.byID[id]
	if o == nil {
		return objectKey{}, false
	}
	p := pools[o.Stream.Route]
	return objectKey{p.ServiceName(), o.Object}, p.Objects > 0
}

// note records a run of an object on a server.
func (a *activity) note(key objectKey, server int, at time.Duration) {
	if a.holders[key] == nil {
		a.holders[key] = make(map[int]time.Duration)
	}
	if first, found := a.holders[key][server]; !found || at < first {
		a.holders[key][server] = at
	}
}

// idle returns the fraction of a service's slots that are idle at a time.
func (a *activity) idle(service string, at time.Duration) float64 {
	running, slots := 0, 0
	for n, s := range a.record.Servers {
		if s.Service == service {
			running += a.busy[n].running(at)
			slots += s.Slots
		}
	}
	return 1 - float64(running)/float64(max(1, slots))
}

// isCached reports whether a server has an object cached at a time: fewer than CacheSize others were admitted since.
func (a *activity) isCached(server, object int, at time.Duration) bool {
	list := a.cached[server]
	others := make(map[int]bool)
	for i := sort.Search(len(list), func(i int) bool { return list[i].at > at }) - 1; i >= 0 && len(others) < a.record.Servers[server].CacheSize; i-- {
		if list[i].object == object {
			return true
		}
		others[list[i].object] = true
	}
	return false
}

// holdersAt returns the number of servers that have the object of a request cached at a time, and whether one of them has
// an idle slot. A request without an object can run on any server of its service.
func (a *activity) holdersAt(o *psload.Observation, p psscenario.Pool, at time.Duration) (count int, idle bool) {
	for n, s := range a.record.Servers {
		if s.Service == p.ServiceName() && (p.Objects == 0 || a.isCached(n, o.Object, at)) {
			count++
			idle = idle || a.busy[n].running(at) < s.Slots
		}
	}
	return count, idle
}

// slotUse returns how the slot time of each service was used.
func (a *activity) slotUse(pools map[string]psscenario.Pool) []SlotUse {
	var out []SlotUse
	slots := make(map[string]float64)
	for n, s := range a.record.Servers {
		i := slices.IndexFunc(out, func(u SlotUse) bool { return u.Service == s.Service })
		if i < 0 {
			i = len(out)
			out = append(out, SlotUse{Service: s.Service})
		}
		slots[s.Service] += float64(s.Slots) * (a.record.Span - a.record.Settle).Seconds()
		for _, v := range a.record.Servers[n].Executions {
			if at := v.Started.Sub(a.record.Start); at >= a.record.Settle && at < a.record.Span {
				out[i].add(a.byID[v.ID], v, pools)
			}
		}
	}
	for i := range out {
		u, total := &out[i], slots[out[i].Service]
		for _, part := range []*float64{&u.InTarget, &u.Late, &u.Unused, &u.Uncached, &u.SlowMachine} {
			*part /= total
		}
		u.Idle = 1 - u.InTarget - u.Late - u.Unused - u.Uncached - u.SlowMachine
	}
	return out
}

// add adds the time of a run in seconds.
func (u *SlotUse) add(o *psload.Observation, v psbackend.Execution, pools map[string]psscenario.Pool) {
	total := v.Ended.Sub(v.Started)
	if o == nil || !o.Served() || o.IDs[len(o.IDs)-1] != v.ID {
		u.Unused += total.Seconds()
		return
	}
	p := pools[o.Stream.Route]
	u.Uncached += (v.Work - p.CachedWork()).Seconds()
	u.SlowMachine += (total - v.Work).Seconds()
	if o.Latency() <= p.TargetLatency() {
		u.InTarget += p.CachedWork().Seconds()
	} else {
		u.Late += p.CachedWork().Seconds()
	}
}

// cacheUse counts the runs of each route with objects while requests count.
func (a *activity) cacheUse(pools map[string]psscenario.Pool) []CacheUse {
	var out []CacheUse
	for _, p := range a.record.Pools {
		if p.Objects > 0 {
			out = append(out, CacheUse{Route: p.Name})
		}
	}
	for n, s := range a.record.Servers {
		for _, v := range s.Executions {
			key, found := a.objectOf(v.ID, pools)
			at := v.Admitted.Sub(a.record.Start)
			if !found || at < a.record.Settle {
				continue
			}
			route := a.byID[v.ID].Stream.Route
			u := &out[slices.IndexFunc(out, func(u CacheUse) bool { return u.Route == route })]
			u.Runs++
			if !v.Cached {
				u.count(a.holders[key], n, at)
			}
		}
	}
	return out
}

// count counts an uncached run by the earlier runs of its object, given the time of the first run on each server.
func (u *CacheUse) count(holders map[int]time.Duration, server int, at time.Duration) {
	earliest := at
	for _, first := range holders {
		earliest = min(earliest, first)
	}
	switch {
	case holders[server] < at:
		u.Evicted++
	case earliest < at:
		u.Moved++
	default:
		u.First++
	}
}
