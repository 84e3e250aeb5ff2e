// Package psspeed predicts how fast the machine of a backend server is, from what the server's responses state.
//
// It answers this load pattern: a machine becomes several times slower for about a hundred milliseconds at a time, all
// day long. A request that is sent to it meanwhile takes longer, and so do the requests in its queue. The long-run
// averages of a server are too slow to follow, and a statement that is older than such a spell says nothing any more. So a
// prediction decays from the latest statement to the server's mean within the time in which the speed changes.
//
// Factors state how long work takes, as a multiple of the usual time; 2.5 is a machine that is 2.5 times slower.
//
// The package does no I/O and reads no clock.
package psspeed

import (
	"math"
	"time"

	"persimmonstep/internal/request/psdecay"
)

const (
	// timeConstant is the time constant with which the speed of a machine returns to its mean. Spells that begin every
	// 600 ms on average and account for 15% of the time last 90 ms, with 510 ms between them. The autocorrelation of a
	// process that changes between two states falls by e in 1/(1/90 ms + 1/510 ms).
	timeConstant = 77 * time.Millisecond
	// initialStatements is how many statements the initial mean of 1 counts for, and maxStatements how many the mean
	// averages at most. With spells as above, the standard deviation of the mean then is 0.04.
	initialStatements = 10
	maxStatements     = 100
	// minFactor and maxFactor bound the factors of statements.
	minFactor = 0.1
	maxFactor = 20
)

// Speed is what is known of the speed of a server's machine at one moment. The zero value is a machine of unknown speed,
// which counts as usual.
type Speed struct {
	// Stated is the factor of the latest statement, and Age the time since then.
	Stated float64       `json:"stated"`
	Age    time.Duration `json:"age"`
	// Mean is the mean factor.
	Mean float64 `json:"mean"`
}

// Known reports whether the server has stated its speed.
func (s Speed) Known() bool { return s.Stated > 0 }

// Now returns the expected factor at the moment.
func (s Speed) Now() float64 { return s.Average(0, 0) }

// Average returns the expected mean factor of a period, which is given by its distance from the moment; negative values lie
// in the past. Work that takes long compared to a spell is hardly slowed down by it: of a run of 72 ms, a statement at its
// beginning predicts 65%, of one of 400 ms 19%.
func (s Speed) Average(from, to time.Duration) float64 {
	if !s.Known() {
		return 1
	}
	from, to = from+s.Age, to+s.Age
	return s.Mean + (s.Stated-s.Mean)*correlation(from, to)
}

// correlation returns the mean over a period of how much of a deviation at time 0 remains.
func correlation(from, to time.Duration) float64 {
	switch {
	case to-from < time.Millisecond:
		return psdecay.Factor(max(from, -from), timeConstant)
	case from >= 0:
		return (psdecay.Factor(from, timeConstant) - psdecay.Factor(to, timeConstant)) * float64(timeConstant) / float64(to-from)
	case to <= 0:
		return correlation(-to, -from)
	}
	before, after := -float64(from)/float64(to-from), float64(to)/float64(to-from)
	return before*correlation(0, -from) + after*correlation(0, to)
}

// Tracker records the statements of one server. The zero value has none.
type Tracker struct {
	stated, mean float64
	// statements is the number of independent statements in the mean. One that follows soon after another counts in part.
	statements float64
	at         time.Time
}

// Record records a factor that the server stated. It ignores one that is not positive.
func (t *Tracker) Record(factor float64, now time.Time) {
	if !(factor > 0) {
		return
	}
	factor = max(minFactor, min(maxFactor, factor))
	independent := 1.0
	if t.at.IsZero() {
		t.mean, t.statements = 1, initialStatements
	} else {
		independent -= math.Exp(-float64(max(0, now.Sub(t.at))) / float64(timeConstant))
	}
	t.statements = min(maxStatements, t.statements+independent)
	t.mean += independent / t.statements * (factor - t.mean)
	t.stated, t.at = factor, now
}

// At returns the speed at a time.
func (t *Tracker) At(now time.Time) Speed {
	if t.at.IsZero() {
		return Speed{}
	}
	return Speed{Stated: t.stated, Age: max(0, now.Sub(t.at)), Mean: t.mean}
}
