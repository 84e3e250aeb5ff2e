package pscrowd_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/platform"
	"persimmonstep/platform/psheader"
	"persimmonstep/platform/psstandin"
)

const (
	// memoryMB and maxDescriptors are the limits in the VM's settings, in MiB and open files. They are lower than those of
	// any installation, so that a small crowd reaches them.
	memoryMB       = 96
	maxDescriptors = 512
	// headerBytes is the limit for request headers in the configuration, as in the installations.
	headerBytes = 16384
	// longResponse is the length of the responses of the route /boards/, in bytes.
	longResponse = 400 << 10
	// probeTimeout bounds the wait for the response to an ordinary request. It is far more than any response takes.
	probeTimeout = 60 * time.Second
)

// process is the process of a VM.
type process struct {
	callers, ready string
	// peers is the address for other VMs, whose port is also that of datagrams.
	peers, directory, operator netip.AddrPort
	command                    *exec.Cmd
	ended                      chan struct{}
	store                      *faultyStore
	// ran are the ids of the requests for orders that the backend server has run.
	ran *sync.Map
	// descriptors is the highest number of open descriptors that was seen.
	descriptors atomic.Int64
	// maxDescriptors is the limit in the VM's settings.
	maxDescriptors int
}

// binary is the path of the program, which is built once for all tests.
var binary string

func TestMain(m *testing.M) {
	os.Exit(runWithProgram(m))
}

func runWithProgram(m *testing.M) int {
	dir, err := os.MkdirTemp("", "pscrowd")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir) //nolint:errcheck // a temporary directory
	binary = filepath.Join(dir, "persimmonstep")
	if out, err := exec.Command("go", "build", "-o", binary, "persimmonstep/cmd/persimmonstep").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%s: %s", err, out))
	}
	return m.Run()
}

// starts counts the VMs, so that each gets an address of its own.
var starts atomic.Int32

// startVM starts a store, a backend server and a VM's process, and waits until the VM is ready.
func startVM(t *testing.T) *process {
	t.Helper()
	return startVMWith(t, maxDescriptors)
}

// startVMWith starts a VM with a number of descriptors, as [startVM] does.
func startVMWith(t *testing.T, maxDescriptors int) *process {
	t.Helper()
	store, clean := psstandin.NewStore()
	t.Cleanup(clean)
	ran := &sync.Map{}
	configure(store, startBackend(t, ran), startHostileBackend(t))
	faulty := startFaultyStore(t, store.Address())
	dir, pid := t.TempDir(), os.Getpid()
	address := netip.AddrFrom4([4]byte{127, byte(150 + starts.Add(1)), byte(pid >> 8), byte(1 + pid&127)})
	settings := psstandin.Settings(psstandin.VM{
		Name: "vm-1", FailureDomain: "north-a", Region: "north", Address: address, Store: faulty.address, Grace: time.Second,
		MemoryMB: memoryMB, Descriptors: maxDescriptors,
	})
	path := filepath.Join(dir, "node.yaml")
	qt.Assert(t, os.WriteFile(path, settings, 0o600), qt.IsNil)
	p := &process{
		callers: netip.AddrPortFrom(address, psstandin.CallerPort).String(),
		ready:   netip.AddrPortFrom(address, psstandin.ReadyPort).String(),
		peers:   netip.AddrPortFrom(address, psstandin.OperatorPort-1), directory: netip.AddrPortFrom(address, psstandin.DirectoryPort),
		operator: netip.AddrPortFrom(address, psstandin.OperatorPort), store: faulty, ran: ran,
		command: exec.Command(binary, "steer", "--settings", path), ended: make(chan struct{}), maxDescriptors: maxDescriptors,
	}
	qt.Assert(t, p.command.Start(), qt.IsNil)
	go func() {
		defer close(p.ended)
		_ = p.command.Wait()
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.ended
	})
	go p.watchDescriptors()
	await(t, "the VM is ready", func() bool { return get("http://"+p.ready+platform.PathReady) == http.StatusOK })
	await(t, "the VM serves", func() bool { return p.probe() == http.StatusOK })
	return p
}

// configure writes a configuration with a route for ordinary requests, one for long responses, and one to a server whose
// responses don't end.
func configure(store *psstandin.Store, server, hostile string) {
	route := func(name string, kind psconfig.Kind, service string) psconfig.Route {
		return psconfig.Route{
			Name: name, Host: "eggs.test", Prefix: "/" + name + "/", Kind: kind, Timeout: 10 * time.Second, TargetLatency: 200 * time.Millisecond,
			Backends: []psconfig.Backend{{Service: service, Weight: 1}}, MaxAttempts: 2, Public: true,
		}
	}
	store.Configure(&psconfig.Configuration{
		Version: 1, Routes: []psconfig.Route{
			route("boards", psconfig.Idempotent, "eggs"), route("orders", psconfig.AtMostOnce, "eggs"), route("odd", psconfig.AtMostOnce, "odd"),
		},
		Services: []psconfig.Service{
			{Name: "eggs", HealthPath: "/healthz", MaxConnections: 300, ColdStart: time.Second, ColdPerSecond: 100},
			{Name: "odd", HealthPath: "/healthz", MaxConnections: 1000, ColdStart: time.Second, ColdPerSecond: 1000},
		},
		Limits: psconfig.Limits{
			MaxHeaderBytes: headerBytes, MaxBodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
		},
	}, nil)
	store.Register(psserver.Entry{
		ID: "i-1", Incarnation: time.UnixMilli(1), Service: "eggs", Address: netip.MustParseAddrPort(server),
		FailureDomain: "north-a", Slots: 50, Sequence: 1,
	})
	store.Register(psserver.Entry{
		ID: "i-2", Incarnation: time.UnixMilli(1), Service: "odd", Address: netip.MustParseAddrPort(hostile),
		FailureDomain: "north-a", Slots: 500, Sequence: 1,
	})
}

// startBackend starts a backend server, which sends long responses to requests for boards. It records the ids of the
// others that it runs.
func startBackend(t *testing.T, ran *sync.Map) string {
	t.Helper()
	long := strings.Repeat("x", longResponse)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/healthz" {
			psstandin.WriteHealth(w.Header(), "i-1", 0)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := psstandin.ReadForwardHeaders(r.Header).ID
		psstandin.Sign(w.Header(), id)
		if strings.HasPrefix(r.URL.Path, "/boards/") {
			_, _ = io.WriteString(w, long)
			return
		}
		ran.Store(id, true)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(probeTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("condition not met within %s: %s", probeTimeout, what)
}

// get returns the status of a response; 0 without one.
func get(url string) int { return getAs(url, "id-1") }

// getAs sends a request with an id and returns the status of its response; 0 without one.
func getAs(url, id string) int {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	r.Host, r.Close = "eggs.test", true
	psstandin.WriteRequestHeaders(r.Header, psheader.Request{ID: id, Left: 5 * time.Second})
	response, err := (&http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}).RoundTrip(r)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// probe sends an ordinary request and returns the status of its response.
func (p *process) probe() int { return get("http://" + p.callers + "/orders/1") }

// watchDescriptors records the number of open descriptors until the process ends.
func (p *process) watchDescriptors() {
	for {
		select {
		case <-p.ended:
			return
		case <-time.After(10 * time.Millisecond):
		}
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
		if err == nil {
			p.descriptors.Store(max(p.descriptors.Load(), int64(len(entries))))
		}
	}
}

// peakMemory returns the most memory that the process has held, in MiB.
func (p *process) peakMemory(t *testing.T) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	qt.Assert(t, err, qt.IsNil, qt.Commentf("the process has ended"))
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) > 1 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.Atoi(fields[1])
			qt.Assert(t, err, qt.IsNil)
			return kilobytes >> 10
		}
	}
	t.Fatal("the process has ended")
	return 0
}

// check checks that the process lives, was within its limits all the time, and serves an ordinary request.
func (p *process) check(t *testing.T) {
	t.Helper()
	memory, descriptors := p.peakMemory(t), p.descriptors.Load()
	t.Logf("at most %d MiB of %d, %d descriptors of %d", memory, memoryMB, descriptors, p.maxDescriptors)
	qt.Check(t, memory < memoryMB, qt.IsTrue, qt.Commentf("%d MiB", memory))
	qt.Check(t, descriptors < int64(p.maxDescriptors), qt.IsTrue, qt.Commentf("%d descriptors", descriptors))
	await(t, "an ordinary request is served", func() bool { return p.probe() == http.StatusOK })
	select {
	case <-p.ended:
		t.Error("the process has ended")
	default:
	}
}
