package pshealth

import (
	"sync/atomic"
	"time"

	"persimmonstep/internal/request/psgate"
	"persimmonstep/internal/version/psplan"
)

// verdict is what readers see of a server. It never changes.
type verdict struct {
	excluded bool
	weight   float64
}

// record is what is known of one server. All but the two atomics belong to the tracker's mutex.
type record struct {
	server *psplan.Server
	owned  bool
	group  *group

	verdict  atomic.Pointer[verdict]
	estimate atomic.Int64

	phase          phase
	unreachable    bool
	dialTimeouts   int
	probedWell     bool
	failuresInARow int
	// spared is the value of failuresInARow before the last good answer.
	spared    int
	ejections int
	// outAt is when the server was last ejected or found down.
	outAt    time.Time
	withheld Reason

	samples, failures float64
	countedAt         time.Time

	latency   time.Duration
	latencyAt time.Time

	inFlight   int
	progressAt time.Time
	goodAt     time.Time
	seenAt     time.Time

	shedFactor float64
	shedAt     time.Time
	load       float64
	loadAt     time.Time
	unwellAt   time.Time

	// drainingAt is when the server last said that it is leaving; zero if it does not.
	drainingAt time.Time
	// leaving says that any source named the server as leaving at the last step.
	leaving bool

	probing bool
	probeAt time.Time
}

func newRecord(v phase, now time.Time) *record {
	r := &record{phase: v, shedFactor: 1, countedAt: now, goodAt: now, seenAt: now, probeAt: now}
	r.verdict.Store(&verdict{weight: weigh(now, v, hints{shedFactor: 1})})
	return r
}

const (
	// shedCut is the factor by which a shed request narrows a server's share, at most once
	// each shedInterval, and shedRecovery the growth of the share per second.
	shedCut      = 0.8
	shedFloor    = 0.2
	shedInterval = 100 * time.Millisecond
	shedRecovery = 0.1
)

// take enters the end of an attempt.
func (r *record) take(o psgate.Observation, now time.Time) {
	r.seenAt = now
	if o.Truncated {
		r.takeTruncation(now)
		return
	}
	if !o.Streamed {
		r.inFlight = max(0, r.inFlight-1)
	}
	r.takeReports(o, now)
	v := sortEnding(o)
	switch v := v.(type) {
	case good:
		r.progressAt, r.goodAt = now, now
		if now.Add(-o.Duration).After(r.outAt) {
			r.probedWell = true
		}
		r.spared = r.failuresInARow
		r.failuresInARow = 0
		r.connect()
		r.count(now, 0)
		if !o.Streamed {
			r.takeLatency(o.Duration, now)
		}
	case failed:
		r.failuresInARow++
		r.count(now, 1)
		if v.timeout && o.Duration > r.latency && !o.Streamed {
			r.takeLatency(o.Duration, now)
		}
		if !v.timeout {
			r.progressAt = now
		}
	case shed:
		r.progressAt = now
		r.connect()
		r.cutShare(now)
	case unreachable:
		r.progressAt = now
		r.missConnection(v.timeout)
	case silent:
		// A cancelled request took at least this long.
		if o.Duration > r.latency && !o.Streamed && r.latency > 0 {
			r.takeLatency(o.Duration, now)
		}
	}
}

// timeoutsToBeDown is the number of timeouts in a row after which a server that can't be
// connected to counts as down; a refusal counts at once.
const timeoutsToBeDown = 2

func (r *record) missConnection(timeout bool) {
	r.probedWell = false
	if timeout {
		r.dialTimeouts++
	}
	r.unreachable = r.unreachable || !timeout || r.dialTimeouts >= timeoutsToBeDown
}

func (r *record) connect() {
	r.unreachable, r.dialTimeouts = false, 0
}

// takeTruncation turns an answer that was taken for good into a failure.
func (r *record) takeTruncation(now time.Time) {
	r.count(now, 1)
	r.samples--
	r.failuresInARow = max(r.failuresInARow, r.spared) + 1
}

// takeReports enters what the server says of itself. Reports only ever narrow.
func (r *record) takeReports(o psgate.Observation, now time.Time) {
	if o.Header == nil {
		return
	}
	if o.Header.Get(headerDraining) == "true" {
		r.drainingAt = now
	}
	if load, found := reportedLoad(o.Header); found {
		r.load, r.loadAt = load, now
	}
}

func (r *record) takeLatency(d time.Duration, now time.Time) {
	if r.latencyAt.IsZero() {
		r.latency = d
	} else {
		r.latency = average(r.latency, d, now.Sub(r.latencyAt))
	}
	r.latencyAt = now
	r.estimate.Store(int64(r.latency))
}

func (r *record) count(now time.Time, failures float64) {
	f := decay(now.Sub(r.countedAt), rateHalfLife)
	r.samples, r.failures = r.samples*f+1, r.failures*f+failures
	r.countedAt = now
}

func (r *record) cutShare(now time.Time) {
	r.shedFactor = r.shedNow(now)
	if now.Sub(r.shedAt) >= shedInterval {
		r.shedFactor = max(shedFloor, r.shedFactor*shedCut)
	}
	r.shedAt = now
}

// shedNow is the factor with its recovery since the last shed request.
func (r *record) shedNow(now time.Time) float64 {
	if r.shedFactor == 1 {
		return 1
	}
	return min(1, r.shedFactor+shedRecovery*now.Sub(r.shedAt).Seconds())
}

func (r *record) silence(now time.Time) time.Duration {
	if r.inFlight == 0 {
		return 0
	}
	return now.Sub(r.progressAt)
}

func (r *record) signals(now time.Time) signals {
	return signals{
		now: now, phase: r.phase, unreachable: r.unreachable, probedWell: r.probedWell,
		failuresInARow: r.failuresInARow,
		samples:        r.samples * decay(now.Sub(r.countedAt), rateHalfLife),
		failures:       r.failures * decay(now.Sub(r.countedAt), rateHalfLife),
		silence:        r.silence(now), sinceGood: now.Sub(r.goodAt),
		reportedUnwell: now.Sub(r.unwellAt) < hintSpan, ejections: r.ejections,
	}
}

func (r *record) hints(now time.Time) hints {
	h := hints{
		latency: time.Duration(r.estimate.Load()), peerLatency: r.group.latency,
		shedFactor: r.shedNow(now), reportedUnwell: now.Sub(r.unwellAt) < hintSpan,
	}
	if now.Sub(r.loadAt) < hintSpan {
		h.load = r.load
	}
	return h
}

// isOut reports whether the phase keeps work away.
func (r *record) isOut() bool {
	switch r.phase.(type) {
	case ejected, down:
		return true
	}
	return false
}

func (r *record) isEjected() bool {
	_, ok := r.phase.(ejected)
	return ok
}
