// Package psquarantine refuses requests that take down the backend servers that run them.
//
// A crash is the end of a server's connection before the whole answer was there. The first
// one makes a request suspect; a repeat of it, by this VM or by the caller through another
// one, may run on one server more. The second crash quarantines the request: every VM
// refuses it for a set time. A whole answer clears a suspect.
//
// Requests that were merely on the same server share its crash. They are told from the
// cause in four ways: suspects are sent to different servers, so that they don't share the
// next crash; an answer clears them; a request that was answered shortly before is given
// another chance; and nothing is held against a request while servers of the same failure
// domain go down that it was never sent to. Servers that are leaving, connections that
// can't be opened and callers that go away are no crashes at all.
package psquarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

const (
	// widerSpan is the time within which losses of several servers are one event, and
	// widerServers the number of other servers that make it one.
	widerSpan    = time.Second
	widerServers = 2
	// maxLosses bounds the remembered losses.
	maxLosses = 256
	// recentSpan is how long an answer speaks for a request that then meets a crash.
	recentSpan  = 10 * time.Second
	recentSlots = 4096
)

// Options are what a set needs.
type Options struct {
	// Now gives monotonic time.
	Now func() time.Time
	// Leaving reports whether a backend server is leaving.
	Leaving func(server psdoc.Name) bool
	// Logger takes the log lines.
	Logger hclog.Logger
}

// Set is what this VM knows of suspect and quarantined requests.
type Set struct {
	options Options
	// size is the number of entries, so that calm requests need no lock.
	size   atomic.Int64
	recent [recentSlots]recent

	mutex    sync.Mutex
	entries  map[Fingerprint]*entry
	losses   []loss
	reserved map[psdoc.Name]Fingerprint
	excused  map[Fingerprint]time.Time
	// pending are entries to be told to the other VMs; settled is closed when that is done.
	pending map[Fingerprint]bool
	settled chan struct{}
	wake    chan struct{}
	// nothing is a closed channel.
	nothing chan struct{}
}

// recent is a request that was answered; slots are shared by hash and the newest stays.
type recent struct {
	fingerprint atomic.Uint64
	at          atomic.Int64
}

// loss is the end of a connection under a request.
type loss struct {
	server      psdoc.Name
	domain      psdoc.Name
	fingerprint Fingerprint
	at          time.Time
}

// New returns an empty set.
func New(o Options) *Set {
	nothing := make(chan struct{})
	close(nothing)
	return &Set{
		nothing: nothing,
		options: o, entries: make(map[Fingerprint]*entry), reserved: make(map[psdoc.Name]Fingerprint),
		excused: make(map[Fingerprint]time.Time), pending: make(map[Fingerprint]bool),
		settled: make(chan struct{}), wake: make(chan struct{}, 1),
	}
}

// Held returns how much longer the request is refused; 0 if it is not.
func (s *Set) Held(f Fingerprint) time.Duration {
	if s.size.Load() == 0 {
		return 0
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	e, found := s.entries[f]
	if !found {
		return 0
	}
	return max(0, e.heldFor(s.options.Now()))
}

// Answered takes in that a request got its whole answer, which clears a suspect.
func (s *Set) Answered(f Fingerprint) {
	now := s.options.Now()
	slot := &s.recent[f%recentSlots]
	slot.fingerprint.Store(uint64(f))
	slot.at.Store(now.UnixNano())
	if s.size.Load() == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	e, found := s.entries[f]
	if !found || e.isHeld() || len(e.crashes) == 0 {
		return
	}
	e.clear(now)
	s.tell(f)
	psevent.SuspectCleared.Log(s.options.Logger, f, e.workspace, e.route)
}

// wasAnswered reports whether the request was answered shortly before.
func (s *Set) wasAnswered(f Fingerprint, now time.Time) bool {
	slot := &s.recent[f%recentSlots]
	return slot.fingerprint.Load() == uint64(f) && now.UnixNano()-slot.at.Load() < int64(recentSpan)
}

// Run is a request's run that ended with the connection of its server.
type Run struct {
	Fingerprint Fingerprint
	Workspace   psdoc.Name
	Route       psdoc.Name
	// Target is the path, for operators.
	Target string
	Server *psplan.Server
}

// Verdict is what a crash led to.
type Verdict struct {
	// Held says that the request is quarantined.
	Held bool
	// Settled is closed when the other VMs were told, or could not be reached.
	Settled <-chan struct{}
}

// Excuse names why a crash is not held against a request.
type Excuse string

const (
	excuseLeaving  Excuse = "serverLeaving"
	excuseAnswered Excuse = "answeredBefore"
	excuseWider    Excuse = "widerEvent"
)

// Crashed takes in that a request's run ended with the connection of its server.
func (s *Set) Crashed(r Run) Verdict {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.options.Now()
	s.lose(loss{server: r.Server.Name, domain: r.Server.Domain.Name, fingerprint: r.Fingerprint, at: now})
	e, found := s.entries[r.Fingerprint]
	if excuse := s.excuse(r, e, now); excuse != "" {
		psevent.CrashExcused.Log(s.options.Logger, r.Fingerprint, r.Workspace, r.Route, r.Server.Name, string(excuse))
		return Verdict{Held: found && e.heldFor(now) > 0, Settled: s.nothing}
	}
	if !found {
		e = &entry{fingerprint: r.Fingerprint, workspace: r.Workspace, route: r.Route, target: r.Target[:min(len(r.Target), maxTargetBytes)]}
		s.insert(e, now)
	}
	if e.add(Crash{Server: r.Server.Name, At: now}) {
		e.changedAt = now
		psevent.RequestCrashed.Log(s.options.Logger, r.Fingerprint, r.Workspace, r.Route, r.Server.Name, len(e.crashes))
		if e.isHeld() {
			psevent.RequestQuarantined.Log(s.options.Logger, r.Fingerprint, r.Workspace, r.Route, r.Target, HoldTime)
		}
		s.tell(r.Fingerprint)
	}
	return Verdict{Held: e.isHeld(), Settled: s.settled}
}

func (s *Set) lose(l loss) {
	if len(s.losses) == maxLosses {
		s.losses = slices.Delete(s.losses, 0, 1)
	}
	s.losses = append(s.losses, l)
}

// excuse decides whether a crash is held against a request.
func (s *Set) excuse(r Run, e *entry, now time.Time) Excuse {
	if s.options.Leaving(r.Server.Name) {
		return excuseLeaving
	}
	if e == nil && s.wasAnswered(r.Fingerprint, now) && now.Sub(s.excused[r.Fingerprint]) > recentSpan {
		s.excuseOnce(r.Fingerprint, now)
		return excuseAnswered
	}
	if s.isWider(r, now) {
		return excuseWider
	}
	return ""
}

// excuseOnce remembers that a request's earlier answer was taken into account.
func (s *Set) excuseOnce(f Fingerprint, now time.Time) {
	if len(s.excused) >= maxEntries {
		clear(s.excused)
	}
	s.excused[f] = now
}

// isWider reports whether servers of the same failure domain go down at the same time that
// neither this request nor a quarantined one was sent to.
func (s *Set) isWider(r Run, now time.Time) bool {
	explained := map[psdoc.Name]bool{r.Server.Name: true}
	others := make(map[psdoc.Name]bool)
	for _, l := range s.losses {
		if now.Sub(l.at) >= widerSpan || l.domain != r.Server.Domain.Name {
			continue
		}
		others[l.server] = true
		e, found := s.entries[l.fingerprint]
		if l.fingerprint == r.Fingerprint || (found && e.isHeld()) {
			explained[l.server] = true
		}
	}
	n := 0
	for v := range others {
		if !explained[v] {
			n++
		}
	}
	return n >= widerServers
}

// insert adds an entry and drops the least important one where the set is full.
func (s *Set) insert(e *entry, now time.Time) {
	if len(s.entries) >= maxEntries {
		s.dropOne(now)
	}
	s.entries[e.fingerprint] = e
	s.size.Store(int64(len(s.entries)))
}

// dropOne drops an entry that is over, else the oldest with the fewest crashes.
func (s *Set) dropOne(now time.Time) {
	s.expire(now)
	if len(s.entries) < maxEntries {
		return
	}
	var worst *entry
	for _, e := range s.entries {
		if worst == nil || cmp.Or(cmp.Compare(len(e.crashes), len(worst.crashes)), e.changedAt.Compare(worst.changedAt)) < 0 {
			worst = e
		}
	}
	delete(s.entries, worst.fingerprint)
}

// Expire forgets entries whose time is over.
func (s *Set) Expire() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire(s.options.Now())
}

func (s *Set) expire(now time.Time) {
	for f, e := range s.entries {
		if e.isOver(now) {
			delete(s.entries, f)
		}
	}
	s.size.Store(int64(len(s.entries)))
}

// Reserve keeps a server for the run of a suspect, so that two suspects never share a
// server. It reports false where another suspect has it.
func (s *Set) Reserve(f Fingerprint, server psdoc.Name) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if holder, found := s.reserved[server]; found && holder != f {
		return false
	}
	s.reserved[server] = f
	return true
}

// Return ends a reservation.
func (s *Set) Return(f Fingerprint, server psdoc.Name) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.reserved[server] == f {
		delete(s.reserved, server)
	}
}

// Listed is a suspect or quarantined request as operators see it.
type Listed struct {
	Fingerprint Fingerprint  `json:"fingerprint"`
	Workspace   psdoc.Name   `json:"workspace"`
	Route       psdoc.Name   `json:"route"`
	Target      string       `json:"target"`
	Servers     []psdoc.Name `json:"servers"`
	// Held says that the request is quarantined; else it is suspect.
	Held bool `json:"held"`
	// Left is the time until it is forgotten.
	Left psdoc.Duration `json:"left"`
}

// List lists the suspect and quarantined requests, the quarantined ones first.
func (s *Set) List() []Listed {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.options.Now()
	out := []Listed{}
	for _, e := range s.entries {
		if len(e.crashes) == 0 || e.isOver(now) {
			continue
		}
		l := Listed{Fingerprint: e.fingerprint, Workspace: e.workspace, Route: e.route, Target: e.target, Held: e.isHeld()}
		for _, c := range e.crashes {
			l.Servers = append(l.Servers, c.Server)
		}
		l.Left.Duration = e.lastCrash().Add(suspectTime).Sub(now).Round(time.Second)
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b Listed) int {
		return cmp.Or(-cmp.Compare(len(a.Servers), len(b.Servers)), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out
}

// Clear forgets a request's crashes on every VM. It reports false where it is not known.
func (s *Set) Clear(f Fingerprint) (<-chan struct{}, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	e, found := s.entries[f]
	if !found || len(e.crashes) == 0 {
		return nil, false
	}
	e.clear(s.options.Now())
	s.tell(f)
	psevent.QuarantineCleared.Log(s.options.Logger, f, e.workspace, e.route)
	return s.settled, true
}
