package pssteer_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/connection/pspeerstate"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/process/pssteer"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/platform"
	"persimmonstep/platform/psheader"
	"persimmonstep/platform/psstandin"
)

// output collects a VM's log.
type output struct {
	mutex sync.Mutex
	data  bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.data.Write(b)
}

func (o *output) String() string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.data.String()
}

// vm is a VM under test.
type vm struct {
	callers, ready, directory string
	settings                  string
	log                       *output
	reload                    chan os.Signal
	stop                      context.CancelFunc
	ended                     chan error
}

// started is the number of VMs that this test process has started.
var started atomic.Int32

// ownAddress returns a loopback address whose ports no other test process uses.
func ownAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 10+started.Add(1), pid>>8&255, 1+pid&127)
}

func startVM(t *testing.T, name string, s *psstandin.Store) *vm {
	t.Helper()
	return startVMAt(t, name, ownAddress(), s.Address())
}

func startVMAt(t *testing.T, name, a string, store netip.AddrPort) *vm {
	t.Helper()
	return startVMIn(t, name, a, store, pssteer.Network{})
}

// startVMIn starts a VM in an emulated network.
func startVMIn(t *testing.T, name, a string, store netip.AddrPort, network pssteer.Network) *vm {
	t.Helper()
	return startVMWithGrace(t, name, a, store, network, time.Second)
}

// startVMWithGrace starts a VM with a grace period.
func startVMWithGrace(t *testing.T, name, a string, store netip.AddrPort, network pssteer.Network, grace time.Duration) *vm {
	t.Helper()
	at := netip.MustParseAddr(a)
	address := func(port uint16) string { return netip.AddrPortFrom(at, port).String() }
	v := &vm{
		callers: address(psstandin.CallerPort), ready: address(psstandin.ReadyPort), directory: address(psstandin.DirectoryPort),
		settings: filepath.Join(t.TempDir(), "node.yaml"), log: &output{}, reload: make(chan os.Signal), ended: make(chan error, 1),
	}
	text := psstandin.Settings(psstandin.VM{
		Name: name, FailureDomain: "north-a", Region: "north", Address: at, Store: store, Grace: grace,
	})
	qt.Assert(t, os.WriteFile(v.settings, text, 0o600), qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	v.stop = stop
	go func() {
		v.ended <- pssteer.Run(ctx, pssteer.Options{SettingsPath: v.settings, Output: v.log, Reload: v.reload, Network: network})
	}()
	t.Cleanup(stop)
	return v
}

// startStore starts a store that holds a configuration and the entry of a backend server.
func startStore(t *testing.T, server string) *psstandin.Store {
	t.Helper()
	s, clean := psstandin.NewStore()
	t.Cleanup(clean)
	s.Configure(&psconfig.Configuration{
		Version: 1,
		Routes: []psconfig.Route{{
			Name: "orders", Host: "eggs.test", Prefix: "/orders/", Timeout: 2 * time.Second, TargetLatency: 200 * time.Millisecond,
			Backends: []psconfig.Backend{{Service: "orders", Weight: 1}}, MaxAttempts: 1, Public: true,
		}},
		Services:   []psconfig.Service{{Name: "orders", HealthPath: "/healthz", MaxConnections: 50, ColdStart: time.Second, ColdPerSecond: 9}},
		Workspaces: []psconfig.Workspace{{Name: "trays"}},
	}, map[string][]string{"trays": {testKey}})
	s.Register(entry(server))
	return s
}

// testKey is the key of a workspace. A VM must not disclose it.
const testKey = "k-secret"

// entry returns the entry of a backend server at an address.
func entry(address string) psserver.Entry {
	return psserver.Entry{
		ID: "i-1", Incarnation: time.UnixMilli(1), Service: "orders", Address: netip.MustParseAddrPort(address),
		FailureDomain: "north-a", Slots: 4, Sequence: 1,
	}
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

// call returns the status and body of the response; 0 without a response.
func call(address, path string) (int, string) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0, ""
	}
	r.Host = "eggs.test"
	psstandin.WriteRequestHeaders(r.Header, psheader.Request{ID: "id-1", Left: 2 * time.Second})
	r.Close = true
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close() //nolint:errcheck // the body was read
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(body)
}

func directoryAddresses(v *vm) []netip.AddrPort {
	_, body := call(v.directory, psstandin.DirectoryPath(platform.DirectoryQuery{Host: "eggs.test", Region: "north", FailureDomain: "north-a"}))
	addresses, _, err := psstandin.ReadDirectory(strings.NewReader(body))
	if err != nil {
		return nil
	}
	return addresses
}

func isReady(v *vm) bool {
	status, _ := call(v.ready, platform.PathReady)
	return status == http.StatusOK
}

// startBackend starts a backend server that delays each response.
func startBackend(t *testing.T, wait time.Duration) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(wait)
		psstandin.Sign(w.Header(), psstandin.ReadForwardHeaders(r.Header).ID)
		_, _ = io.WriteString(w, "done")
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func TestVMServesAndShutsDownGracefully(t *testing.T) {
	s := startStore(t, startBackend(t, 300*time.Millisecond))
	a, b := startVM(t, "vm-1", s), startVM(t, "vm-2", s)
	eventually(t, "both VMs are ready", func() bool { return isReady(a) && isReady(b) })
	eventually(t, "both VMs are in the directory", func() bool { return len(directoryAddresses(a)) == 2 && len(directoryAddresses(b)) == 2 })
	status, body := call(a.callers, "/orders/1")
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, body, qt.Equals, "done")

	statuses := make(chan int, 1)
	go func() {
		status, _ := call(a.callers, "/orders/2")
		statuses <- status
	}()
	time.Sleep(50 * time.Millisecond)
	a.stop()
	eventually(t, "the other VM removes it from the directory", func() bool { return len(directoryAddresses(b)) == 1 })
	qt.Assert(t, isReady(a), qt.IsFalse)
	qt.Assert(t, <-statuses, qt.Equals, http.StatusOK)
	qt.Assert(t, <-a.ended, qt.IsNil)
	for _, text := range []string{"VM process started", "VM process stopping", "VM process stopped", "configuration applied", `"requestId":"id-1"`} {
		qt.Check(t, strings.Contains(a.log.String(), text), qt.IsTrue, qt.Commentf("%s", text))
	}
}

// TestVMAppliesConfigurationWithUnknownParts guards against VMs that reject a whole configuration because of one
// unknown value. That once left the whole fleet without a configuration.
func TestVMAppliesConfigurationWithUnknownParts(t *testing.T) {
	s := startStore(t, startBackend(t, 0))
	places := s.ConfigureWithUnknownParts(2)
	v := startVM(t, "vm-1", s)
	eventually(t, "the VM is ready", func() bool { return isReady(v) })
	status, _ := call(v.callers, "/orders/1")
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	for _, place := range places {
		text := fmt.Sprintf(`"place":%q`, place)
		qt.Check(t, strings.Count(v.log.String(), text), qt.Equals, 1, qt.Commentf("%s", text))
	}

	s.PutConfiguration([]byte(`{"version":3,"routes":[`))
	eventually(t, "the unreadable configuration is logged", func() bool { return strings.Contains(v.log.String(), `"event":7103`) })
	status, _ = call(v.callers, "/orders/1")
	qt.Assert(t, status, qt.Equals, http.StatusOK)
}

func TestVMServesWithoutStore(t *testing.T) {
	s := startStore(t, startBackend(t, 0))
	v := startVM(t, "vm-1", s)
	eventually(t, "the VM is ready", func() bool { return isReady(v) })
	s.SetStatus(http.StatusServiceUnavailable)
	late := startVM(t, "vm-2", s)
	eventually(t, "the outage is logged", func() bool { return strings.Contains(late.log.String(), "store unavailable") })
	qt.Assert(t, isReady(late), qt.IsFalse)
	status, _ := call(late.callers, "/orders/1")
	qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
	status, _ = call(v.callers, "/orders/1")
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	s.SetStatus(0)
	eventually(t, "the late VM is ready", func() bool { return isReady(late) })
	qt.Assert(t, strings.Contains(late.log.String(), "store available again"), qt.IsTrue)
}

// TestVMRestartedWithoutStoreFetchesStateFromAnotherVM restarts a VM that can't connect to the store. It guards
// against a VM that stays unready during an outage of the store although other VMs have the control state.
func TestVMRestartedWithoutStoreFetchesStateFromAnotherVM(t *testing.T) {
	s := startStore(t, startBackend(t, 0))
	a := startVM(t, "vm-1", s)
	address := ownAddress()
	b := startVMAt(t, "vm-2", address, s.Address())
	eventually(t, "both VMs are in the directory", func() bool { return len(directoryAddresses(a)) == 2 && len(directoryAddresses(b)) == 2 })
	b.stop()
	qt.Assert(t, <-b.ended, qt.IsNil)
	nowhere := netip.MustParseAddrPort("127.0.0.1:1")
	b = startVMAt(t, "vm-2", address, nowhere)
	eventually(t, "the restarted VM is ready", func() bool { return isReady(b) })
	status, _ := call(b.callers, "/orders/1")
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	_, state := call(address+":7600", pspeerstate.Path)
	qt.Assert(t, strings.Contains(state, `"configuration"`), qt.IsTrue)
	qt.Assert(t, strings.Contains(state, testKey), qt.IsFalse)
	qt.Assert(t, strings.Contains(b.log.String(), "control state of another VM applied"), qt.IsTrue)
}

func TestDrainingServerGetsNoRequests(t *testing.T) {
	server := startBackend(t, 0)
	s := startStore(t, server)
	v := startVM(t, "vm-1", s)
	eventually(t, "the VM is ready", func() bool { return isReady(v) })
	e := entry(server)
	e.State, e.Sequence = psserver.Draining, 2
	s.Register(e)
	eventually(t, "the server gets no requests", func() bool {
		status, _ := call(v.callers, "/orders/1")
		return status == http.StatusServiceUnavailable
	})
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	s := startStore(t, startBackend(t, 0))
	v := startVM(t, "vm-1", s)
	eventually(t, "the VM is ready", func() bool { return isReady(v) })
	qt.Assert(t, os.WriteFile(v.settings, []byte("["), 0o600), qt.IsNil)
	v.reload <- os.Interrupt
	eventually(t, "the fault is logged", func() bool { return strings.Contains(v.log.String(), "settings file rejected") })
	qt.Assert(t, isReady(v), qt.IsTrue)
	err := pssteer.Run(context.Background(), pssteer.Options{SettingsPath: v.settings, Output: io.Discard})
	qt.Assert(t, err, qt.ErrorMatches, ".*settings.*")
}
