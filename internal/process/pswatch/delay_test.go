package pswatch_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/pswatch"
	"persimmonstep/internal/version/psrevision"
	"persimmonstep/platform"
)

// TestDelaysExceedBounds sums all waits between a change of the servers and a VM's knowledge of it, in each way, for
// bounds like those of the known deployments and shorter ones.
func TestDelaysExceedBounds(t *testing.T) {
	for _, b := range []pswatch.Bounds{
		{Contact: 3 * time.Second, Drain: 2 * time.Second, Heartbeat: 1500 * time.Millisecond},
		{Contact: 4 * time.Second, Drain: 2500 * time.Millisecond, Heartbeat: 1500 * time.Millisecond},
		{Contact: 4 * time.Second, Drain: 3 * time.Second, Heartbeat: 3 * time.Second},
		{Contact: 2 * time.Second, Drain: 2500 * time.Millisecond, Heartbeat: 1500 * time.Millisecond},
		{Contact: 2 * time.Second, Drain: 2500 * time.Millisecond, Heartbeat: 500 * time.Millisecond},
	} {
		for _, d := range pswatch.Delays(b) {
			qt.Check(t, d.Exceeded(), qt.IsFalse, qt.Commentf("%+v with %+v", d, b))
		}
	}
}

// TestBoundsThatCannotBeKeptAreFound covers a deployment whose bounds are shorter than the delays.
func TestBoundsThatCannotBeKeptAreFound(t *testing.T) {
	exceeded := 0
	for _, d := range pswatch.Delays(pswatch.Bounds{Contact: time.Second, Drain: 500 * time.Millisecond, Heartbeat: time.Second}) {
		if d.Exceeded() {
			exceeded++
		}
	}
	qt.Assert(t, exceeded, qt.Equals, 7)
}

// changingStore returns a change with the first call, and then none.
type changingStore struct {
	environment
	waits chan time.Duration
}

func (s *changingStore) ServerChanges(ctx context.Context, after psrevision.Revision, wait time.Duration) (platform.Servers, error) {
	s.waits <- wait
	if after == psrevision.New(0, 10) {
		return platform.Servers{Revision: psrevision.New(0, 11), Removed: []string{"i-1"}}, nil
	}
	sleep(ctx, wait)
	return platform.Servers{Revision: after}, nil
}

// TestNoticeAfterLostOneComesLate covers a relay whose notice of a change is lost. The next call for changes, whose notice
// shows that, must not wait long.
func TestNoticeAfterLostOneComesLate(t *testing.T) {
	s := &changingStore{waits: make(chan time.Duration, 100)}
	e := &environment{fleet: 74, notices: make(chan *psmessage.Notice, 100), applied: make(chan platform.Servers, 100)}
	startWatcher(t, pswatch.Options{Store: s, PeerSource: e, Sink: e, Peers: e, Contact: 4 * time.Second, Heartbeat: 3 * time.Second})
	qt.Assert(t, <-s.waits, qt.Equals, 500*time.Millisecond)
	qt.Assert(t, <-s.waits, qt.Equals, 200*time.Millisecond)
	qt.Assert(t, <-s.waits, qt.Equals, 500*time.Millisecond)
}

// droppingStore never answers a call for changes. Its second read of all servers is older than the first one, and the
// later ones are not.
type droppingStore struct {
	environment
	reads chan time.Time
	count int
}

func (*droppingStore) ServerChanges(ctx context.Context, after psrevision.Revision, _ time.Duration) (platform.Servers, error) {
	<-ctx.Done()
	return platform.Servers{Revision: after}, ctx.Err()
}

func (s *droppingStore) Servers(context.Context) (platform.Servers, error) {
	s.count++
	s.reads <- time.Now()
	if s.count == 2 {
		return platform.Servers{Revision: psrevision.New(0, 9)}, nil
	}
	return platform.Servers{Revision: psrevision.New(0, 10)}, nil
}

// fullReads records the revisions of the full reads that are applied.
type fullReads struct {
	environment
	revisions chan psrevision.Revision
}

func (f *fullReads) ApplyServers(v platform.Servers, full, _ bool) {
	if full {
		f.revisions <- v.Revision
	}
}

func startDropping(t *testing.T, contact time.Duration) (*droppingStore, *fullReads) {
	t.Helper()
	s := &droppingStore{reads: make(chan time.Time, 100)}
	f := &fullReads{revisions: make(chan psrevision.Revision, 100)}
	peers := &environment{fleet: 3}
	startWatcher(t, pswatch.Options{
		Store: s, PeerSource: peers, Sink: f, Peers: peers, Contact: contact, Heartbeat: 1500 * time.Millisecond,
	})
	return s, f
}

// startWatcher runs a watcher until the end of the test.
func startWatcher(t *testing.T, o pswatch.Options) *pswatch.Watcher {
	t.Helper()
	o.Logger, o.Now = hclog.NewNullLogger(), time.Now
	if o.Self.VM == "" {
		o.Self = psmessage.Identity{VM: "vm-1", Region: "north"}
	}
	w := pswatch.New(o)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return w
}

// TestDroppedCallOutlastsShortContact covers a deployment whose bounds apply again 1.5 s after a disruption.
func TestDroppedCallOutlastsShortContact(t *testing.T) {
	const contact = 1500 * time.Millisecond
	s, _ := startDropping(t, contact)
	first := <-s.reads
	qt.Assert(t, (<-s.reads).Sub(first) < contact, qt.IsTrue)
}

// TestOlderFullReadIsApplied covers a store that answers a read with data that is older than what the VM knows.
func TestOlderFullReadIsApplied(t *testing.T) {
	s, f := startDropping(t, 2*time.Second)
	for range 3 {
		<-s.reads
	}
	qt.Assert(t, <-f.revisions, qt.Equals, psrevision.New(0, 10))
	qt.Assert(t, <-f.revisions, qt.Equals, psrevision.New(0, 10))
	qt.Assert(t, f.revisions, qt.HasLen, 0)
}

// silentStore takes the calls of one kind and never answers them.
type silentStore struct {
	environment
	kind  string
	calls chan time.Time
}

func (s *silentStore) answer(ctx context.Context, kind string) error {
	if kind != s.kind {
		return nil
	}
	s.calls <- time.Now()
	<-ctx.Done()
	return ctx.Err()
}

func (s *silentStore) Servers(ctx context.Context) (platform.Servers, error) {
	return platform.Servers{Revision: psrevision.New(0, 10)}, s.answer(ctx, "servers")
}

func (s *silentStore) ServerChanges(ctx context.Context, after psrevision.Revision, wait time.Duration) (platform.Servers, error) {
	err := s.answer(ctx, "serverChanges")
	sleep(ctx, wait)
	return platform.Servers{Revision: after}, err
}

func (s *silentStore) DesiredState(ctx context.Context) (platform.DesiredState, error) {
	return platform.DesiredState{Revision: psrevision.New(0, 10)}, s.answer(ctx, "desiredState")
}

func (s *silentStore) DesiredStateChanges(ctx context.Context, after psrevision.Revision, wait time.Duration) (platform.DesiredState, error) {
	err := s.answer(ctx, "desiredStateChanges")
	sleep(ctx, wait)
	return platform.DesiredState{Revision: after}, err
}

// TestUnansweredCallOutlastsContact covers each call of both tables that the store took in an outage and never answers, in
// a small fleet and by a relay. The next call must come before the bounds apply again.
func TestUnansweredCallOutlastsContact(t *testing.T) {
	const contact = 3 * time.Second
	for _, kind := range []string{"servers", "serverChanges", "desiredState", "desiredStateChanges"} {
		for _, fleet := range []int{9, 74} {
			t.Run(fmt.Sprint(kind, " of ", fleet), func(t *testing.T) {
				t.Parallel()
				s := &silentStore{kind: kind, calls: make(chan time.Time, 100)}
				e := &environment{fleet: fleet, notices: make(chan *psmessage.Notice, 1000), applied: make(chan platform.Servers, 1000)}
				w := startWatcher(t, pswatch.Options{Store: s, PeerSource: e, Sink: e, Peers: e, Contact: contact, Heartbeat: 1500 * time.Millisecond})
				first := <-s.calls
				qt.Assert(t, (<-s.calls).Sub(first) < contact, qt.IsTrue)
				if kind == "servers" || kind == "desiredState" {
					qt.Assert(t, w.Lost(), qt.IsTrue)
				}
			})
		}
	}
}
