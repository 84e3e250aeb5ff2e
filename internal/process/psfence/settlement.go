package psfence

import (
	"slices"
	"time"

	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// Confirmation answers which layout a VM has in force.
type Confirmation struct {
	// Layout is the fingerprint of the layout.
	Layout uint64 `json:"layout"`
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
	self      psdoc.Name
	layout    uint64
	version   uint64
	began     time.Time
	remembers bool
	// contradicted says that some VM remembers an earlier layout and waits for it to end.
	contradicted bool
	missing      map[psdoc.Name]bool
	domains      map[psdoc.Name][]*psplan.VM
	domain       psdoc.Name
	// completed is when the set of missing VMs last shrank.
	completed time.Time
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
	s.layout, s.began, s.completed = layout, now, now
	s.remembers = !first
	s.contradicted = false
	s.missing = make(map[psdoc.Name]bool, len(p.VMs))
	s.domains = newNeighbours(p).domains
	s.domain = ""
	for _, v := range p.VMs {
		if v.Name == s.self {
			s.domain = v.Domain.Name
			continue
		}
		s.missing[v.Name] = true
	}
	return true
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
// and one of each other domain where some are missing.
func (s *settlement) asks() []*psplan.VM {
	var out []*psplan.VM
	s.turn++
	for name, members := range s.domains {
		if name == s.domain {
			for _, v := range members {
				if s.missing[v.Name] {
					out = append(out, v)
				}
			}
			continue
		}
		if slices.ContainsFunc(members, func(v *psplan.VM) bool { return s.missing[v.Name] }) {
			out = append(out, members[s.turn%len(members)])
		}
	}
	return out
}

// confirm takes in a VM's answer.
func (s *settlement) confirm(from *psplan.VM, c Confirmation, now time.Time) {
	if c.Layout != s.layout {
		return
	}
	before := len(s.missing)
	delete(s.missing, from.Name)
	if c.Settled {
		clear(s.missing)
	}
	if from.Domain.Name != s.domain {
		for _, v := range s.domains[from.Domain.Name] {
			if !slices.Contains(c.Missing, v.Name) {
				delete(s.missing, v.Name)
			}
		}
	}
	if c.Remembers && !c.Settled {
		s.contradicted = true
	}
	if len(s.missing) < before {
		s.completed = now
	}
}

// answer tells another VM.
func (s *settlement) answer() Confirmation {
	c := Confirmation{Layout: s.layout, Settled: s.settled(), Remembers: s.remembers}
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
	case s.settled():
		return !now.Before(s.completed.Add(drain))
	case s.remembers || s.contradicted:
		return false
	}
	// Nobody in reach remembers an earlier layout, so there may never have been one.
	return !now.Before(s.began.Add(FreshTimeout))
}
