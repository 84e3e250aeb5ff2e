package pshealth

import (
	"encoding/json"
	"time"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/version/psdoc"
)

// heardSpan is how long a server counts as leaving after a source last said so. A source
// repeats itself much more often.
const heardSpan = 3 * time.Second

// Source says who named a server as leaving.
type Source string

const (
	// SourceConfiguration is a drain in the configuration.
	SourceConfiguration Source = "configuration"
	// SourcePlatform is the platform's list.
	SourcePlatform Source = "platformList"
	// SourceServer is the server itself.
	SourceServer Source = "server"
	// SourceVM is another VM, which had it from the server or from the platform's list.
	SourceVM Source = "vm"
)

// leaving keeps which servers were named as leaving, by source.
type leaving struct {
	heard map[Source]map[psdoc.Name]time.Time
	told  map[psdoc.Name]bool
}

func newLeaving() *leaving {
	return &leaving{
		heard: map[Source]map[psdoc.Name]time.Time{SourcePlatform: {}, SourceVM: {}},
		told:  make(map[psdoc.Name]bool),
	}
}

// hear enters that a source names a server at a time.
func (l *leaving) hear(s Source, n psdoc.Name, at time.Time) {
	if at.After(l.heard[s][n]) {
		l.heard[s][n] = at
	}
}

// has reports whether a source named the server recently.
func (l *leaving) has(n psdoc.Name, now time.Time) bool {
	for _, names := range l.heard {
		if at, found := names[n]; found && now.Sub(at) < heardSpan {
			return true
		}
	}
	return false
}

// forget drops what is too old to count.
func (l *leaving) forget(now time.Time) {
	for _, names := range l.heard {
		for n, at := range names {
			if now.Sub(at) >= heardSpan {
				delete(names, n)
			}
		}
	}
}

// noteLeaving logs that a server begins or ends to count as leaving.
func (t *Tracker) noteLeaving(r *record) {
	n := r.server.Name
	switch {
	case r.leaving && !t.leaving.told[n]:
		t.leaving.told[n] = true
		psevent.ServerLeaving.Log(t.options.Logger, n, r.server.Pool, string(t.sourceOf(r)))
	case !r.leaving && t.leaving.told[n]:
		delete(t.leaving.told, n)
		psevent.ServerStays.Log(t.options.Logger, n, r.server.Pool)
		// A server that comes back from a drain has most likely restarted.
		if !r.isOut() {
			now := t.options.Now()
			r.phase = ramping{since: now}
			r.begin(now)
		}
	}
}

func (t *Tracker) sourceOf(r *record) Source {
	if r.server.Leaving {
		return SourceConfiguration
	}
	if !r.drainingAt.IsZero() {
		return SourceServer
	}
	if _, found := t.leaving.heard[SourcePlatform][r.server.Name]; found {
		return SourcePlatform
	}
	return SourceVM
}

// Leaving reports whether a server counts as leaving.
func (t *Tracker) Leaving(n psdoc.Name) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	r := (*t.records.Load())[n]
	return r != nil && (r.server.Leaving || r.leaving)
}

// HearList takes in the leaving servers of the platform's list, which is as old as age.
func (t *Tracker) HearList(names []psdoc.Name) {
	t.hear(SourcePlatform, names, 0)
}

func (t *Tracker) hear(s Source, names []psdoc.Name, age time.Duration) {
	t.mutex.Lock()
	now := t.options.Now()
	for _, n := range names {
		t.leaving.hear(s, n, now.Add(-age))
	}
	t.mutex.Unlock()
	if len(names) > 0 {
		t.Step()
	}
}

// hearsay is one server in a heartbeat.
type hearsay struct {
	Server psdoc.Name `json:"server"`
	// AgeMillis is how long ago the sending VM had it from a source of its own.
	AgeMillis int64 `json:"ageMillis"`
}

// Name identifies the heartbeat section.
func (t *Tracker) Name() string { return "leavingServers" }

// Produce tells what this VM has from the servers themselves or from the platform's list.
// What it has from other VMs it does not pass on, so that it ends when its source ends.
func (t *Tracker) Produce() json.RawMessage {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.options.Now()
	t.leaving.forget(now)
	var out []hearsay
	for n, at := range t.leaving.heard[SourcePlatform] {
		out = append(out, hearsay{Server: n, AgeMillis: now.Sub(at).Milliseconds()})
	}
	for n, r := range *t.records.Load() {
		if !r.drainingAt.IsZero() && now.Sub(r.drainingAt) < heardSpan {
			out = append(out, hearsay{Server: n, AgeMillis: now.Sub(r.drainingAt).Milliseconds()})
		}
	}
	if len(out) == 0 {
		return nil
	}
	data, err := json.Marshal(out)
	if err != nil {
		panic("pshealth: " + err.Error())
	}
	return data
}

// Consume takes in what another VM has from a source of its own.
func (t *Tracker) Consume(_ psdoc.Name, data json.RawMessage) {
	var in []hearsay
	if json.Unmarshal(data, &in) != nil {
		return
	}
	for _, h := range in {
		t.hear(SourceVM, []psdoc.Name{h.Server}, time.Duration(max(0, h.AgeMillis))*time.Millisecond)
	}
}
