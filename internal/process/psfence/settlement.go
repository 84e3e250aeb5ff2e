package psfence

import (
	"maps"
	"slices"
	"time"

	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// Confirmation answers which layout a VM has in force.
type Confirmation struct {
	// Layout is the fingerprint of the layout.
	Layout uint64 `json:"layout"`
	// Version is the configuration version in force.
	Version uint64 `json:"version"`
	// Settled says that every VM has confirmed the layout.
	Settled bool `json:"settled"`
	// Remembers says that the VM has an earlier layout in memory.
	Remembers bool `json:"remembers"`
	// Missing lists the VMs of the answering VM's failure domain that have not confirmed.
	Missing []psdoc.Name `json:"missing,omitempty"`
}

// settlement follows which VMs have confirmed a layout. A layout is settled when all have:
// then no VM acts on an earlier one, and shares that have grown may be used.
type settlement struct {
	self    psdoc.Name
	layout  uint64
	version uint64
	// since is the first version known to have the layout without another one in between.
	since     uint64
	began     time.Time
	remembers bool
	// contradicted is when a VM last said that it remembers an earlier layout and waits for
	// it to end.
	contradicted time.Time
	missing      map[psdoc.Name]bool
	// unheard are the VMs that have not confirmed themselves, whatever others say.
	unheard map[psdoc.Name]bool
	// removed are the VMs of earlier layouts that the present one does not have.
	removed map[psdoc.Name]*psplan.VM
	domains map[psdoc.Name][]*psplan.VM
	domain  psdoc.Name
	asked   time.Time
	// completed is when the set of missing VMs last shrank.
	completed time.Time
	// first says that no process of this VM ran before this one.
	first bool
	// turn selects the VM of another domain that is asked next.
	turn int
}

// install starts over if the plan has another layout, or if versions were skipped among
// which there may have been another one. It reports whether it did.
func (s *settlement) install(p *psplan.Plan, now time.Time) bool {
	layout := Fingerprint(p)
	follows := p.Version == s.version+1
	first := s.missing == nil
	s.version = p.Version
	if !first && follows && layout == s.layout {
		return false
	}
	s.layout, s.since, s.began, s.completed = layout, p.Version, now, now
	s.remembers = !first
	s.contradicted = time.Time{}
	s.missing = make(map[psdoc.Name]bool, len(p.VMs))
	s.unheard = make(map[psdoc.Name]bool, len(p.VMs))
	s.remember(p)
	s.domains = newNeighbours(p).domains
	s.domain = ""
	for _, v := range p.VMs {
		if v.Name == s.self {
			s.domain = v.Domain.Name
			continue
		}
		s.missing[v.Name] = true
		s.unheard[v.Name] = true
	}
	return true
}

// remember keeps the VMs that the plan no longer has, and takes them for missing.
func (s *settlement) remember(p *psplan.Plan) {
	removed := make(map[psdoc.Name]*psplan.VM)
	for _, members := range s.domains {
		for _, v := range members {
			removed[v.Name] = v
		}
	}
	maps.Copy(removed, s.removed)
	delete(removed, s.self)
	for _, v := range p.VMs {
		delete(removed, v.Name)
	}
	for name := range removed {
		s.missing[name] = true
	}
	s.removed = removed
}

// expire takes removed VMs for stopped after a while.
func (s *settlement) expire(now time.Time) {
	if len(s.removed) == 0 || now.Before(s.began.Add(RemovedTimeout)) {
		return
	}
	for name := range s.removed {
		delete(s.missing, name)
	}
	s.removed, s.completed = nil, now
}

// settled reports whether all VMs have confirmed, but for those named.
func (s *settlement) settled(but ...psdoc.Name) bool {
	if s.missing == nil {
		return false
	}
	n := len(s.missing)
	for _, v := range but {
		if s.missing[v] {
			n--
		}
	}
	return n == 0
}

// asks lists the VMs to be asked now: all that are missing in this VM's own failure domain
// and one of each other domain where some are missing. A VM that does not know whether its
// plan is the latest wants to hear of all others.
func (s *settlement) asks(current bool, now time.Time) []*psplan.VM {
	wanted := func(v *psplan.VM) bool { return s.missing[v.Name] || !current && s.unheard[v.Name] }
	if len(s.missing) == 0 && (current || len(s.unheard) == 0) {
		return nil
	}
	if now.Sub(s.began) > quickAsks && now.Sub(s.asked) < slowTick {
		return nil
	}
	s.asked = now
	s.turn++
	var out []*psplan.VM
	for _, name := range slices.Sorted(maps.Keys(s.removed)) {
		if s.missing[name] {
			out = append(out, s.removed[name])
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.domains)) {
		members := s.domains[name]
		if name == s.domain {
			for _, v := range members {
				if wanted(v) {
					out = append(out, v)
				}
			}
			continue
		}
		if slices.ContainsFunc(members, wanted) {
			out = append(out, members[s.turn%len(members)])
		}
	}
	return out
}

// confirm takes in a VM's answer. A process without memory trusts nobody who still waits
// for the end of an earlier layout.
func (s *settlement) confirm(from *psplan.VM, c Confirmation, now time.Time) {
	if c.Layout != s.layout || c.Version < s.since {
		return
	}
	waits := c.Remembers && !c.Settled
	if waits {
		s.contradicted = now
	}
	if waits && !s.remembers {
		return
	}
	before := len(s.missing)
	if c.Settled {
		clear(s.missing)
	}
	delete(s.missing, from.Name)
	delete(s.unheard, from.Name)
	if from.Domain.Name != s.domain && s.removed[from.Name] == nil {
		for _, v := range s.domains[from.Domain.Name] {
			if !slices.Contains(c.Missing, v.Name) {
				delete(s.missing, v.Name)
				delete(s.unheard, v.Name)
			}
		}
	}
	if len(s.missing) < before {
		s.completed = now
	}
}

// answer tells another VM.
func (s *settlement) answer() Confirmation {
	c := Confirmation{Layout: s.layout, Version: s.version, Settled: s.settled(), Remembers: s.remembers}
	for _, v := range s.domains[s.domain] {
		if s.missing[v.Name] {
			c.Missing = append(c.Missing, v.Name)
		}
	}
	return c
}

// usable reports whether this VM may use all of its share in the layout. drain is the
// longest time for which a loan of an earlier share can go on.
func (s *settlement) usable(now time.Time, drain time.Duration) bool {
	switch {
	case s.missing == nil:
		return false
	case s.settled() && s.original():
		return true
	case s.settled():
		return !now.Before(s.completed.Add(drain))
	case s.remembers || now.Sub(s.contradicted) < FreshTimeout:
		return false
	}
	// Nobody in reach remembers an earlier layout, so there may never have been one.
	return !now.Before(s.began.Add(FreshTimeout))
}

// original reports whether nothing of an earlier process or layout can be in use: this is
// the VM's first process, and no layout came before the first version's.
func (s *settlement) original() bool {
	return s.first && s.since == 1
}
