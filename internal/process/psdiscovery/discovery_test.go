package psdiscovery_test

import (
	"context"
	"maps"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"persimmonstep/internal/process/psdiscovery"
	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/version/psrevision"
	"persimmonstep/platform"
)

// recordingStore records the calls in their order.
type recordingStore struct {
	mutex       sync.Mutex
	calls       []string
	unavailable bool
}

func (s *recordingStore) record(call string) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls = append(s.calls, call)
	if s.unavailable {
		return errors.New("store unavailable")
	}
	return nil
}

func (s *recordingStore) recorded() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]string(nil), s.calls...)
}

func (s *recordingStore) VMs(context.Context) (platform.VMs, error) {
	return platform.VMs{Revision: psrevision.New(0, 7)}, s.record("read")
}

func (s *recordingStore) VMChanges(context.Context, psrevision.Revision) (platform.VMs, error) {
	return platform.VMs{Revision: psrevision.New(0, 8)}, s.record("changes")
}

func (s *recordingStore) PublishVM(context.Context, string, []byte) error { return s.record("publish") }

func start(t *testing.T, s *recordingStore, firstStart bool, fleet int) *psdiscovery.Discovery {
	t.Helper()
	d := psdiscovery.New(psdiscovery.Options{
		Self: psmessage.Identity{VM: "vm-1"}, FirstStart: firstStart, Store: s, Apply: func(map[string][]byte, bool) {},
		FleetSize: func() int { return fleet }, Logger: hclog.NewNullLogger(), Now: time.Now,
	})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return d
}

func attempted(d *psdiscovery.Discovery) bool {
	select {
	case <-d.Attempted():
		return true
	case <-time.After(200 * time.Millisecond):
		return false
	}
}

// TestRestartedVMReadsBeforePublishing covers a simultaneous restart of hundreds of VMs: the store
// performs their writes one after the other, and no VM may wait for that.
func TestRestartedVMReadsBeforePublishing(t *testing.T) {
	s := &recordingStore{}
	qt.Assert(t, attempted(start(t, s, false, 300)), qt.IsTrue)
	time.Sleep(100 * time.Millisecond)
	qt.Assert(t, s.recorded(), qt.DeepEquals, []string{"read", "publish", "changes"})
}

// TestVMsStartedTogetherDiscoverEachOther delays the first reads until both VMs have begun theirs.
func TestVMsStartedTogetherDiscoverEachOther(t *testing.T) {
	s := &sharedStore{rows: map[string][]byte{}}
	s.firstReads.Add(2)
	known := make(chan int, 16)
	for _, name := range []string{"vm-1", "vm-2"} {
		all := map[string]bool{}
		d := psdiscovery.New(psdiscovery.Options{
			Self: psmessage.Identity{VM: name}, Store: s, FleetSize: func() int { return 300 }, Logger: hclog.NewNullLogger(), Now: time.Now,
			Apply: func(rows map[string][]byte, _ bool) {
				for n := range rows {
					all[n] = true
				}
				known <- len(all)
			},
		})
		ctx, stop := context.WithCancel(context.Background())
		t.Cleanup(stop)
		go d.Run(ctx)
	}
	most := 0
	for range 4 {
		most = max(most, <-known)
	}
	qt.Assert(t, most, qt.Equals, 2)
}

// sharedStore keeps what was published.
type sharedStore struct {
	mutex sync.Mutex
	rows  map[string][]byte
	// firstReads delays the first reads until each VM has begun one.
	firstReads sync.WaitGroup
}

func (s *sharedStore) VMs(context.Context) (platform.VMs, error) {
	s.firstReads.Done()
	s.firstReads.Wait()
	return platform.VMs{Revision: psrevision.New(0, 1)}, nil
}

func (s *sharedStore) VMChanges(context.Context, psrevision.Revision) (platform.VMs, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return platform.VMs{Revision: psrevision.New(0, 2), Rows: maps.Clone(s.rows)}, nil
}

func (s *sharedStore) PublishVM(_ context.Context, name string, value []byte) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rows[name] = value
	return nil
}

func TestFirstStartPublishesBeforeReading(t *testing.T) {
	s := &recordingStore{}
	qt.Assert(t, attempted(start(t, s, true, 300)), qt.IsTrue)
	time.Sleep(50 * time.Millisecond)
	qt.Assert(t, s.recorded(), qt.DeepEquals, []string{"publish", "read"})
}

func TestStoreOutageDelaysOnlyFirstStart(t *testing.T) {
	qt.Assert(t, attempted(start(t, &recordingStore{unavailable: true}, false, 9)), qt.IsTrue)
	qt.Assert(t, attempted(start(t, &recordingStore{unavailable: true}, true, 9)), qt.IsFalse)
}

func TestSmallFleetReadsTwiceAtStart(t *testing.T) {
	s := &recordingStore{}
	start(t, s, true, 9)
	time.Sleep(1800 * time.Millisecond)
	qt.Assert(t, s.recorded(), qt.DeepEquals, []string{"publish", "read", "changes"})
}
