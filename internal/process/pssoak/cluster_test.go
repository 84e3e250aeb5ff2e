package pssoak_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/platform/psstandin"
)

const (
	vmCount     = 4
	serverCount = 5
	// drainBound and graceBound stand in the VMs' settings.
	drainBound = 2 * time.Second
	graceBound = 3 * time.Second
	// workTime is how long a backend server works on a request.
	serviceTime = 15 * time.Millisecond
)

// process is a VM as a process of its own.
type process struct {
	name, address, settings, log string

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// disturbed is until when the VM may miss what it should know.
	disturbed time.Time
	// paused says that the process is stopped.
	paused bool
}

// world is a fleet with its store and servers.
type cluster struct {
	t          *testing.T
	binary     string
	store      *psstandin.Store
	storeProxy *proxy
	vms        []*process
	servers    []*server

	mutex          sync.Mutex
	version        int64
	revoked        time.Time
	lastStoreFault time.Time
	findings       []string
}

// found notes a broken promise.
func (w *cluster) reportViolation(format string, args ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.findings = append(w.findings, fmt.Sprintf(format, args...))
}

// server is a backend server that remembers what it ran.
type server struct {
	cluster *cluster
	id      string
	http    *httptest.Server
	proxy   *proxy

	mutex    sync.Mutex
	draining time.Time
}

// runs counts the runs of each request over all servers.
type runs struct {
	mutex sync.Mutex
	count map[string]int
}

func (r *runs) add(id string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.count[id]++
	return r.count[id]
}

func (r *runs) of(id string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.count[id]
}

func newCluster(t *testing.T, binary string, all *runs) *cluster {
	t.Helper()
	store, clean := psstandin.NewStore()
	t.Cleanup(clean)
	w := &cluster{t: t, binary: binary, store: store, storeProxy: startProxy(t, store.Address().String())}
	for i := range serverCount {
		w.servers = append(w.servers, w.startServer(fmt.Sprint("i-", i), all))
	}
	w.configure(true)
	for i := range vmCount {
		w.vms = append(w.vms, w.newProcess(i))
		w.vms[i].start(t, w.binary)
	}
	t.Cleanup(func() {
		for _, p := range w.vms {
			p.kill()
		}
	})
	return w
}

// configure writes the next configuration. The second key is in it or taken away.
func (w *cluster) configure(second bool) {
	w.mutex.Lock()
	w.version++
	version, keys := w.version, []string{"k-1"}
	if second {
		keys = append(keys, "k-2")
		w.revoked = time.Time{}
	} else if w.revoked.IsZero() {
		w.revoked = time.Now()
	}
	w.mutex.Unlock()
	route := func(name string, kind psconfig.Kind) psconfig.Route {
		return psconfig.Route{
			Name: name, Host: "eggs.test", Prefix: "/" + name + "/", Kind: kind, Timeout: time.Second, TargetLatency: 200 * time.Millisecond,
			Backends: []psconfig.Backend{{Service: "eggs", Weight: 1}}, MaxAttempts: 2, Affinity: kind == psconfig.Idempotent,
		}
	}
	w.store.Configure(&psconfig.Configuration{
		Version: version, Routes: []psconfig.Route{route("boards", psconfig.Idempotent), route("orders", psconfig.AtMostOnce)},
		Services:   []psconfig.Service{{Name: "eggs", HealthPath: "/healthz", MaxConnections: 200, ColdStart: 500 * time.Millisecond, ColdPerSecond: 50}},
		Workspaces: []psconfig.Workspace{{Name: "trays"}},
	}, map[string][]string{"trays": keys})
}

func (w *cluster) startServer(id string, all *runs) *server {
	s := &server{cluster: w, id: id}
	s.http = httptest.NewServer(http.HandlerFunc(func(a http.ResponseWriter, r *http.Request) { s.serve(a, r, all) }))
	w.t.Cleanup(s.http.Close)
	s.proxy = startProxy(w.t, strings.TrimPrefix(s.http.URL, "http://"))
	s.register(psserver.Ready)
	return s
}

// write writes the server's entry.
func (s *server) writeEntry(state psserver.State) {
	s.cluster.store.Register(psserver.Entry{
		ID: s.id, Incarnation: time.UnixMilli(1), Service: "eggs", Address: netip.MustParseAddrPort(s.proxy.address()),
		FailureDomain: "north-a", Slots: 4, State: state, Sequence: time.Now().UnixNano(),
	})
}

// writeAgain writes the entry as it was written last.
func (s *server) rewriteEntry() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.draining.IsZero() {
		s.writeEntry(psserver.Ready)
		return
	}
	s.writeEntry(psserver.Draining)
}

// register lets the server say how it is.
func (s *server) register(state psserver.State) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.writeEntry(state)
	s.draining = time.Time{}
	if state == psserver.Draining {
		s.draining = time.Now()
	}
}

func (s *server) serve(a http.ResponseWriter, r *http.Request, all *runs) {
	if r.URL.Path == "/healthz" {
		psstandin.WriteHealth(a.Header(), s.id, 0)
		return
	}
	arrival := psstandin.ReadArrival(r.Header)
	id := arrival.ID
	if arrival.Server != s.id {
		s.cluster.reportViolation("%s is for %s and reached %s", id, arrival.Server, s.id)
	}
	if arrival.Key || arrival.Workspace != "trays" {
		s.cluster.reportViolation("%s reached a server with a key or for another workspace", id)
	}
	s.checkDrain(id)
	if n := all.add(id); n > 1 && strings.HasPrefix(r.URL.Path, "/orders/") {
		s.cluster.reportViolation("order %s ran %d times", id, n)
	}
	time.Sleep(serviceTime)
	psstandin.Sign(a.Header(), id)
	_, _ = io.WriteString(a, "answer to "+id)
}

// checkDrain notes a request that came long after the server said that it leaves.
func (s *server) checkDrain(id string) {
	s.mutex.Lock()
	since := s.draining
	s.mutex.Unlock()
	if since.IsZero() || time.Since(since) < drainBound+time.Second || s.cluster.isDisturbed(since) {
		return
	}
	s.cluster.reportViolation("%s reached %s %s after it said that it leaves", id, s.id, time.Since(since))
}

// isDisturbed reports whether anything between the VMs and the store was harmed since a moment.
func (w *cluster) isDisturbed(since time.Time) bool {
	w.mutex.Lock()
	bad := w.lastStoreFault
	w.mutex.Unlock()
	if bad.After(since) {
		return true
	}
	for _, p := range w.vms {
		p.mutex.Lock()
		disturbed := p.disturbed.After(since)
		p.mutex.Unlock()
		if disturbed {
			return true
		}
	}
	return false
}

func (w *cluster) newProcess(i int) *process {
	pid := os.Getpid()
	dir := w.t.TempDir()
	p := &process{
		name: fmt.Sprint("vm-", i), address: fmt.Sprintf("127.%d.%d.%d", 100+i, pid>>8&255, 1+pid&127),
		settings: filepath.Join(dir, "node.yaml"), log: filepath.Join(dir, "log"),
	}
	p.write(w.t, w.storeProxy.address())
	return p
}

// write writes the settings file anew.
func (p *process) write(t *testing.T, store string) {
	t.Helper()
	text := psstandin.Settings(psstandin.VM{
		Name: p.name, FailureDomain: "north-a", Region: "north", Address: netip.MustParseAddr(p.address),
		Store: netip.MustParseAddrPort(store), Grace: graceBound,
	})
	qt.Assert(t, os.WriteFile(p.settings, text, 0o600), qt.IsNil)
}

func (p *process) start(t *testing.T, binary string) {
	t.Helper()
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	qt.Assert(t, err, qt.IsNil)
	c := exec.Command(binary, "steer", "--settings", p.settings)
	c.Stdout, c.Stderr = out, out
	qt.Assert(t, c.Start(), qt.IsNil)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = c.Wait()
		_ = out.Close()
	}()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.command, p.ended, p.paused = c, ended, false
	p.disturbed = time.Now()
}

// signal sends a signal to the process and notes that it is disturbed.
func (p *process) signal(s syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil {
		return
	}
	p.disturbed = time.Now()
	p.paused = s == syscall.SIGSTOP
	_ = p.command.Process.Signal(s)
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait()
}

func (p *process) wait() {
	p.mutex.Lock()
	ended := p.ended
	p.mutex.Unlock()
	<-ended
}
