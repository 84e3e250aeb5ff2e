package psbudget

import (
	"math"
	"time"
)

const (
	// quickSpan and steadySpan are the spans over which arrivals are averaged.
	quickSpan  = 200 * time.Millisecond
	steadySpan = 1500 * time.Millisecond
	// A flow has stopped after a silence of silentArrivals times its usual interval, and of
	// minSilence at least.
	silentArrivals = 4
	minSilence     = 10 * time.Millisecond
)

// average is an exponentially decaying rate of arrivals. Its zero value is ready.
type average struct {
	// perSecond is the rate at the time last.
	perSecond float64
	last      time.Time
}

func (a *average) at(now time.Time, span time.Duration) float64 {
	passed := now.Sub(a.last)
	if a.perSecond == 0 || passed <= 0 {
		return a.perSecond
	}
	return a.perSecond * math.Exp(-passed.Seconds()/span.Seconds())
}

func (a *average) arrive(n, most float64, now time.Time, span time.Duration) {
	a.perSecond = math.Min(most, a.at(now, span)+n/span.Seconds())
	a.last = now
}

// demand follows how much of a budget is asked for.
type demand struct {
	// most is the highest rate that counts; what goes beyond is refused anyhow.
	most   float64
	quick  average
	steady average
}

func (d *demand) arrive(n float64, now time.Time) {
	d.quick.arrive(n, d.most, now, quickSpan)
	d.steady.arrive(n, d.most, now, steadySpan)
}

// expected returns the rate to prepare for, per second.
func (d *demand) expected(now time.Time) float64 {
	return max(d.quick.at(now, quickSpan), d.steady.at(now, steadySpan))
}

// silent reports whether the flow has stopped.
func (d *demand) silent(now time.Time) bool {
	if d.quick.perSecond == 0 {
		return true
	}
	usual := time.Duration(silentArrivals / d.quick.perSecond * float64(time.Second))
	return now.Sub(d.quick.last) > max(minSilence, usual)
}

// present returns the rate of a flow that goes on.
func (d *demand) present(now time.Time) float64 {
	if d.silent(now) {
		return 0
	}
	return d.quick.at(now, quickSpan)
}
