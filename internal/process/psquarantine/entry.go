package psquarantine

import (
	"slices"
	"time"

	"persimmonstep/internal/version/psdoc"
)

const (
	// HoldTime is how long a quarantined request is refused after its last crash.
	HoldTime = 10 * time.Minute
	// suspectTime is how long one crash is remembered.
	suspectTime = 10 * time.Minute
	// clearedTime is how long a cleared entry is kept, so that older news of it is known as old.
	clearedTime = time.Minute
	// crashesToHold is the number of crashes after which a request is quarantined.
	crashesToHold = 2
	// sameCrash is the time within which losses on one server are one crash.
	sameCrash = 500 * time.Millisecond
	// maxEntries bounds the set.
	maxEntries = 1024
	// maxTargetBytes bounds the target that operators are shown.
	maxTargetBytes = 120
)

// Crash is one end of a backend server's connection under a request.
type Crash struct {
	Server psdoc.Name
	At     time.Time
}

// entry is what is known of one request. A larger epoch replaces a smaller one; within an
// epoch crashes only add up, so that news may come in any order and more than once.
type entry struct {
	fingerprint Fingerprint
	epoch       uint64
	workspace   psdoc.Name
	route       psdoc.Name
	target      string
	crashes     []Crash
	changedAt   time.Time
}

// isHeld reports whether the request is quarantined.
func (e *entry) isHeld() bool {
	return len(e.crashes) >= crashesToHold
}

// heldFor returns how much longer the request is refused; 0 or less if it is not.
func (e *entry) heldFor(now time.Time) time.Duration {
	if !e.isHeld() {
		return 0
	}
	return e.lastCrash().Add(HoldTime).Sub(now)
}

func (e *entry) lastCrash() time.Time {
	var last time.Time
	for _, c := range e.crashes {
		if c.At.After(last) {
			last = c.At
		}
	}
	return last
}

// isOver reports whether the entry can be forgotten.
func (e *entry) isOver(now time.Time) bool {
	switch len(e.crashes) {
	case 0:
		return now.Sub(e.changedAt) > clearedTime
	case 1:
		return now.Sub(e.crashes[0].At) > suspectTime
	}
	return e.heldFor(now) <= 0
}

// add enters a crash and reports whether it is a new one.
func (e *entry) add(c Crash) bool {
	known := slices.ContainsFunc(e.crashes, func(v Crash) bool {
		return v.Server == c.Server && c.At.Sub(v.At).Abs() < sameCrash
	})
	if known || len(e.crashes) >= crashesToHold {
		return false
	}
	e.crashes = append(e.crashes, c)
	return true
}

// clear forgets the crashes and makes older news void.
func (e *entry) clear(now time.Time) {
	e.epoch++
	e.crashes = nil
	e.changedAt = now
}

// merge takes in news of the same request and reports whether there was any.
func (e *entry) merge(v *entry, now time.Time) bool {
	if v.epoch < e.epoch {
		return false
	}
	news := false
	if v.epoch > e.epoch {
		e.epoch, e.crashes, news = v.epoch, nil, true
	}
	for _, c := range v.crashes {
		news = e.add(c) || news
	}
	if news {
		e.changedAt = now
	}
	return news
}

// wireCrash and wireEntry carry an entry between VMs, whose clocks may differ.
type wireCrash struct {
	Server    psdoc.Name `json:"server"`
	AgeMillis int64      `json:"ageMillis"`
}

type wireEntry struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Epoch       uint64      `json:"epoch"`
	Workspace   psdoc.Name  `json:"workspace,omitempty"`
	Route       psdoc.Name  `json:"route,omitempty"`
	Target      string      `json:"target,omitempty"`
	Crashes     []wireCrash `json:"crashes,omitempty"`
}

func (e *entry) wire(now time.Time) wireEntry {
	w := wireEntry{Fingerprint: e.fingerprint, Epoch: e.epoch, Workspace: e.workspace, Route: e.route, Target: e.target}
	for _, c := range e.crashes {
		w.Crashes = append(w.Crashes, wireCrash{Server: c.Server, AgeMillis: now.Sub(c.At).Milliseconds()})
	}
	return w
}

func (w wireEntry) entry(now time.Time) *entry {
	e := &entry{
		fingerprint: w.Fingerprint, epoch: w.Epoch, workspace: w.Workspace, route: w.Route,
		target: w.Target[:min(len(w.Target), maxTargetBytes)], changedAt: now,
	}
	for _, c := range w.Crashes[:min(len(w.Crashes), crashesToHold)] {
		e.crashes = append(e.crashes, Crash{Server: c.Server, At: now.Add(-time.Duration(max(0, c.AgeMillis)) * time.Millisecond)})
	}
	return e
}
