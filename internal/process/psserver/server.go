package psserver

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// loadSpan is the time after which a load report counts for about a third.
	loadSpan = 400 * time.Millisecond
	// judgeSpan is the time after which a judgement of speed or failures counts for about a third.
	judgeSpan = 3 * time.Second
	// judgeWeight is the weight of one answer in a judgement.
	judgeWeight = 0.15
	// minLongest is the least time after which an answer can be overdue.
	minLongest = 20 * time.Millisecond
	// clearRatio is a slowness that no missing object explains, and clearWeight the weight of
	// an answer that shows one.
	clearRatio  = 4
	clearWeight = 0.8
	// overdueAfter is how many times its longest expected time a request may take before its
	// server counts as slow though it has not answered yet. It is expected to take
	// overdueGrowth times as long as it has by then.
	overdueAfter  = 1.3
	overdueGrowth = 2
	// toldSpan is how long the word of another VM counts.
	toldSpan = 2 * time.Second
	// minSlowness and maxSlowness bound the ratio of measured to expected time.
	minSlowness = 0.3
	maxSlowness = 20
)

// Server is one run of a backend server as this VM sees it. It is safe for concurrent use.
type Server struct {
	// Region is where the server runs.
	Region string
	// Objects are what the server handled lately.
	Objects *Memory

	mutex sync.Mutex
	entry Entry

	// pending are the requests without an answer, the oldest first.
	pending []*Pending
	// waitingSince is when the oldest unanswered request was sent, or the last answer came.
	waitingSince time.Time
	lastAnswer   time.Time

	// others is the load of other VMs by the latest report.
	others     float64
	reportedAt time.Time

	slowness float64
	failures float64
	judgedAt time.Time
	told     told

	// home and away are the recalls of objects of which this server is the first choice, and of others.
	home, away Recall
	keep       Keep

	failed failure
	// coldUntil is when the server bears its whole load.
	coldUntil time.Time
	// tokens are the requests that the cold server may get from this VM now.
	tokens     float64
	refilledAt time.Time
}

// Pending is a request that waits for the server's answer.
type Pending struct {
	sentAt   time.Time
	expected Expected
}

// failure is why a server gets no requests though it is registered.
type failure struct {
	since time.Time
	// moved says that another server answered at the address.
	moved bool
}

// New returns a server that was just registered.
func New(e Entry, region string, now time.Time) *Server {
	s := &Server{Region: region, Objects: NewMemory(), entry: e, slowness: 1, judgedAt: now}
	if e.ColdFor > 0 {
		s.coldUntil = now.Add(e.ColdFor)
	}
	return s
}

// Entry returns the latest entry.
func (s *Server) Entry() Entry {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.entry
}

// Renew takes in a newer entry of the same incarnation. An entry is written only when it changes.
func (s *Server) Renew(e Entry, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if e.ColdFor != s.entry.ColdFor {
		s.coldUntil = now.Add(e.ColdFor)
	}
	s.entry = e
}

// Found takes in what a probe found: the server lives and stays cold for a time. It reports
// whether the server had failed and is taken back.
func (s *Server) Found(coldFor time.Duration, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.coldUntil = now.Add(coldFor)
	if s.failed.since.IsZero() || s.failed.moved {
		return false
	}
	s.failed = failure{}
	return true
}

// AssumeCold takes the server for cold for a time, or until it says otherwise.
func (s *Server) AssumeCold(d time.Duration, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if until := now.Add(d); until.After(s.coldUntil) {
		s.coldUntil = until
	}
}

// Fail takes the server out until a probe finds it. It reports whether it was in use.
func (s *Server) Fail(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.failed.since.IsZero() {
		return false
	}
	s.failed = failure{since: now}
	return true
}

// Move takes the server out for good because another one has its address.
func (s *Server) Move(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.failed.moved {
		return false
	}
	s.failed = failure{since: now, moved: true}
	return true
}

// Expected is how long a request takes on a server that is as fast as others.
type Expected struct {
	// Usual is the expected latency, and Longest that without the object at hand.
	Usual, Longest time.Duration
}

// Sent takes in that a request goes to the server. It must be ended with what is returned.
func (s *Server) Sent(now time.Time, e Expected) *Pending {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.pending) == 0 {
		s.waitingSince = now
	}
	p := &Pending{sentAt: now, expected: e}
	s.pending = append(s.pending, p)
	return p
}

// Ended takes in that a request no longer waits for the server.
func (s *Server) Ended(p *Pending) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if i := slices.Index(s.pending, p); i >= 0 {
		s.pending = slices.Delete(s.pending, i, i+1)
	}
}

// Answered takes in that the server answered anything at all.
func (s *Server) Answered(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastAnswer = now
	s.waitingSince = now
}

// AnsweredSince reports whether any answer came after a moment.
func (s *Server) AnsweredSince(t time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lastAnswer.After(t)
}

// Reported takes in the load that an answer tells, which includes this VM's other requests.
func (s *Server) Reported(running, waiting int, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.others = max(0, float64(running+waiting-len(s.pending)))
	s.reportedAt = now
}

// Judge takes in how an answer's time compares with what was expected, and whether it failed.
func (s *Server) Judge(ratio float64, failed bool, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	slowness, failures := s.judgement(now)
	s.judgedAt = now
	s.failures = failures * (1 - judgeWeight)
	s.slowness = slowness
	if failed {
		s.failures += judgeWeight
		return
	}
	if ratio > 0 {
		s.slowness = blend(slowness, min(maxSlowness, max(minSlowness, ratio)))
	}
}

// blend adds the ratio of one answer to a slowness.
func blend(slowness, ratio float64) float64 {
	w := judgeWeight
	if ratio >= clearRatio {
		w = clearWeight
	}
	return slowness*(1-w) + w*ratio
}

// Recalled takes in whether the server held an object that was sent there before.
func (s *Server) Recalled(home, held bool, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !home {
		s.away.Note(held, now)
		return
	}
	s.home.Note(held, now)
	s.keep.Note(held, s.home.Value(now))
}

// judgement returns the judgement as it counts now; older ones fade.
func (s *Server) judgement(now time.Time) (slowness, failures float64) {
	fade := math.Exp(-float64(now.Sub(s.judgedAt)) / float64(judgeSpan))
	return 1 + (s.slowness-1)*fade, s.failures * fade
}

// Slow returns how slow the server is by this VM's own requests, if it clearly is.
func (s *Server) Slow(now time.Time) (float64, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	slowness, _ := s.judgement(now)
	slowness = max(slowness, s.overdue(now))
	return slowness, slowness >= clearRatio
}

// Told takes in how slow the server is according to another VM.
func (s *Server) Told(slowness float64, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.told = told{min(maxSlowness, slowness), now}
}

// told is what another VM said last.
type told struct {
	slowness float64
	since    time.Time
}

// at returns how slow the server is by what was told, which counts for a short while.
func (t told) at(now time.Time) float64 {
	if now.Sub(t.since) > toldSpan {
		return 0
	}
	return t.slowness
}

// overdue returns how slow the server looks by the requests that have no answer yet; 0 if each
// may still be answered in time.
func (s *Server) overdue(now time.Time) float64 {
	most := 0.0
	for _, p := range s.pending {
		age := now.Sub(p.sentAt)
		if float64(age) > overdueAfter*float64(max(minLongest, p.expected.Longest)) {
			most = max(most, overdueGrowth*float64(age)/float64(max(minLongest, p.expected.Usual)))
		}
	}
	return min(maxSlowness, most)
}

// ColdShare is this VM's part of what a cold server bears.
type ColdShare struct {
	// PerSecond is a rate of requests, and Depth how many may come at once.
	PerSecond float64
	Depth     float64
}

// TakeCold takes a token of a cold server. It reports false if there is none left.
func (s *Server) TakeCold(c ColdShare, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.refill(c, now)
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

func (s *Server) refill(c ColdShare, now time.Time) {
	if s.refilledAt.IsZero() {
		s.tokens = c.Depth
	} else {
		s.tokens = min(c.Depth, s.tokens+c.PerSecond*now.Sub(s.refilledAt).Seconds())
	}
	s.refilledAt = now
}

// View is what a decision needs to know of a server at one moment.
type View struct {
	Entry Entry `json:"entry"`
	// Usable says that the server may get a request now.
	Usable bool `json:"usable"`
	// Cold says that each request needs a token.
	Cold bool `json:"cold"`
	// Load is the estimated number of requests at the server, and LoadAge the report's age.
	Load    float64       `json:"load"`
	LoadAge time.Duration `json:"loadAge"`
	// Slowness is the ratio of measured to expected time; 1 is as expected.
	Slowness float64 `json:"slowness"`
	// Failures is the part of answers that failed.
	Failures float64 `json:"failures"`
	// HomeRecall and AwayRecall are how often the server still held an object that was sent there.
	HomeRecall float64 `json:"homeRecall"`
	AwayRecall float64 `json:"awayRecall"`
	// Keeps is the part of its own objects that the server can hold.
	Keeps float64 `json:"keeps"`
	// Silent is how long requests have been waiting with no answer at all.
	Silent time.Duration `json:"silent"`
}

// View returns the server as it looks now.
func (s *Server) View(now time.Time) View {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	v := View{Entry: s.entry, Usable: s.entry.State == Ready && s.failed.since.IsZero(), Cold: now.Before(s.coldUntil)}
	v.Slowness, v.Failures = s.judgement(now)
	v.Slowness = max(v.Slowness, s.overdue(now), s.told.at(now))
	v.Keeps = s.keep.Part()
	v.HomeRecall, v.AwayRecall = s.home.Value(now), s.away.Value(now)
	v.LoadAge = now.Sub(s.reportedAt)
	v.Load = float64(len(s.pending)) + s.others*math.Exp(-float64(v.LoadAge)/float64(loadSpan))
	if len(s.pending) > 0 {
		v.Silent = now.Sub(s.waitingSince)
	}
	return v
}
