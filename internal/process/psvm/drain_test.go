package psvm_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"persimmonstep/internal/process/psbackend"
	"persimmonstep/internal/process/psdev"
	"persimmonstep/internal/process/psdirectory"
	"persimmonstep/internal/process/psplatform"
)

// directoryTTL is how long the callers of these tests keep an answer of the directory.
const directoryTTL = 400 * time.Millisecond

// caller is a client that follows the directory.
type caller struct {
	fleet  *fleet
	client *http.Client
	answer psdirectory.Answer
	asked  time.Time
}

// newCaller returns a caller that speaks HTTP/1.1 or HTTP/2.
func newCaller(t *testing.T, f *fleet, h2 bool) *caller {
	transport := &http.Transport{Protocols: &http.Protocols{}}
	transport.Protocols.SetHTTP1(!h2)
	transport.Protocols.SetUnencryptedHTTP2(h2)
	t.Cleanup(transport.CloseIdleConnections)
	return &caller{fleet: f, client: &http.Client{Transport: transport}}
}

// vms returns the addresses to use, asking the directory where the last answer is too old.
func (c *caller) vms(ctx context.Context) []netip.AddrPort {
	if time.Since(c.asked) > directoryTTL {
		for _, a := range c.fleet.Ready.Callers {
			if c.ask(ctx, a) == nil {
				break
			}
		}
	}
	out := make([]netip.AddrPort, 0, len(c.answer.VMs))
	for _, v := range c.answer.VMs {
		out = append(out, v.Address)
	}
	return out
}

func (c *caller) ask(ctx context.Context, a netip.AddrPort) error {
	asked := time.Now()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+"/.well-known/persimmonstep/vms?workspace=mandeville", nil)
	if err != nil {
		return err
	}
	answer, err := c.client.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close() //nolint:errcheck // the body was read
	c.answer, c.asked = psdirectory.Answer{}, asked
	return json.NewDecoder(answer.Body).Decode(&c.answer)
}

// call sends one request to the first VM that takes a connection.
func (c *caller) call(ctx context.Context, method, path string, body io.Reader) error {
	data, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	var last error
	for _, a := range c.vms(ctx) {
		r, err := http.NewRequestWithContext(ctx, method, "http://"+a.String()+path, bytes.NewReader(data))
		if err != nil {
			return err
		}
		r.GetBody = nil
		r.Header.Set("Authorization", "Bearer "+c.fleet.Ready.Workspaces[0].Key)
		answer, err := c.client.Do(r)
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			last = err
			continue
		}
		if err != nil {
			return err
		}
		defer answer.Body.Close() //nolint:errcheck // the body was read
		text, err := io.ReadAll(answer.Body)
		if err == nil && answer.StatusCode != http.StatusOK {
			err = errors.Errorf("%s: %s", answer.Status, text)
		}
		return err
	}
	return errors.Wrap(last, "no VM took the connection")
}

// load is a number of callers that send lookups and orders until they are stopped.
type load struct {
	running sync.WaitGroup
	cancel  context.CancelFunc
	sent    atomic.Int64
	mutex   sync.Mutex
	lost    []string
}

func startLoad(t *testing.T, f *fleet, callers int) *load {
	ctx, cancel := context.WithCancel(t.Context())
	l := &load{cancel: cancel}
	for n := range callers {
		c := newCaller(t, f, n%2 == 1)
		l.running.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				method, path, body := http.MethodGet, fmt.Sprintf("/prices/%d", i), ""
				if i%4 == 0 {
					method, path, body = http.MethodPost, "/orders/x", "tray"
				}
				err := c.call(context.WithoutCancel(ctx), method, path, strings.NewReader(body))
				l.sent.Add(1)
				if err != nil {
					l.mutex.Lock()
					l.lost = append(l.lost, fmt.Sprintf("%s: %v", path, err))
					l.mutex.Unlock()
				}
				time.Sleep(4 * time.Millisecond)
			}
		})
	}
	return l
}

// stop ends the load and returns what was lost.
func (l *load) stop() []string {
	l.cancel()
	l.running.Wait()
	return l.lost
}

// trickle is a body that takes its time.
type trickle struct {
	left  int
	pause time.Duration
}

// Read returns one byte after a pause.
func (t *trickle) Read(p []byte) (int, error) {
	if t.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(t.pause)
	t.left--
	p[0] = 'x'
	return 1, nil
}

// upload sends a slow upload to a VM and returns the name of the server that took it.
func (f *fleet) upload(ctx context.Context, vm int, body io.Reader) (psbackend.Echo, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.Ready.Callers[vm].String()+"/photos/long", body)
	if err != nil {
		return psbackend.Echo{}, err
	}
	r.Header.Set("Authorization", "Bearer "+f.Ready.Workspaces[0].Key)
	a, err := f.client.Do(r)
	if err != nil {
		return psbackend.Echo{}, err
	}
	defer a.Body.Close() //nolint:errcheck // the body was read
	var e psbackend.Echo
	err = json.NewDecoder(a.Body).Decode(&e)
	if err == nil && a.StatusCode != http.StatusOK {
		err = errors.New(a.Status)
	}
	return e, err
}

func startDrainFleet(t *testing.T) *fleet {
	t.Helper()
	topology := psdev.Example()
	topology.LeaveWait = directoryTTL + 600*time.Millisecond
	// These tests are about stops: rates are out of the load's reach.
	for i := range topology.Workspaces {
		topology.Workspaces[i].Rate, topology.Workspaces[i].Burst = 20000, 20000
	}
	return startTopology(t, topology)
}

// TestPlannedStopOfAVMLosesNothing stops a VM under load, with an upload under way.
func TestPlannedStopOfAVMLosesNothing(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startDrainFleet(t)
	l := startLoad(t, f, 6)
	const pieces = 100
	done := make(chan error, 1)
	go func() {
		e, err := f.upload(context.Background(), 0, &trickle{left: pieces, pause: 20 * time.Millisecond})
		if err == nil && e.BodyBytes != pieces {
			err = errors.Errorf("%d bytes arrived", e.BodyBytes)
		}
		done <- err
	}()
	time.Sleep(200 * time.Millisecond)
	began := time.Now()
	f.Stop(0)
	took := time.Since(began)
	c.Assert(<-done, qt.IsNil, qt.Commentf("the upload"))
	time.Sleep(300 * time.Millisecond)
	lost := l.stop()
	t.Logf("stop took %v; %d requests, lost %d", took.Round(time.Millisecond), l.sent.Load(), len(lost))
	c.Assert(lost, qt.HasLen, 0)
}

// TestLeavingServerGetsNoNewWork names a server as leaving in each way: it gets no new work
// on any VM after two seconds, an upload on it finishes, and nothing is lost when it stops.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	const bound = 2 * time.Second
	tests := []struct {
		name string
		say  func(f *fleet, s *psbackend.Server) error
	}{
		{"configuration", func(f *fleet, s *psbackend.Server) error {
			return f.Apply(context.Background(), "drain", map[string]string{"drains.toml": fmt.Sprintf("document = \"drains\"\n[[drains]]\nserver = %q\n", s.Name)})
		}},
		{"platform list", func(f *fleet, s *psbackend.Server) error {
			f.Platform.Store.SetMachine(string(s.Name), psplatform.MachineLeaving)
			return nil
		}},
		{"own signal", func(_ *fleet, s *psbackend.Server) error {
			s.Set(psbackend.Behaviour{ServiceTime: 5 * time.Millisecond, Draining: true})
			return nil
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := startDrainFleet(t)
			for _, s := range f.Servers {
				s.Set(psbackend.Behaviour{ServiceTime: 5 * time.Millisecond})
			}
			l := startLoad(t, f, 6)
			time.Sleep(300 * time.Millisecond)
			busy := f.pool("prices", "")
			leaving := busy[0]
			for _, s := range busy {
				if s.Stats().Runs > leaving.Stats().Runs {
					leaving = s
				}
			}
			said := time.Now()
			c.Assert(tt.say(f, leaving), qt.IsNil)
			time.Sleep(bound)
			after := leaving.Stats()
			time.Sleep(500 * time.Millisecond)
			c.Assert(leaving.Stats().Runs, qt.Equals, after.Runs, qt.Commentf("new work after %v", bound))
			c.Assert(after.Running, qt.Equals, 0)
			leaving.Crash(-1)
			time.Sleep(300 * time.Millisecond)
			lost := l.stop()
			t.Logf("%s: last new work after %v; %d requests, lost %d", tt.name, after.LastRun.Sub(said).Round(time.Millisecond), l.sent.Load(), len(lost))
			c.Assert(lost, qt.HasLen, 0)
		})
	}
}

// TestUploadOutlivesItsServersDrain has an upload end on the server that began to leave.
func TestUploadOutlivesItsServersDrain(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	f := startDrainFleet(t)
	const pieces = 60
	type end struct {
		echo psbackend.Echo
		err  error
	}
	done := make(chan end, 1)
	go func() {
		e, err := f.upload(context.Background(), 0, &trickle{left: pieces, pause: 20 * time.Millisecond})
		done <- end{e, err}
	}()
	taker := func() *psbackend.Server {
		for _, s := range f.pool("photos", "") {
			if s.Stats().Running > 0 {
				return s
			}
		}
		return nil
	}
	for taker() == nil && len(done) == 0 {
		time.Sleep(time.Millisecond)
	}
	c.Assert(taker(), qt.IsNotNil, qt.Commentf("the upload ended before a server took it"))
	s := taker()
	s.Set(psbackend.Behaviour{Draining: true})
	e := <-done
	c.Assert(e.err, qt.IsNil)
	c.Assert(e.echo.Server, qt.Equals, s.Name)
	c.Assert(e.echo.BodyBytes, qt.Equals, int64(pieces))
}
