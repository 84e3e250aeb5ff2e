package psserver

import (
	"sync"
	"time"

	"persimmonstep/internal/process/pscache"
	"persimmonstep/internal/process/pslimit"
	"persimmonstep/internal/process/psobject"
	"persimmonstep/internal/request/psdecay"
	"persimmonstep/internal/request/psspeed"
)

const (
	// outcomeTimeConstant is the time constant with which slowness and failure rate decay.
	outcomeTimeConstant = 3 * time.Second
	// outcomeWeight is the weight of one request in these moving averages.
	outcomeWeight = 0.15
	// minSlowness and maxSlowness bound the ratio of measured to expected time of one request.
	minSlowness = 0.3
	maxSlowness = 20
)

// Server is this VM's view of one run of a backend server. It is safe for concurrent use.
type Server struct {
	Region string
	// RecentObjects holds the objects that this VM recently sent to the server.
	RecentObjects *psobject.Recent

	mutex sync.Mutex
	entry Entry

	inFlight int
	// unansweredSince is when this VM began to wait: when it sent a request while none was in flight, or
	// when the last response came, whichever is later.
	unansweredSince time.Time
	lastResponseAt  time.Time

	load  load
	lag   lag
	speed psspeed.Tracker

	slowness    float64
	failureRate float64
	averagedAt  time.Time

	// primary is the hit rate for objects whose primary server this is, and fallback that for other objects.
	primary, fallback pscache.HitRate
	cacheable         pscache.CacheableFraction

	failed failure
	// leaving is set once the server announces its shutdown.
	leaving bool
	// removed is set once the entry is no longer registered. Requests may still hold an earlier snapshot with the server.
	removed bool
	// disputed is set if an entry of the server that was rejected says that it is draining.
	disputed bool
	pause    pause
	limit    pslimit.Statement
	// sent counts the requests and probes that were sent to the server.
	sent int64
	// coldUntil is when the server has warmed up and takes its full load.
	coldUntil time.Time
	// tokens is the fill level of the token bucket that limits this VM's requests to the cold server.
	tokens     float64
	refilledAt time.Time
}

// failure takes a registered server out of use. The zero value is no failure.
type failure struct {
	since time.Time
	// replaced is set if another server answered at the address.
	replaced bool
}

// New returns the view of a server that was just registered.
func New(e Entry, region string, now time.Time) *Server {
	s := &Server{Region: region, RecentObjects: psobject.NewRecent(), entry: e, slowness: 1, averagedAt: now}
	if e.ColdFor > 0 {
		s.coldUntil = now.Add(e.ColdFor)
	}
	return s
}

// Entry returns the latest registration.
func (s *Server) Entry() Entry {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.entry
}

// Renew replaces the entry by a newer one of the same incarnation. Servers write an entry only when it
// changes, so an unchanged ColdFor doesn't extend the cold time.
func (s *Server) Renew(e Entry, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if e.ColdFor != s.entry.ColdFor {
		s.coldUntil = now.Add(e.ColdFor)
	}
	s.entry = e
	s.disputed = false
}

// ProbeSucceeded records a successful probe, which returned how long the server stays cold. It reports whether
// the server had failed and is in use again.
func (s *Server) ProbeSucceeded(coldFor time.Duration, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.coldUntil = now.Add(coldFor)
	if s.failed.since.IsZero() || s.failed.replaced {
		return false
	}
	s.failed = failure{}
	return true
}

// AssumeCold treats the server as cold for a duration, or until a probe or an entry gives its cold time.
func (s *Server) AssumeCold(d time.Duration, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if until := now.Add(d); until.After(s.coldUntil) {
		s.coldUntil = until
	}
}

// MarkFailed takes the server out of use until a probe succeeds. It reports whether the server was in use.
func (s *Server) MarkFailed(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.failed.since.IsZero() {
		return false
	}
	s.failed = failure{since: now}
	return true
}

// ForgetFailures returns the server to use if it was taken out since a time, and forgets its failure rate and lag,
// because they are due to the VM's own links. A server whose address is used by another one stays out of use.
func (s *Server) ForgetFailures(since, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.failed.replaced && !s.failed.since.Before(since) {
		s.failed = failure{}
	}
	s.failureRate, s.slowness, s.averagedAt = 0, 1, now
	s.lag.measured = decayingValue{}
	s.unansweredSince = now
}

// MarkReplaced takes the server out of use for good because another server uses its address. It reports
// whether that is new.
func (s *Server) MarkReplaced(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.failed.replaced {
		return false
	}
	s.failed = failure{since: now, replaced: true}
	return true
}

// BeginRequest records that a request is sent to the server. maxExpected is the longest time until the response
// that the server's queue and the run time account for.
func (s *Server) BeginRequest(now time.Time, maxExpected time.Duration) *Exchange {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.inFlight == 0 {
		s.unansweredSince = now
	}
	s.inFlight++
	e := &Exchange{sentAt: now, maxExpected: maxExpected}
	s.lag.pending = append(s.lag.pending, e)
	return e
}

// EndRequest records that a request no longer waits for the server.
func (s *Server) EndRequest(e *Exchange) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.inFlight--
	s.lag.remove(e)
}

// RecordResponse records that the server answered, with any status.
func (s *Server) RecordResponse(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastResponseAt = now
	s.unansweredSince = now
}

// AnsweredSince reports whether a response came after a point in time.
func (s *Server) AnsweredSince(t time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lastResponseAt.After(t)
}

// RecordLoad records the load that a response reports. The report includes this VM's own requests in flight,
// which are subtracted.
func (s *Server) RecordLoad(running, waiting int, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.load.record(max(0, float64(running+waiting-s.inFlight)), waiting, now)
}

// RecordOutcome updates slowness and failure rate with one request. ratio is its measured time divided by the
// expected one; 0 if it does not indicate the server's speed.
func (s *Server) RecordOutcome(ratio float64, failed bool, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	slowness, failureRate := s.averages(now)
	s.averagedAt = now
	s.failureRate = failureRate * (1 - outcomeWeight)
	s.slowness = slowness
	if failed {
		s.failureRate += outcomeWeight
		return
	}
	if ratio > 0 {
		s.slowness = slowness*(1-outcomeWeight) + outcomeWeight*min(maxSlowness, max(minSlowness, ratio))
	}
}

// RecordCacheResult updates the hit rates with a request whose object was sent to the server before. primary is
// set if this is the object's primary server, and hit if the server had the object in its cache.
func (s *Server) RecordCacheResult(primary, hit bool, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !primary {
		s.fallback.Record(hit, now)
		return
	}
	s.primary.Record(hit, now)
	s.cacheable.Record(hit, s.primary.Value(now))
}

// averages returns slowness and failure rate after decay.
func (s *Server) averages(now time.Time) (slowness, failureRate float64) {
	factor := psdecay.Factor(now.Sub(s.averagedAt), outcomeTimeConstant)
	return 1 + (s.slowness-1)*factor, s.failureRate * factor
}

// ColdShare is this VM's share of the load that a cold server can take, as the limits of a token bucket.
type ColdShare struct {
	// PerSecond is the rate in requests per second, and Burst the capacity of the bucket in requests.
	PerSecond float64
	Burst     float64
}

// TakeColdToken takes a token for one request to a cold server. It reports false if the bucket is empty.
func (s *Server) TakeColdToken(share ColdShare, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.refill(share, now)
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

func (s *Server) refill(share ColdShare, now time.Time) {
	if s.refilledAt.IsZero() {
		s.tokens = share.Burst
	} else {
		s.tokens = min(share.Burst, s.tokens+share.PerSecond*now.Sub(s.refilledAt).Seconds())
	}
	s.refilledAt = now
}

// View is a snapshot of a server with all inputs of a routing decision.
type View struct {
	Entry Entry `json:"entry"`
	// Usable is set if the server can be sent a request.
	Usable bool `json:"usable"`
	// Cold is set while the server warms up, when each request needs a token.
	Cold bool `json:"cold"`
	// PauseRemaining is the time until the pause ends that the server requested of this VM; 0 without one.
	PauseRemaining time.Duration `json:"quiet"`
	// Limit is the limit that the server last named, and LimitAge the time since a response stated it.
	Limit    pslimit.Limit `json:"limit,omitzero"`
	LimitAge time.Duration `json:"limitAge,omitzero"`
	// Load is the estimated number of requests at the server, and LoadAge the age of the latest load report.
	Load    float64       `json:"load"`
	LoadAge time.Duration `json:"loadAge"`
	// ReportedLoad is the load by the latest report, and this VM's requests in flight.
	ReportedLoad float64 `json:"reportedLoad"`
	// Slowness is the average ratio of measured to expected time; 1 is as expected.
	Slowness float64 `json:"slowness"`
	// Speed is how fast the server states that its machine is at the moment.
	Speed psspeed.Speed `json:"speed,omitzero"`
	// FailureRate is the fraction in 0..1 of requests that failed.
	FailureRate float64 `json:"failures"`
	// PrimaryHitRate and FallbackHitRate are the cache hit rates for objects that were sent there before: those
	// whose primary server this is, the first in the object's ranking, and others.
	PrimaryHitRate  float64 `json:"homeRecall"`
	FallbackHitRate float64 `json:"awayRecall"`
	// CacheableFraction is the fraction in 0..1 of the objects whose primary server this is that fit into its cache.
	CacheableFraction float64 `json:"keeps"`
	// SilentFor is the time for which requests have been in flight without any response from the server.
	SilentFor time.Duration `json:"silent"`
	// Lag is the response time as a multiple of the longest expected time, measured here or by another VM.
	Lag float64 `json:"lag"`
	// Removed is set if the server's entry is no longer registered.
	Removed bool `json:"removed,omitempty"`
}

// usable reports whether the server can be sent a request. The caller holds the mutex.
func (s *Server) usable(now time.Time) bool {
	return s.entry.State == Ready && !s.removed && !s.disputed && s.failed.since.IsZero() && !s.leaving && s.pause.remaining(now) == 0
}

// View returns a snapshot of the server.
func (s *Server) View(now time.Time) View {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	v := View{
		Entry: s.entry, Usable: s.usable(now), Cold: now.Before(s.coldUntil), PauseRemaining: s.pause.remaining(now), Removed: s.removed,
	}
	v.Slowness, v.FailureRate = s.averages(now)
	v.Speed = s.speed.At(now)
	v.CacheableFraction = s.cacheable.Value()
	v.PrimaryHitRate, v.FallbackHitRate = s.primary.Value(now), s.fallback.Value(now)
	v.LoadAge = now.Sub(s.load.at)
	v.Lag = max(s.lag.local(v.Speed, now), s.lag.reported.current(now))
	v.Load = float64(s.inFlight) + s.load.estimate(now)
	v.ReportedLoad = float64(s.inFlight) + s.load.latest
	v.Load += s.pause.reserved(now) * float64(s.entry.Slots)
	if limit, age := s.limit.Limit(now); limit.Named {
		v.Limit, v.LimitAge = limit, age
	}
	if s.inFlight > 0 {
		v.SilentFor = now.Sub(s.unansweredSince)
	}
	return v
}
