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
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/platform"
	"persimmonstep/platform/psstandin"
)

const (
	// maxTries bounds the VMs or servers that a caller sends one request to.
	maxAttempts = 3
	// directoryTimeout bounds one question to the directory.
	directoryTimeout = time.Second
	dialTimeout      = 500 * time.Millisecond
	// answerSlack is how much longer than its deadline a caller waits for an answer.
	responseSlack = time.Second
	maxIdlePerVM  = 256
)

// Target is a VM or a backend server.
type Target struct {
	Name    string
	Address netip.AddrPort
	// Directory is where a VM answers which VMs to use.
	Directory netip.AddrPort
}

// Choice is how callers find where to send a request: [AskDirectory] or [GoDirect].
type TargetSource interface {
	targetSource()
}

// AskDirectory asks the directory and keeps its answers for their time.
type DirectoryTargets struct{}

// GoDirect takes any backend server of the route's service, without a VM in between.
type DirectTargets struct {
	// Servers are the backend servers by route.
	Servers map[string][]Target
}

func (DirectoryTargets) targetSource() {}
func (DirectTargets) targetSource()    {}

// Place is where a caller stands.
type Place struct {
	Region        string
	FailureDomain string
}

// Caller sends the requests of one failure domain.
type Caller struct {
	place        Place
	targets      []Target
	targetSource TargetSource
	keys         map[string]string
	client       *http.Client

	mutex  sync.Mutex
	cached cachedTargets
}

// directions are a kept directory answer.
type cachedTargets struct {
	targets []Target
	expiry  time.Time
}

// NewCaller returns the caller of a failure domain with its clean-up function. It sends
// from the source address with the workspaces' keys.
func NewCaller(source netip.Addr, p Place, targets []Target, choice TargetSource, keys map[string]string) (*Caller, func()) {
	d := &net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: source.AsSlice()}}
	t := &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: maxIdlePerVM, DisableCompression: true}
	return &Caller{place: p, targets: targets, targetSource: choice, keys: keys, client: &http.Client{Transport: t}}, t.CloseIdleConnections
}

// Send sends one request, and again where it surely did not run, and records what came
// back. Times are since the start.
func (c *Caller) Send(ctx context.Context, a Arrival, start time.Time) Observation {
	o := Observation{Arrival: a, Sent: time.Since(start)}
	for _, t := range c.orderTargets(ctx, a.Stream) {
		o.IDs = append(o.IDs, fmt.Sprintf("run-%d-%d", a.Sequence, len(o.IDs)))
		connected, err := c.attempt(ctx, t, &o)
		if err == nil {
			break
		}
		if connected {
			o.AbortedBy = append(o.AbortedBy, t.Name)
		}
		c.invalidateCache()
		if len(o.IDs) == maxAttempts || connected && !a.Stream.Kind.Repeatable() {
			break
		}
	}
	o.Done = time.Since(start)
	return o
}

// choose lists the targets to try in order.
func (c *Caller) orderTargets(ctx context.Context, s *Stream) []Target {
	switch v := c.targetSource.(type) {
	case DirectTargets:
		return shuffled(v.Servers[s.Route])
	case DirectoryTargets:
		return append(c.lookUp(ctx, s), shuffled(c.targets)...)
	}
	panic("psload: unknown choice")
}

func shuffled(list []Target) []Target {
	out := make([]Target, len(list))
	for i, n := range rand.Perm(len(list)) {
		out[i] = list[n]
	}
	return out
}

// ask returns the kept directory answer in a new order, or gets one from a VM.
func (c *Caller) lookUp(ctx context.Context, s *Stream) []Target {
	c.mutex.Lock()
	d := c.cached
	c.mutex.Unlock()
	if time.Now().Before(d.expiry) {
		return shuffled(d.targets)
	}
	for _, t := range shuffled(c.targets)[:min(maxAttempts, len(c.targets))] {
		d, err := c.queryDirectory(ctx, t, s)
		if err != nil {
			continue
		}
		c.mutex.Lock()
		c.cached = d
		c.mutex.Unlock()
		return shuffled(d.targets)
	}
	return nil
}

func (c *Caller) invalidateCache() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cached = cachedTargets{}
}

func (c *Caller) queryDirectory(ctx context.Context, t Target, s *Stream) (cachedTargets, error) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	p := platform.Place{Host: s.Host, Region: c.place.Region, FailureDomain: c.place.FailureDomain}
	url := "http://" + t.Directory.String() + psstandin.DirectoryQuestion(p)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return cachedTargets{}, errors.Wrap(err, "make a question to the directory")
	}
	answer, err := c.client.Do(r)
	if err != nil {
		return cachedTargets{}, errors.Wrap(err, "ask the directory")
	}
	defer answer.Body.Close() //nolint:errcheck // the body was read
	addresses, ttl, err := psstandin.ReadDirectory(answer.Body)
	d := cachedTargets{expiry: time.Now().Add(ttl)}
	for _, a := range addresses {
		d.targets = append(d.targets, Target{Name: c.nameOf(a), Address: a})
	}
	return d, err
}

// nameOf returns the name of the VM at an address.
func (c *Caller) nameOf(a netip.AddrPort) string {
	for _, t := range c.targets {
		if t.Address == a {
			return t.Name
		}
	}
	return a.String()
}

// try sends the request to one target. It reports whether a connection was there; its error
// says that no whole answer came.
func (c *Caller) attempt(ctx context.Context, t Target, o *Observation) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, o.Stream.Deadline+responseSlack)
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
	c.recordResponse(o, answer, body)
	return true, nil
}

func (c *Caller) request(ctx context.Context, t Target, o *Observation) (*http.Request, error) {
	s := o.Stream
	method := http.MethodGet
	if s.Kind != psconfig.Idempotent {
		method = http.MethodPost
	}
	url := "http://" + t.Address.String() + requestPath(o)
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(make([]byte, s.BodyBytes)))
	if err != nil {
		return nil, errors.Wrap(err, "make a request")
	}
	// A body that cannot be rewound keeps the client from repeating the request by itself.
	r.GetBody = nil
	r.Host = s.Host
	id, object := o.IDs[len(o.IDs)-1], fmt.Sprint(o.Object)
	if _, found := c.targetSource.(DirectTargets); found {
		psstandin.Direct(r.Header, psstandin.Arrival{ID: id, Server: t.Name, Workspace: s.Workspace, Object: object})
	} else {
		psstandin.WriteCall(r.Header, platform.Call{ID: id, Object: object, Left: s.Deadline, Key: c.keys[s.Workspace]})
	}
	if s.Marker != "" {
		r.Header.Set(psbackend.HeaderMarker, s.Marker)
	}
	return r, nil
}

// path is different for each request, so that a crossed answer shows. Marked requests are
// the same one again and again.
func requestPath(o *Observation) string {
	if o.Stream.Marker != "" {
		return o.Stream.Prefix + o.Stream.Marker
	}
	return fmt.Sprintf("%s%d", o.Stream.Prefix, o.Sequence)
}

// judge records an answer.
func (c *Caller) recordResponse(o *Observation, answer *http.Response, body []byte) {
	o.Status = answer.StatusCode
	if !o.Served() {
		o.NotRun = o.Status == http.StatusTooManyRequests || o.Status == http.StatusServiceUnavailable
		return
	}
	var e psbackend.Echo
	if json.Unmarshal(body, &e) != nil {
		o.Mismatched = true
		return
	}
	o.Server = e.Server
	o.Mismatched = e.Path != requestPath(o) || e.Workspace != o.Stream.Workspace || e.BodyBytes != int64(o.Stream.BodyBytes)
	o.KeyExposed = c.containsKey(body)
}

// holdsKey reports whether the echo of what a backend server received holds any key.
func (c *Caller) containsKey(body []byte) bool {
	for _, k := range c.keys {
		if bytes.Contains(body, []byte(k)) {
			return true
		}
	}
	return false
}
