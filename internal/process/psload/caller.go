package psload

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/process/psbackend"
	"persimmonstep/internal/process/psdirectory"
	"persimmonstep/internal/request/psgate"
	"persimmonstep/internal/version/psdoc"
)

const (
	// directoryKeep is how long a caller keeps a directory answer.
	directoryKeep = 2 * time.Second
	// maxTries bounds the VMs that a caller sends one request to.
	maxTries = 3
	// requestTimeout bounds one try.
	requestTimeout = 8 * time.Second
	// directoryTimeout bounds one question to the directory.
	directoryTimeout = time.Second
	dialTimeout      = 500 * time.Millisecond
	idlePerVM        = 256
)

// Target is an entry VM.
type Target struct {
	Name    psdoc.Name
	Address netip.AddrPort
}

// Choice is how callers find their VM: [AskDirectory] or [TakeRandom].
type Choice interface {
	choice()
}

// AskDirectory asks the directory and keeps its answers.
type AskDirectory struct{}

// TakeRandom takes any VM.
type TakeRandom struct{}

func (AskDirectory) choice() {}
func (TakeRandom) choice()   {}

// Caller sends the requests of one failure domain.
type Caller struct {
	targets []Target
	choice  Choice
	keys    map[psdoc.Name]string
	client  *http.Client

	mutex sync.Mutex
	known map[psdoc.Name]directions
}

// directions are a kept directory answer.
type directions struct {
	targets []Target
	until   time.Time
}

// NewCaller returns the caller of a failure domain with its clean-up function. It sends
// from the source address with the workspaces' keys.
func NewCaller(source netip.Addr, targets []Target, choice Choice, keys map[psdoc.Name]string) (*Caller, func()) {
	d := &net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: source.AsSlice()}}
	t := &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: idlePerVM, DisableCompression: true}
	c := &Caller{targets: targets, choice: choice, keys: keys, client: &http.Client{Transport: t}, known: make(map[psdoc.Name]directions)}
	return c, t.CloseIdleConnections
}

// Send sends one request and its repeats, and records what came back. Times are since the
// start.
func (c *Caller) Send(ctx context.Context, a Arrival, start time.Time) Observation {
	o := Observation{Arrival: a, Key: fmt.Sprintf("run-%d", a.Sequence), Sent: time.Since(start)}
	for _, t := range c.choose(ctx, a.Stream.Workspace) {
		o.Tries++
		connected, err := c.try(ctx, t, &o)
		if err == nil {
			break
		}
		if connected {
			o.Cuts = append(o.Cuts, t.Name)
		}
		c.forget(a.Stream.Workspace)
		if o.Tries == maxTries {
			break
		}
	}
	o.Done = time.Since(start)
	return o
}

// choose lists the VMs to try in order.
func (c *Caller) choose(ctx context.Context, workspace psdoc.Name) []Target {
	all := make([]Target, len(c.targets))
	for i, n := range rand.Perm(len(c.targets)) {
		all[i] = c.targets[n]
	}
	switch c.choice.(type) {
	case TakeRandom:
		return all
	case AskDirectory:
		if d, found := c.ask(ctx, workspace, all); found {
			return append(d, all...)
		}
		return all
	}
	panic("psload: unknown choice")
}

// ask returns the kept directory answer or gets one from the first VM that gives it.
func (c *Caller) ask(ctx context.Context, workspace psdoc.Name, all []Target) ([]Target, bool) {
	c.mutex.Lock()
	d, found := c.known[workspace]
	c.mutex.Unlock()
	if found && time.Now().Before(d.until) {
		return d.targets[:len(d.targets):len(d.targets)], true
	}
	for _, t := range all[:min(maxTries, len(all))] {
		v, err := c.question(ctx, t, workspace)
		if err != nil {
			continue
		}
		c.mutex.Lock()
		c.known[workspace] = directions{targets: v, until: time.Now().Add(directoryKeep)}
		c.mutex.Unlock()
		return v[:len(v):len(v)], true
	}
	return nil, false
}

func (c *Caller) forget(workspace psdoc.Name) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.known, workspace)
}

func (c *Caller) question(ctx context.Context, t Target, workspace psdoc.Name) ([]Target, error) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s%s?workspace=%s", t.Address, psgate.DirectoryPath, workspace)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "make a question to the directory")
	}
	answer, err := c.client.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "ask the directory")
	}
	defer answer.Body.Close() //nolint:errcheck // the body was read
	var a psdirectory.Answer
	if err := json.NewDecoder(answer.Body).Decode(&a); err != nil {
		return nil, errors.Wrap(err, "decode a directory answer")
	}
	var out []Target
	for _, v := range a.VMs {
		out = append(out, Target{Name: v.Name, Address: v.Address})
	}
	return out, nil
}

// try sends the request to one VM. It reports whether a connection was there; its error
// says that no whole answer came.
func (c *Caller) try(ctx context.Context, t Target, o *Observation) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	r, err := c.request(ctx, t, o)
	if err != nil {
		return false, err
	}
	answer, err := c.client.Do(r)
	if err != nil {
		var e *net.OpError
		return !errors.As(err, &e) || e.Op != "dial", errors.Wrap(err, "send")
	}
	defer answer.Body.Close() //nolint:errcheck // the body was read
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return true, errors.Wrap(err, "read the answer")
	}
	c.judge(o, answer, body)
	return true, nil
}

func (c *Caller) request(ctx context.Context, t Target, o *Observation) (*http.Request, error) {
	s := o.Stream
	method := http.MethodGet
	if s.Kind != psdoc.KindLookup {
		method = http.MethodPost
	}
	url := "http://" + t.Address.String() + path(o)
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(make([]byte, s.BodyBytes)))
	if err != nil {
		return nil, errors.Wrap(err, "make a request")
	}
	// A body that cannot be rewound keeps the client from repeating the request by itself.
	r.GetBody = nil
	r.Header.Set("Authorization", "Bearer "+c.keys[s.Workspace])
	r.Header.Set("Idempotency-Key", o.Key)
	if s.Marker != "" {
		r.Header.Set(psbackend.HeaderMarker, s.Marker)
	}
	return r, nil
}

// path is different for each request, so that a crossed answer shows.
func path(o *Observation) string {
	return fmt.Sprintf("%s%d", o.Stream.Prefix, o.Sequence)
}

// judge records an answer.
func (c *Caller) judge(o *Observation, answer *http.Response, body []byte) {
	o.Status, o.Ran = answer.StatusCode, answer.Header.Get("Persimmonstep-Ran")
	if !o.Served() {
		var p struct {
			Code string `json:"code"`
		}
		_ = json.Unmarshal(body, &p)
		o.Code = p.Code
		return
	}
	var e psbackend.Echo
	if json.Unmarshal(body, &e) != nil {
		o.Foreign = true
		return
	}
	o.Server = e.Server
	o.Foreign = e.Path != path(o) || e.Workspace != string(o.Stream.Workspace) || e.BodyBytes != int64(o.Stream.BodyBytes)
	o.KeySeen = c.holdsKey(body)
}

// holdsKey reports whether the echo of what a backend server received holds any key.
func (c *Caller) holdsKey(body []byte) bool {
	for _, k := range c.keys {
		_, secret, _ := bytes.Cut([]byte(k), []byte("."))
		if bytes.Contains(body, secret) {
			return true
		}
	}
	return false
}
