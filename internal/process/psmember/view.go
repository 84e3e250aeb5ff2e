// Package psmember knows which VMs are there.
//
// Every heartbeat carries a report: which process sends it, whether it leaves, which VMs of
// its failure domain are silent or leaving, and what it knows of other domains. A VM thus
// learns of VMs that it does not itself exchange heartbeats with. Reports are merged by
// time: the latest sign of life of a VM counts, whichever way it came. A VM that stops says
// so first, and callers are told of other VMs before it goes.
package psmember

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"persimmonstep/internal/connection/psheartbeat"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

const (
	// silentPeriods is the number of heartbeat periods without a sign of life after which a
	// VM counts as silent.
	silentPeriods = 4
	// leavingSpan is how long a VM counts as leaving after it last said so.
	leavingSpan = 10 * time.Second
	// maxRelayed bounds the reports on other domains in one heartbeat.
	maxRelayed = 4
)

// Plans gives the plan in force.
type Plans interface {
	Plan() *psplan.Plan
}

// View is what this VM knows of the others. Its zero value takes every VM for usable.
type View struct {
	// Self and Incarnation name this process.
	Self        psdoc.Name
	Incarnation Incarnation
	// Plans gives the plan in force.
	Plans Plans
	// Now gives the time with a monotonic reading.
	Now func() time.Time
	// Heard returns when the platform last answered this VM; nil never says so.
	Heard func() time.Time

	mutex   sync.Mutex
	started time.Time
	began   time.Time
	// alive holds the last sign of life of each VM.
	alive map[psdoc.Name]time.Time
	// leaving holds when each VM last said that it leaves.
	leaving      map[psdoc.Name]time.Time
	incarnations map[psdoc.Name]Incarnation
	// domains holds the latest report on each other domain, and direct the latest that came
	// from a VM of that domain. Only direct ones are relayed, so that ages cannot drift.
	domains map[psdoc.Name]domainReport
	direct  map[psdoc.Name]domainReport
	// outside is when a VM of another domain was last heard of, and relayed when a VM of the
	// own domain last had contact, by its word.
	outside time.Time
	relayed time.Time
	// turn is the domain after which the next relayed reports begin.
	turn    int
	selfOut bool
	plan    *psplan.Plan
	period  time.Duration
}

// report is a heartbeat's section.
type report struct {
	Incarnation Incarnation `json:"i"`
	Leaving     bool        `json:"l,omitempty"`
	// ContactMillis is the time since the sender itself last heard the platform or a VM of
	// another domain, in milliseconds; nil says never.
	ContactMillis *int64         `json:"c,omitempty"`
	Own           domainReport   `json:"o"`
	Others        []domainReport `json:"x,omitempty"`
}

// domainReport tells which VMs of a domain are silent or leaving. All others are well.
type domainReport struct {
	Domain psdoc.Name `json:"d"`
	// AgeMillis is the report's age when it was sent, in milliseconds.
	AgeMillis int64        `json:"a,omitempty"`
	Silent    []psdoc.Name `json:"s,omitempty"`
	Leaving   []psdoc.Name `json:"l,omitempty"`

	at time.Time
}

// Usable reports whether the VM is neither leaving nor silent.
func (v *View) Usable(vm psdoc.Name) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.Now == nil {
		return true
	}
	v.prepare()
	now := v.Now()
	return !v.isLeaving(vm, now) && !v.isSilent(vm, now)
}

// Alive reports whether there was a sign of life of the VM lately, leaving or not.
func (v *View) Alive(vm psdoc.Name) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.prepare()
	return !v.isSilent(vm, v.Now())
}

// Gone reports whether another process of the VM was heard of than the given one.
func (v *View) Gone(vm psdoc.Name, incarnation string) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	known, found := v.incarnations[vm]
	return found && known != Incarnation(incarnation)
}

// SetLeaving records that this VM leaves.
func (v *View) SetLeaving() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.selfOut = true
}

// First reports whether this VM comes first among the VMs of its failure domain that are
// alive and not leaving, and so acts for the domain. Two VMs may think so for a while.
func (v *View) First() bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.prepare()
	own, found := v.plan.VM(v.Self)
	if !found {
		return true
	}
	now := v.Now()
	for _, o := range v.plan.VMs {
		if o.Domain == own.Domain && o.Name < v.Self && !v.isLeaving(o.Name, now) && !v.isSilent(o.Name, now) {
			return false
		}
	}
	return true
}

// Silence returns for how long nobody of this VM's failure domain has heard the platform or
// a VM of another domain, as far as this VM knows. What is heard inside the domain does not
// count, because the domain may be cut off as a whole; where the plan has no other domain,
// only the platform counts.
func (v *View) Silence() time.Duration {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.prepare()
	return v.Now().Sub(latest(v.started, latest(v.ownContact(), v.relayed)))
}

// ownContact returns when this VM itself last heard the platform or another domain. The
// mutex is held.
func (v *View) ownContact() time.Time {
	if v.Heard == nil {
		return v.outside
	}
	return latest(v.outside, v.Heard())
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// prepare makes the maps and follows the plan. The mutex is held.
func (v *View) prepare() {
	if v.alive == nil {
		v.alive = make(map[psdoc.Name]time.Time)
		v.leaving = make(map[psdoc.Name]time.Time)
		v.incarnations = make(map[psdoc.Name]Incarnation)
		v.domains = make(map[psdoc.Name]domainReport)
		v.direct = make(map[psdoc.Name]domainReport)
		v.started = v.Now()
	}
	if p := v.Plans.Plan(); p != v.plan {
		v.plan, v.period = p, psheartbeat.Period(p, v.Self)
		// VMs that the plan brings are given the time to show themselves.
		v.began = v.Now()
	}
}

func (v *View) isLeaving(vm psdoc.Name, now time.Time) bool {
	if vm == v.Self {
		return v.selfOut
	}
	at, found := v.leaving[vm]
	return found && now.Sub(at) < leavingSpan
}

// isSilent takes a VM for alive until it had the time to show itself.
func (v *View) isSilent(vm psdoc.Name, now time.Time) bool {
	if vm == v.Self {
		return false
	}
	span := silentPeriods * v.period
	at, found := v.alive[vm]
	if !found {
		return now.Sub(v.began) >= span
	}
	return now.Sub(at) >= span
}

// Name identifies the heartbeat section.
func (v *View) Name() string { return "member" }

// Produce returns this VM's report.
func (v *View) Produce() json.RawMessage {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.prepare()
	now := v.Now()
	out := report{Incarnation: v.Incarnation, Leaving: v.selfOut}
	if at := v.ownContact(); !at.IsZero() {
		out.ContactMillis = lo.ToPtr(now.Sub(at).Milliseconds() + 1)
	}
	own, found := v.plan.VM(v.Self)
	if found {
		out.Own.Domain = own.Domain.Name
		for _, o := range v.plan.VMs {
			if o.Domain == own.Domain {
				out.Own.add(o.Name, v.isSilent(o.Name, now), v.isLeaving(o.Name, now))
			}
		}
		out.Others = v.relay(own.Domain.Name, now)
	}
	data, err := json.Marshal(out)
	if err != nil {
		panic("psmember: " + err.Error())
	}
	return data
}

func (r *domainReport) add(vm psdoc.Name, silent, leaving bool) {
	if silent {
		r.Silent = append(r.Silent, vm)
	}
	if leaving {
		r.Leaving = append(r.Leaving, vm)
	}
}

// relay returns the next reports on other domains in turn. The mutex is held.
func (v *View) relay(own psdoc.Name, now time.Time) []domainReport {
	var out []domainReport
	for range v.plan.Domains {
		if len(out) == maxRelayed {
			break
		}
		v.turn = (v.turn + 1) % len(v.plan.Domains)
		r, found := v.direct[v.plan.Domains[v.turn].Name]
		if age := now.Sub(r.at); found && r.Domain != own && age < silentPeriods*v.period {
			r.AgeMillis = age.Milliseconds()
			out = append(out, r)
		}
	}
	return out
}

// Consume merges another VM's report.
func (v *View) Consume(from psdoc.Name, data json.RawMessage) {
	var in report
	if json.Unmarshal(data, &in) != nil {
		return
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.prepare()
	now := v.Now()
	sender, found := v.plan.VM(from)
	if !found {
		return
	}
	v.alive[from] = now
	v.incarnations[from] = in.Incarnation
	delete(v.leaving, from)
	if in.Leaving {
		v.leaving[from] = now
	}
	own, found := v.plan.VM(v.Self)
	if !found {
		return
	}
	switch {
	case sender.Domain != own.Domain:
		v.outside = now
		if in.Own.Domain == sender.Domain.Name {
			v.merge(in.Own, now)
			v.direct[in.Own.Domain] = v.domains[in.Own.Domain]
		}
	case in.ContactMillis != nil:
		at := now.Add(-time.Duration(max(0, *in.ContactMillis)) * time.Millisecond)
		v.relayed = latest(v.relayed, at)
	}
	for _, r := range in.Others {
		if r.Domain != own.Domain.Name {
			v.merge(r, now)
		}
	}
}

// merge takes in a report on another domain. The mutex is held.
func (v *View) merge(r domainReport, now time.Time) {
	r.at = now.Add(-time.Duration(max(0, r.AgeMillis)) * time.Millisecond)
	if known, found := v.domains[r.Domain]; found && !r.at.After(known.at) {
		return
	}
	r.AgeMillis = 0
	v.domains[r.Domain] = r
	for _, o := range v.plan.VMs {
		if o.Domain.Name != r.Domain || slices.Contains(r.Silent, o.Name) {
			continue
		}
		if r.at.After(v.alive[o.Name]) {
			v.alive[o.Name] = r.at
		}
	}
	for _, n := range lo.Uniq(r.Leaving) {
		if r.at.After(v.leaving[n]) {
			v.leaving[n] = r.at
		}
	}
}
