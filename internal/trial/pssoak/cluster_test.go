package pssoak_test

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/pslimit"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/trial/psguarantee"
	"persimmonstep/internal/trial/psspell"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/platform/psheader"
	"persimmonstep/platform/psstandin"
)

const (
	vmCount     = 4
	serverCount = 5
	// drainBound and graceBound are limits from the VMs' settings: the time after which a draining server gets
	// no more requests, and the time for a graceful shutdown.
	drainBound = 2 * time.Second
	graceBound = 3 * time.Second
	// serviceTime is how long a request runs on a backend server.
	serviceTime = 15 * time.Millisecond
	// serverSlots is the number of slots that servers state.
	serverSlots = 4
	// slowFactor is how much longer a request runs in a slow spell of a machine. Spells last slowSpell on average, with
	// slowSpellGap between them.
	slowFactor   = 2.5
	slowSpell    = 90 * time.Millisecond
	slowSpellGap = 510 * time.Millisecond
)

// process is a VM that runs as a separate process.
type process struct {
	name, address, settings, log string

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// disruptions are the times at which the process was started, signalled or ended. The VM may have missed changes
	// before them.
	disruptions []time.Time
	// paused reports that the process is stopped by SIGSTOP.
	paused bool
}

// cluster is a fleet of VMs with its store and backend servers.
type cluster struct {
	t          *testing.T
	binary     string
	store      *psstandin.Store
	storeProxy *proxy
	vms        []*process
	servers    []*server
	start      time.Time

	mutex sync.Mutex
	// starts counts the starts of VMs.
	starts         int
	version        int64
	revoked        time.Time
	lastStoreFault time.Time
	violations     []string
}

// reportViolation records a violated guarantee, which fails the test.
func (cl *cluster) reportViolation(format string, args ...any) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	cl.violations = append(cl.violations, fmt.Sprintf(format, args...))
}

// server is a backend server that checks and counts the requests that it runs.
type server struct {
	cluster *cluster
	id      string
	http    *httptest.Server
	proxy   *proxy
	// spells are the slow spells of its machine, which its load reports state. running is the number of its runs.
	spells  psspell.Spells
	running atomic.Int64

	mutex    sync.Mutex
	draining time.Time
	// limit is named in all responses. arrivals are the requests that reached the server.
	limit    pslimit.Limit
	arrivals []psguarantee.Arrival
}

// runs is the number of runs of each request over all servers, by request id.
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

func newCluster(t *testing.T, binary string, counts *runs) *cluster {
	t.Helper()
	store, clean := psstandin.NewStore()
	t.Cleanup(clean)
	cl := &cluster{t: t, binary: binary, store: store, start: time.Now(), storeProxy: startProxy(t, store.Address().String())}
	for i := range serverCount {
		cl.servers = append(cl.servers, cl.startServer(i, counts))
	}
	cl.configure(true)
	for i := range vmCount {
		cl.vms = append(cl.vms, cl.newProcess(i))
		cl.vms[i].start(t, cl.nextBinary())
	}
	t.Cleanup(func() {
		for _, p := range cl.vms {
			p.kill()
		}
	})
	return cl
}

// nextBinary returns the binary for the next start of a VM. With an earlier binary the VMs begin with that and the present
// one by turns, so that restarts upgrade some VMs and roll others back.
func (cl *cluster) nextBinary() string {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	cl.starts++
	if *earlierBinary != "" && cl.starts%2 == 0 {
		return *earlierBinary
	}
	return cl.binary
}

// configure writes the next configuration, in which the second key is valid or revoked.
func (cl *cluster) configure(secondKeyValid bool) {
	cl.mutex.Lock()
	cl.version++
	version, keys := cl.version, []string{"k-1"}
	if secondKeyValid {
		keys = append(keys, "k-2")
		cl.revoked = time.Time{}
	} else if cl.revoked.IsZero() {
		cl.revoked = time.Now()
	}
	cl.mutex.Unlock()
	route := func(name string, kind psconfig.Kind) psconfig.Route {
		return psconfig.Route{
			Name: name, Host: "eggs.test", Prefix: "/" + name + "/", Kind: kind, Timeout: time.Second, TargetLatency: 200 * time.Millisecond,
			Backends: []psconfig.Backend{{Service: "eggs", Weight: 1}}, MaxAttempts: 2, Affinity: kind == psconfig.Idempotent,
		}
	}
	cl.store.Configure(&psconfig.Configuration{
		Version: version, Routes: []psconfig.Route{route("boards", psconfig.Idempotent), route("orders", psconfig.AtMostOnce)},
		Services:   []psconfig.Service{{Name: "eggs", HealthPath: "/healthz", MaxConnections: 200, ColdStart: 500 * time.Millisecond, ColdPerSecond: 50}},
		Workspaces: []psconfig.Workspace{{Name: "trays"}},
	}, map[string][]string{"trays": keys})
}

func (cl *cluster) startServer(index int, counts *runs) *server {
	s := &server{
		cluster: cl, id: fmt.Sprint("i-", index),
		spells: psspell.Draw(uint64(serverCount), index, slowFactor, slowSpell, slowSpellGap, time.Minute),
	}
	s.http = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, counts) }))
	cl.t.Cleanup(s.http.Close)
	s.proxy = startProxy(cl.t, strings.TrimPrefix(s.http.URL, "http://"))
	s.register(psserver.Ready)
	return s
}

// writeEntry writes the server's registry entry to the store.
func (s *server) writeEntry(state psserver.State) {
	s.cluster.store.Register(psserver.Entry{
		ID: s.id, Incarnation: time.UnixMilli(1), Service: "eggs", Address: netip.MustParseAddrPort(s.proxy.address()),
		FailureDomain: "north-a", Slots: serverSlots, State: state, Sequence: time.Now().UnixNano(),
	})
}

// rewriteEntry writes the entry with its last state again.
func (s *server) rewriteEntry() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.draining.IsZero() {
		s.writeEntry(psserver.Ready)
		return
	}
	s.writeEntry(psserver.Draining)
}

// register writes the server's entry with a new state.
func (s *server) register(state psserver.State) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.writeEntry(state)
	s.draining = time.Time{}
	if state == psserver.Draining {
		s.draining = time.Now()
	}
}

func (s *server) serve(w http.ResponseWriter, r *http.Request, counts *runs) {
	if r.URL.Path == "/healthz" {
		psstandin.WriteHealth(w.Header(), s.id, 0)
		s.writeLoad(w.Header())
		return
	}
	arrival := psstandin.ReadForwardHeaders(r.Header)
	id := arrival.ID
	if arrival.Server != s.id {
		s.cluster.reportViolation("request %s was sent to server %s and reached %s", id, arrival.Server, s.id)
	}
	if arrival.Key || arrival.Workspace != "trays" {
		s.cluster.reportViolation("request %s reached a server with a key or for another workspace", id)
	}
	s.checkDrain(id)
	arrived := s.cluster.elapsed()
	if n := counts.add(id); n > 1 && strings.HasPrefix(r.URL.Path, "/orders/") {
		s.cluster.reportViolation("order %s ran %d times", id, n)
	}
	s.running.Add(1)
	time.Sleep(s.spells.Finish(arrived, serviceTime) - arrived)
	psstandin.Sign(w.Header(), id)
	s.nameLimit(w.Header(), r.Header.Get(headerVM), arrived)
	s.running.Add(-1)
	s.writeLoad(w.Header())
	padding, _ := strconv.Atoi(r.Header.Get(headerPadding))
	_, _ = io.WriteString(w, answerTo(id, padding))
}

// answerTo returns the response to a request.
func answerTo(id string, padding int) string { return "answer to " + id + strings.Repeat(".", padding) }

// writeLoad states the load and the speed of the machine.
func (s *server) writeLoad(h http.Header) {
	psstandin.WriteLoad(h, psheader.Load{Running: int(s.running.Load()), Slots: serverSlots, WorkFactor: s.spells.FactorAt(s.cluster.elapsed())})
}

// nameLimit adds the server's limit to the header of a response, and records the request that arrived at a time.
func (s *server) nameLimit(h http.Header, vm string, arrived time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.limit.Named {
		psstandin.WriteLimit(h, s.limit.PerSecond)
	}
	s.arrivals = append(s.arrivals, psguarantee.Arrival{At: arrived, VM: vm, Named: s.limit, NamedAt: s.cluster.elapsed()})
}

// setLimit changes the limit of the server.
func (s *server) setLimit(l pslimit.Limit) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.limit = l
}

// checkLimits reports the servers that got more requests than they had named. The restart and the pause of a VM excuse
// that VM.
func (cl *cluster) checkLimits() {
	h := psguarantee.History{Restarts: make(map[string][]time.Duration)}
	for _, p := range cl.vms {
		p.mutex.Lock()
		for _, at := range p.disruptions {
			h.Restarts[p.callers()] = append(h.Restarts[p.callers()], at.Sub(cl.start))
		}
		p.mutex.Unlock()
	}
	for _, s := range cl.servers {
		s.mutex.Lock()
		arrivals := slices.Clone(s.arrivals)
		s.mutex.Unlock()
		slices.SortFunc(arrivals, func(a, b psguarantee.Arrival) int { return cmp.Compare(a.At, b.At) })
		h.Servers = []psguarantee.Server{{ID: s.id, Arrivals: arrivals}}
		if n := psguarantee.Check(h).LimitExceeded; n > 0 {
			cl.reportViolation("server %s got %d requests more than its limit allows", s.id, n)
		}
	}
}

// elapsed returns the time since the start of the cluster.
func (cl *cluster) elapsed() time.Duration { return time.Since(cl.start) }

// checkDrain reports a request that arrives later than drainBound after the server's drain, with a
// margin of 1 s. A disruption since the drain excuses it.
func (s *server) checkDrain(id string) {
	s.mutex.Lock()
	since := s.draining
	s.mutex.Unlock()
	if since.IsZero() || time.Since(since) < drainBound+time.Second || s.cluster.isDisturbed(since) {
		return
	}
	s.cluster.reportViolation("request %s reached server %s %s after its drain began", id, s.id, time.Since(since))
}

// isDisturbed reports whether a fault of a VM or of its connection to the store occurred after a time. Such
// a fault may delay the propagation of a change.
func (cl *cluster) isDisturbed(since time.Time) bool {
	cl.mutex.Lock()
	storeFault := cl.lastStoreFault
	cl.mutex.Unlock()
	if storeFault.After(since) {
		return true
	}
	for _, p := range cl.vms {
		p.mutex.Lock()
		disrupted := len(p.disruptions) > 0 && p.disruptions[len(p.disruptions)-1].After(since)
		p.mutex.Unlock()
		if disrupted {
			return true
		}
	}
	return false
}

func (cl *cluster) newProcess(i int) *process {
	pid := os.Getpid()
	dir := cl.t.TempDir()
	p := &process{
		name: fmt.Sprint("vm-", i), address: fmt.Sprintf("127.%d.%d.%d", 100+i, pid>>8&255, 1+pid&127),
		settings: filepath.Join(dir, "node.yaml"), log: filepath.Join(dir, "log"),
	}
	p.write(cl.t, cl.storeProxy.address())
	return p
}

// write writes the settings file.
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
	p.disruptions = append(p.disruptions, time.Now())
}

// signal sends a signal to the process and records it as a disruption.
func (p *process) signal(s syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil {
		return
	}
	p.disruptions = append(p.disruptions, time.Now())
	switch s {
	case syscall.SIGSTOP:
		p.paused = true
	case syscall.SIGCONT:
		p.paused = false
	default:
	}
	_ = p.command.Process.Signal(s)
}

// callers returns the address at which the VM accepts callers.
func (p *process) callers() string { return fmt.Sprintf("%s:%d", p.address, psstandin.CallerPort) }

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
