// Package pspause detects that a process did nothing for some time: it was stopped, starved of processor time, or its VM was
// suspended.
//
// Messages that arrived during a pause are read after it and may be as old as the pause is long. Counting them as new would
// extend the use of leases whose lender has excluded this VM meanwhile, so their ages count from the beginning of the pause.
package pspause

import "time"

const (
	// threshold is the time without activity above which the process counts as paused.
	threshold = 500 * time.Millisecond
	// catchUpTime is how long after a pause messages may be read that arrived during it.
	catchUpTime = 100 * time.Millisecond
	// clockSlack is the least difference between the clocks that shows that the VM was suspended.
	clockSlack = 50 * time.Millisecond
)

// Detector detects pauses of a process that reports activity several times a second. It isn't safe for concurrent use.
type Detector struct {
	// boot is a clock that, unlike the monotonic one, goes on while the VM is suspended.
	boot     func() time.Duration
	lastBoot time.Duration
	last     time.Time
	// from and until are the beginning of the last pause, by the monotonic clock as if that had gone on, and the time until
	// which messages of it may be read.
	from, until time.Time
}

// New returns a detector. boot returns the time since the VM's boot, including the time for which it was suspended.
func New(boot func() time.Duration, now time.Time) *Detector {
	return &Detector{boot: boot, lastBoot: boot(), last: now}
}

// Active records that the process is active. It returns for how long the VM was suspended since the last call, by which ages that
// the monotonic clock measures are too short; 0 if it wasn't.
func (d *Detector) Active(now time.Time) time.Duration {
	boot := d.boot()
	gap, measured := boot-d.lastBoot, now.Sub(d.last)
	d.lastBoot, d.last = boot, now
	if gap = max(gap, measured); gap > threshold {
		d.from, d.until = now.Add(-gap), now.Add(catchUpTime)
	}
	if gap-measured < clockSlack {
		return 0
	}
	return gap - measured
}

// ReceivedAt returns the earliest time at which a message may have arrived that is read now.
func (d *Detector) ReceivedAt(now time.Time) time.Time {
	if now.Before(d.until) {
		return d.from
	}
	return now
}
