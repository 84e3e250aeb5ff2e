package psquarantine

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"persimmonstep/internal/connection/psfanout"
	"persimmonstep/internal/connection/pspeer"
	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/version/psdoc"
)

const (
	topic      = "quarantine"
	methodList = "quarantine.list"
	// SettleTime bounds the time in which the other VMs are told of a crash.
	SettleTime = 200 * time.Millisecond
	// expireInterval is the time between two looks for entries whose time is over.
	expireInterval = time.Second
	// pullInterval is the least time between two pulls.
	pullInterval = 2 * time.Second
	// maxTold bounds the entries of one message.
	maxTold = 256
)

// Spreader brings a set to the other VMs: at once by a call to all, and by heartbeats that
// compare digests to those that the call did not reach.
type Spreader struct {
	// Set is this VM's set.
	Set *Set
	// Plans gives the addresses of the other VMs.
	Plans psfanout.Plans
	// Peers calls one VM.
	Peers psfanout.Peers
	// Fanout calls all VMs.
	Fanout *psfanout.Fanout

	pulls chan psdoc.Name
}

// Start registers the handlers; it must be called once before the peers serve.
func (s *Spreader) Start() {
	s.pulls = make(chan psdoc.Name, 1)
	s.Fanout.Handle(topic, func(_ context.Context, from psdoc.Name, params json.RawMessage) bool {
		var in []wireEntry
		if json.Unmarshal(params, &in) != nil {
			return false
		}
		s.Set.learn(from, in)
		return true
	})
	s.Peers.Handle(methodList, func(context.Context, psdoc.Name, json.RawMessage) (any, error) {
		return s.Set.news(), nil
	})
}

// Run tells and pulls until the context ends.
func (s *Spreader) Run(ctx context.Context) {
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	var pulled time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.Set.wake:
			s.tell(ctx)
		case n := <-s.pulls:
			if time.Since(pulled) > pullInterval/2+rand.N(pullInterval) {
				pulled = time.Now()
				s.pull(ctx, n)
			}
		case <-expire.C:
			s.Set.Expire()
		}
	}
}

// tell tells all VMs what is pending.
func (s *Spreader) tell(ctx context.Context) {
	entries, settled := s.Set.take()
	defer close(settled)
	if len(entries) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, SettleTime)
	defer cancel()
	// A VM that does not confirm learns of it by heartbeat.
	_, _, _ = s.Fanout.Ask(ctx, topic, entries)
}

func (s *Spreader) pull(ctx context.Context, n psdoc.Name) {
	v, found := s.Plans.Plan().VM(n)
	if !found {
		return
	}
	var out []wireEntry
	if s.Peers.Call(ctx, pspeer.Peer{Name: n, Address: v.Peer}, methodList, struct{}{}, &out) == nil {
		s.Set.learn(n, out)
	}
}

// summary is what a heartbeat says about a set.
type summary struct {
	Digest uint64 `json:"d"`
}

// Name identifies the heartbeat section.
func (s *Spreader) Name() string { return topic }

// Produce returns the digest of the quarantined requests; nil where there is none.
func (s *Spreader) Produce() json.RawMessage {
	d := s.Set.digest()
	if d == 0 {
		return nil
	}
	data, err := json.Marshal(summary{Digest: d})
	if err != nil {
		panic("psquarantine: " + err.Error())
	}
	return data
}

// Consume has the other VM's set pulled if it differs.
func (s *Spreader) Consume(from psdoc.Name, data json.RawMessage) {
	var in summary
	if json.Unmarshal(data, &in) != nil || in.Digest == s.Set.digest() {
		return
	}
	select {
	case s.pulls <- from:
	default:
	}
}

// tell marks an entry as one to be told. The mutex is held.
func (s *Set) tell(f Fingerprint) {
	s.pending[f] = true
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// take returns what is to be told and the channel to close when that is done.
func (s *Set) take() ([]wireEntry, chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.options.Now()
	var out []wireEntry
	for f := range s.pending {
		if e, found := s.entries[f]; found && len(out) < maxTold {
			out = append(out, e.wire(now))
		}
		delete(s.pending, f)
	}
	settled := s.settled
	s.settled = make(chan struct{})
	return out, settled
}

// news lists all entries.
func (s *Set) news() []wireEntry {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.options.Now()
	out := []wireEntry{}
	for _, e := range s.entries {
		out = append(out, e.wire(now))
	}
	return out
}

// digest is the same for sets with the same quarantined requests.
func (s *Set) digest() uint64 {
	if s.size.Load() == 0 {
		return 0
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var d uint64
	for f, e := range s.entries {
		if e.isHeld() {
			d ^= uint64(f) + e.epoch
		}
	}
	return d
}

// learn takes in what another VM knows.
func (s *Set) learn(from psdoc.Name, in []wireEntry) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.options.Now()
	for _, w := range in[:min(len(in), maxEntries)] {
		s.learnOne(from, w.entry(now), now)
	}
}

func (s *Set) learnOne(from psdoc.Name, v *entry, now time.Time) {
	e, found := s.entries[v.fingerprint]
	if !found {
		if !v.isOver(now) {
			s.insert(v, now)
			s.noteHeld(from, v)
		}
		return
	}
	held := e.isHeld()
	if e.merge(v, now) && e.isHeld() && !held {
		s.noteHeld(from, e)
	}
}

func (s *Set) noteHeld(from psdoc.Name, e *entry) {
	if e.isHeld() {
		psevent.QuarantineLearned.Log(s.options.Logger, e.fingerprint, e.workspace, e.route, from)
	}
}
