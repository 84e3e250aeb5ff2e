// Package psloss attributes the requests of a run that were not served in target to causes, such as rejections by reason, queues
// and uncached runs. It shows where a change of the system could gain something.
//
// It joins three records of each request: that of its caller, that of the server that ran it, and the log line of its VM.
// The time of a late request is split into parts that add up to its latency.
package psloss

import (
	"fmt"
	"slices"
	"time"

	"persimmonstep/internal/trial/psbackend"
	"persimmonstep/internal/trial/psload"
	"persimmonstep/internal/trial/psrequestlog"
	"persimmonstep/internal/trial/psscenario"
)

// Part is a part of a request's latency.
type Part int

// The parts that a better system could shorten, and the others.
const (
	// Uncached is the additional run time without the cached object.
	Uncached Part = iota
	// SlowMachine is the additional run time on a slow machine.
	SlowMachine
	// Queue is the wait for a slot at the server.
	Queue
	// RoundTrip is the network between VM and server.
	RoundTrip
	// BeforeAttempt is the time at the VM outside of attempts: the body, the token of a rate, the selection.
	BeforeAttempt
	// EarlierAttempts is the time of attempts at other servers and through other VMs.
	EarlierAttempts
	// Connection is the time outside of the VM and of the network between caller and VM: behind others in a pipeline, or
	// until the connection is open.
	Connection
	// Rest is the time of the last attempt that the server doesn't account for.
	Rest
	// Unavoidable is the run with the cached object and the network between caller and VM.
	Unavoidable
	partCount
)

var partNames = [partCount]string{
	"run without the cached object", "slow machine", "queue at the server", "round trip to the server",
	"token, body, selection", "earlier attempts", "pipeline, connection", "rest of the attempt", "unavoidable",
}

// String returns the name of the part in reports.
func (p Part) String() string { return partNames[p] }

// Record is what is known of a run.
type Record struct {
	Pools         []psscenario.Pool
	CallerLatency time.Duration
	// Start is the start of the load. Settle and Span are the times after it between which requests count.
	Start        time.Time
	Settle, Span time.Duration
	Observations []psload.Observation
	Servers      []Server
	// Outcomes holds the log lines of VMs by request id.
	Outcomes map[string]psrequestlog.Outcome
	// Entitled holds the requests within the rates of their workspaces, by their sequence.
	Entitled map[int]bool

	executions map[string]placedExecution
}

// placedExecution is a run with the index of its server.
type placedExecution struct {
	psbackend.Execution
	server int
}

// Summary is how the requests of a run ended, and why those that were late or rejected were so.
type Summary struct {
	// Fates counts requests by how they ended.
	Fates []Fate `json:"fates"`
	// Parts describes the latency of late requests.
	Parts []PartSummary `json:"parts"`
	// Slots is how the services used their slot time, and Caches how often routes ran without their object cached.
	Slots  []SlotUse  `json:"slots"`
	Caches []CacheUse `json:"caches"`
	// Unknown counts the served requests without a record of their server or VM. They are in no part.
	Unknown int `json:"unknown"`
}

// Fate counts the requests that ended in one way.
type Fate struct {
	Name string `json:"name"`
	// ByPriority and ByRoute are the counts by priority and by route; Weight is the sum of their weights.
	ByPriority map[int]int    `json:"byPriority"`
	ByRoute    map[string]int `json:"byRoute"`
	Count      int            `json:"count"`
	Weight     float64        `json:"weight"`
	// BySecond are the counts by the second of arrival.
	BySecond map[int]int `json:"bySecond"`
	// Idle is the mean fraction of the service's slots that were idle when a server admitted the request, or when it was
	// rejected. Holders is the mean number of servers that had its object cached then, or all if it has none, and IdleHolder
	// counts the requests for which one of them had an idle slot.
	Idle       float64 `json:"idle"`
	Holders    float64 `json:"holders"`
	IdleHolder int     `json:"idleHolder"`
	// Decided is the number of the requests that were rejected by their expected wait. Wait, MaxWait and Overload are the means
	// over these of the expected wait and of the longest accepted one, in milliseconds, and of the overload from 0 to 1.
	Wait     float64 `json:"wait"`
	MaxWait  float64 `json:"maxWait"`
	Overload float64 `json:"overload"`
	Decided  int     `json:"decided"`
	// Compared is the number of the requests with a record of their server and of their VM. ExpectedLoad and Load are the means
	// over these of the load that the VM expected at the server, and of the number of other requests that ran or waited there
	// when the request was admitted.
	ExpectedLoad float64 `json:"expectedLoad"`
	Load         float64 `json:"load"`
	Compared     int     `json:"compared"`
}

// PartSummary describes one part of the latency.
type PartSummary struct {
	Name string `json:"name"`
	// Largest counts the late requests in which this part is the largest of those that a better system could shorten.
	// LargestByRoute are these counts by route, and LargestPipelined is that of callers that pipeline.
	Largest          int            `json:"largest"`
	LargestByRoute   map[string]int `json:"largestByRoute"`
	LargestPipelined int            `json:"largestPipelined"`
	// Enough counts the late requests that would be in target without this part.
	Enough int `json:"enough"`
	// Needed counts the late requests that would be late without any one of the other parts, but in target without this
	// one.
	Needed int `json:"needed"`
	// LateMean is the mean over late requests, and InTimeMean over those in target, in milliseconds.
	LateMean   float64 `json:"lateMean"`
	InTimeMean float64 `json:"inTimeMean"`
}

// fateOrder is the order of fates in reports. All others follow.
var fateOrder = []string{"in target", "late"}

// Summarize summarizes a run.
func Summarize(r Record) *Summary {
	s := &Summary{Parts: make([]PartSummary, partCount)}
	for p := range partCount {
		s.Parts[p].Name, s.Parts[p].LargestByRoute = p.String(), make(map[string]int)
	}
	for _, name := range fateOrder {
		s.Fates = append(s.Fates, newFate(name))
	}
	pools := make(map[string]psscenario.Pool)
	for _, p := range r.Pools {
		pools[p.Name] = p
	}
	r.executions = make(map[string]placedExecution)
	for i, v := range r.Servers {
		for _, e := range v.Executions {
			r.executions[e.ID] = placedExecution{e, i}
		}
	}
	a := newActivity(&r, pools)
	s.Slots, s.Caches = a.slotUse(pools), a.cacheUse(pools)
	late, inTime := 0, 0
	for i := range r.Observations {
		o := &r.Observations[i]
		pool, found := pools[o.Stream.Route]
		if !found || o.At < r.Settle || o.Stream.Marker != "" {
			continue
		}
		excess := o.Latency() - pool.TargetLatency()
		name := r.fate(o, excess)
		s.count(name, pool, a, o)
		if !o.Served() {
			continue
		}
		parts, known := r.split(o, pool)
		if !known {
			s.Unknown++
			continue
		}
		if excess <= 0 {
			inTime++
		} else {
			late++
		}
		s.add(o, parts, excess)
	}
	for i := range s.Fates {
		f := &s.Fates[i]
		f.Idle /= float64(max(1, f.Count))
		f.Holders /= float64(max(1, f.Count))
		f.Overload /= float64(max(1, f.Decided))
		f.Wait /= float64(max(1, f.Decided))
		f.MaxWait /= float64(max(1, f.Decided))
		f.ExpectedLoad /= float64(max(1, f.Compared))
		f.Load /= float64(max(1, f.Compared))
	}
	for p := range s.Parts {
		s.Parts[p].LateMean /= float64(max(1, late))
		s.Parts[p].InTimeMean /= float64(max(1, inTime))
	}
	return s
}

// fate returns the name of the way in which a request ended.
func (r *Record) fate(o *psload.Observation, excess time.Duration) string {
	switch {
	case o.Served() && excess <= 0:
		return "in target"
	case o.Served():
		return "late"
	case o.Status == 0:
		return "no response"
	}
	reason := "reason not logged"
	if v, found := r.Outcomes[o.IDs[len(o.IDs)-1]]; found {
		reason = v.Reason
	}
	if o.Status == 429 {
		if r.Entitled[o.Sequence] {
			reason += ", within the rate"
		} else {
			reason += ", above the rate"
		}
	}
	return fmt.Sprintf("%d %s", o.Status, reason)
}

func newFate(name string) Fate {
	return Fate{Name: name, ByPriority: make(map[int]int), ByRoute: make(map[string]int), BySecond: make(map[int]int)}
}

// count counts a request under a fate.
func (s *Summary) count(name string, p psscenario.Pool, a *activity, o *psload.Observation) {
	i := slices.IndexFunc(s.Fates, func(f Fate) bool { return f.Name == name })
	if i < 0 {
		i = len(s.Fates)
		s.Fates = append(s.Fates, newFate(name))
	}
	f := &s.Fates[i]
	f.Count++
	f.Weight += p.Weight()
	f.ByPriority[p.Priority]++
	f.ByRoute[p.Name]++
	f.BySecond[int(o.At.Seconds())]++
	at := o.Done
	id := o.IDs[len(o.IDs)-1]
	outcome, logged := a.record.Outcomes[id]
	if v, found := a.record.executions[id]; found {
		at = v.Admitted.Sub(a.record.Start)
		if logged {
			f.Compared++
			f.ExpectedLoad += outcome.Load
			f.Load += float64(a.busy[v.server].present(at) - 1)
		}
	}
	f.Idle += a.idle(p.ServiceName(), at)
	holders, idle := a.holdersAt(o, p, at)
	f.Holders += float64(holders)
	if idle {
		f.IdleHolder++
	}
	if outcome.Decided {
		f.Decided++
		f.Overload += outcome.Overload
		f.Wait += outcome.Wait.Seconds() * 1000
		f.MaxWait += outcome.MaxWait.Seconds() * 1000
	}
}

// split returns the parts of the latency of a served request. It reports false if a record is missing.
func (r *Record) split(o *psload.Observation, pool psscenario.Pool) (parts [partCount]time.Duration, known bool) {
	id := o.IDs[len(o.IDs)-1]
	v, ran := r.executions[id]
	if !ran {
		return parts, false
	}
	base := pool.CachedWork()
	parts[Unavoidable] = base + 2*r.CallerLatency
	parts[Uncached] = v.Work - base
	parts[SlowMachine] = v.Ended.Sub(v.Started) - v.Work
	parts[Queue] = v.Started.Sub(v.Admitted)
	parts[RoundTrip] = v.Latency
	parts[EarlierAttempts] = o.LastSent - o.Sent
	atServer := v.Latency + v.Ended.Sub(v.Admitted)
	total := o.Latency()
	outcome, logged := r.Outcomes[id]
	if !logged {
		return parts, false
	}
	if n := len(outcome.Attempts); n > 0 {
		all := time.Duration(0)
		for _, d := range outcome.Attempts {
			all += d
		}
		last := outcome.Attempts[n-1]
		parts[EarlierAttempts] += all - last
		parts[BeforeAttempt] = max(0, outcome.Took-all)
		parts[Rest] = max(0, last-atServer)
	}
	sum := time.Duration(0)
	for _, d := range parts {
		sum += d
	}
	parts[Connection] = total - sum
	return parts, true
}

// add adds the parts of a served request that is late by a time; it is in target if that is not positive.
func (s *Summary) add(o *psload.Observation, parts [partCount]time.Duration, excess time.Duration) {
	if excess <= 0 {
		for p, d := range parts {
			s.Parts[p].InTimeMean += float64(d.Microseconds()) / 1000
		}
		return
	}
	largest, enough := Uncached, 0
	only := Uncached
	for p, d := range parts {
		s.Parts[p].LateMean += float64(d.Microseconds()) / 1000
		if Part(p) == Unavoidable {
			continue
		}
		if d > parts[largest] {
			largest = Part(p)
		}
		if d >= excess {
			s.Parts[p].Enough++
			enough++
			only = Part(p)
		}
	}
	s.Parts[largest].Largest++
	s.Parts[largest].LargestByRoute[o.Stream.Route]++
	if o.Pipelined {
		s.Parts[largest].LargestPipelined++
	}
	if enough == 1 {
		s.Parts[only].Needed++
	}
}
