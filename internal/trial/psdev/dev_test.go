package psdev_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/trial/psbackend"
	"persimmonstep/internal/trial/psdev"
	"persimmonstep/platform/psheader"
	"persimmonstep/platform/psstandin"
)

func start(t *testing.T) *psdev.System {
	t.Helper()
	s, stop, err := psdev.New(context.Background(), psdev.Example(), func(string) io.Writer { return io.Discard })
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(stop)
	return s
}

// send sends a request to a VM and returns the status and body of the response; 0 without a response.
func send(s *psdev.System, vm int, path, key string) (int, string) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+s.Ready.VMs[vm].Callers.String()+path, nil)
	if err != nil {
		return 0, ""
	}
	r.Host = s.Ready.Host
	psstandin.WriteRequestHeaders(r.Header, psheader.Request{ID: "id-1", Object: path, Left: 2 * time.Second, Key: key})
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close() //nolint:errcheck // the body was read
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(text)
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("condition not met within 10 s: %s", what)
}

func TestRequestThroughEveryVM(t *testing.T) {
	s := start(t)
	w := s.Ready.Workspaces[0]
	for i := range s.Ready.VMs {
		status, text := send(s, i, "/prices/eggs?size=large", w.Key)
		qt.Assert(t, status, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
		var e psbackend.Echo
		qt.Assert(t, json.Unmarshal([]byte(text), &e), qt.IsNil)
		qt.Assert(t, e.Workspace, qt.Equals, w.Name)
		qt.Assert(t, strings.Contains(text, w.Key), qt.IsFalse)
	}
}

func TestRequestStatus(t *testing.T) {
	s := start(t)
	for name, v := range map[string]struct {
		path, key string
		status    int
	}{
		"no key":           {"/prices/x", "", http.StatusUnauthorized},
		"unknown key":      {"/prices/x", "nobody", http.StatusUnauthorized},
		"no route":         {"/nowhere", s.Ready.Workspaces[0].Key, http.StatusNotFound},
		"public":           {"/public/x", "", http.StatusOK},
		"second workspace": {"/orders/x", s.Ready.Workspaces[1].Key, http.StatusOK},
		"other service":    {"/photos/x", s.Ready.Workspaces[2].Key, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			status, text := send(s, 0, v.path, v.key)
			qt.Assert(t, status, qt.Equals, v.status, qt.Commentf("%s", text))
		})
	}
}

// TestGracefulRestartLosesNoRequests restarts a VM while a caller sends requests through another one. It guards against
// requests that fail because a VM restarts.
func TestGracefulRestartLosesNoRequests(t *testing.T) {
	s := start(t)
	key := s.Ready.Workspaces[0].Key
	done := make(chan struct{})
	failed := 0
	var caller sync.WaitGroup
	caller.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
			}
			if status, _ := send(s, 1, "/prices/x", key); status != http.StatusOK {
				failed++
			}
		}
	})
	time.Sleep(200 * time.Millisecond)
	s.Stop(0)
	s.Start(0)
	qt.Check(t, s.WaitReady(t.Context(), 0), qt.IsNil)
	status, _ := send(s, 0, "/prices/x", key)
	qt.Check(t, status, qt.Equals, http.StatusOK)
	close(done)
	caller.Wait()
	qt.Assert(t, failed, qt.Equals, 0)
}

func TestKilledVMServesAfterRestart(t *testing.T) {
	s := start(t)
	key := s.Ready.Workspaces[0].Key
	s.Kill(0)
	status, _ := send(s, 0, "/prices/x", key)
	qt.Assert(t, status, qt.Equals, 0)
	s.Start(0)
	qt.Assert(t, s.WaitReady(t.Context(), 0), qt.IsNil)
	status, _ = send(s, 0, "/prices/x", key)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
}

// TestVMsServeWithoutStore makes the store unavailable for all VMs, region by region, and restarts a VM between. It
// guards against VMs that need the store to serve or to start.
func TestVMsServeWithoutStore(t *testing.T) {
	s := start(t)
	key := s.Ready.Workspaces[0].Key
	s.StoreEndpoints["north"].SetFault(psstandin.Fault{Silent: true})
	s.Kill(0)
	s.Start(0)
	// The VM fetches the control state from a VM of the other region.
	qt.Assert(t, s.WaitReady(t.Context(), 0), qt.IsNil)
	s.StoreEndpoints["south"].SetFault(psstandin.Fault{Status: http.StatusServiceUnavailable})
	for i := range s.Ready.VMs {
		status, _ := send(s, i, "/orders/x", key)
		qt.Check(t, status, qt.Equals, http.StatusOK)
	}
}

// TestPartitionedRegionServes partitions a region from the other VMs and from the store. It guards against VMs that
// stop serving while they are partitioned.
func TestPartitionedRegionServes(t *testing.T) {
	s := start(t)
	key := s.Ready.Workspaces[0].Key
	s.StoreEndpoints["south"].SetFault(psstandin.Fault{Silent: true})
	for _, v := range s.Ready.VMs {
		if v.Region == "south" {
			s.Network.SetPartition(v.Callers.Addr(), "south")
		}
	}
	for i := range s.Ready.VMs {
		status, _ := send(s, i, "/prices/x", key)
		qt.Check(t, status, qt.Equals, http.StatusOK)
	}
}

func TestRevokedKeyIsRejected(t *testing.T) {
	s := start(t)
	w := s.Ready.Workspaces[1]
	s.RevokeKeys(w.Name)
	for i := range s.Ready.VMs {
		eventually(t, "the key is rejected", func() bool {
			status, _ := send(s, i, "/prices/x", w.Key)
			return status == http.StatusUnauthorized
		})
	}
	status, _ := send(s, 0, "/prices/x", s.Ready.Workspaces[0].Key)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
}

func TestDrainedServerGetsNoRequests(t *testing.T) {
	s := start(t)
	key := s.Ready.Workspaces[0].Key
	for i, v := range s.Ready.Servers {
		if v.Service == "prices" && !strings.HasSuffix(v.ID, "north-a-1") {
			s.Register(i, psserver.Draining)
		}
	}
	eventually(t, "only one server of prices gets requests", func() bool {
		for range 20 {
			if _, text := send(s, 0, "/prices/x", key); !strings.Contains(text, `"server":"prices-north-a-1"`) {
				return false
			}
		}
		return true
	})
}

func TestReadyFileListsVMsAndServers(t *testing.T) {
	s := start(t)
	path := t.TempDir() + "/ready.json"
	qt.Assert(t, s.WriteReady(path), qt.IsNil)
	qt.Assert(t, len(s.Ready.VMs), qt.Equals, 4)
	qt.Assert(t, len(s.Ready.Servers), qt.Equals, 24)
}
