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

	"persimmonstep/internal/process/pswait"
	"persimmonstep/internal/trial/psbackend"
	"persimmonstep/internal/trial/psbehaviour"
	"persimmonstep/internal/trial/pspipeline"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/platform"
	"persimmonstep/platform/psheader"
	"persimmonstep/platform/psstandin"
)

const (
	// maxAttempts is the maximum number of VMs or backend servers that a caller sends one request to.
	maxAttempts = 3
	// directoryTimeout is the timeout of one directory query.
	directoryTimeout = time.Second
	dialTimeout      = 500 * time.Millisecond
	// responseSlack is how long a caller waits for a response after the deadline of its request.
	responseSlack = time.Second
	maxIdlePerVM  = 256
)

// Target is a VM or a backend server.
type Target struct {
	Name    string
	Address netip.AddrPort
	// Directory is the address of a VM's directory, which lists the VMs to send requests to.
	Directory netip.AddrPort
}

// TargetSource is where callers get the targets of a request from: [DirectoryTargets] or [DirectTargets].
type TargetSource interface {
	targetSource()
}

// DirectoryTargets queries the directory and caches its responses for their time to live.
type DirectoryTargets struct{}

// DirectTargets selects any backend server of the route's service, without a VM in between.
type DirectTargets struct {
	// Servers are the backend servers, by route.
	Servers map[string][]Target
}

func (DirectoryTargets) targetSource() {}
func (DirectTargets) targetSource()    {}

// Place is the location of a caller.
type Place struct {
	Region        string
	FailureDomain string
}

// Caller sends the requests of all callers in one failure domain.
type Caller struct {
	place        Place
	targets      []Target
	targetSource TargetSource
	keys         map[string]string
	client       *http.Client
	// pipelining sends the requests of callers that pipeline.
	pipelining *http.Client
	// latency is the network latency to VMs, one way.
	latency time.Duration

	mutex  sync.Mutex
	cached cachedTargets
}

// cachedTargets is a cached directory response.
type cachedTargets struct {
	targets []Target
	expiry  time.Time
}

// NewCaller returns the caller of a failure domain with its clean-up function. It sends
// from the source address and authenticates with the workspaces' keys. The latency is that of the network to VMs, one way.
func NewCaller(source netip.Addr, p Place, targets []Target, from TargetSource, keys map[string]string, latency time.Duration) (*Caller, func()) {
	d := &net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: source.AsSlice()}}
	t := &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: maxIdlePerVM, DisableCompression: true}
	pipelining := pspipeline.New(d.DialContext)
	c := &Caller{
		place: p, targets: targets, targetSource: from, keys: keys, latency: latency,
		client: &http.Client{Transport: t}, pipelining: &http.Client{Transport: pipelining},
	}
	return c, func() {
		t.CloseIdleConnections()
		pipelining.Close()
	}
}

// Send sends one request and records its outcome. It retries on another target if the request cannot
// have run or may run twice. Times are relative to the start.
func (c *Caller) Send(ctx context.Context, a Arrival, start time.Time) Observation {
	o := Observation{Arrival: a, Sent: time.Since(start)}
	for _, t := range c.orderTargets(ctx, a.Stream) {
		o.IDs = append(o.IDs, fmt.Sprintf("run-%d-%d", a.Sequence, len(o.IDs)))
		o.LastSent = time.Since(start)
		connected, err := c.attempt(ctx, t, &o)
		if len(o.IDs) == 1 {
			o.First, o.FirstServed = t.Name, err == nil && o.Served()
		}
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

// orderTargets returns the targets in the order in which they are attempted.
func (c *Caller) orderTargets(ctx context.Context, s *Stream) []Target {
	switch v := c.targetSource.(type) {
	case DirectTargets:
		return shuffled(v.Servers[s.Route])
	case DirectoryTargets:
		return append(c.lookUp(ctx, s), shuffled(c.targets)...)
	}
	panic("psload: unknown target source")
}

func shuffled(list []Target) []Target {
	out := make([]Target, len(list))
	for i, n := range rand.Perm(len(list)) {
		out[i] = list[n]
	}
	return out
}

// lookUp returns the targets of the cached directory response in random order. After its expiry it queries
// the directories of up to maxAttempts VMs.
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
	p := platform.DirectoryQuery{Host: s.Host, Region: c.place.Region, FailureDomain: c.place.FailureDomain}
	url := "http://" + t.Directory.String() + psstandin.DirectoryPath(p)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return cachedTargets{}, errors.Wrap(err, "create directory query")
	}
	response, err := c.client.Do(r)
	if err != nil {
		return cachedTargets{}, errors.Wrap(err, "query directory")
	}
	defer response.Body.Close() //nolint:errcheck // the body was read
	addresses, ttl, err := psstandin.ReadDirectory(response.Body)
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

// attempt sends the request to one target. It reports whether a connection was established, and
// returns an error if no complete response arrived.
func (c *Caller) attempt(ctx context.Context, t Target, o *Observation) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, o.Stream.Deadline+responseSlack)
	defer cancel()
	r, err := c.request(ctx, t, o)
	if err != nil {
		return false, err
	}
	pswait.Sleep(ctx, c.latency)
	client := c.client
	if o.Pipelined {
		client = c.pipelining
	}
	response, err := client.Do(r)
	if err != nil {
		var e *net.OpError
		return !errors.As(err, &e) || e.Op != "dial", errors.Wrap(err, "send request")
	}
	defer response.Body.Close() //nolint:errcheck // the body was read
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return true, errors.Wrap(err, "read response")
	}
	pswait.Sleep(ctx, c.latency)
	c.recordResponse(o, response, body)
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
		return nil, errors.Wrap(err, "create request")
	}
	// Without GetBody the client can't rewind the body, so it doesn't retry the request on its own.
	r.GetBody = nil
	r.Host = s.Host
	id, object := o.IDs[len(o.IDs)-1], fmt.Sprint(o.Object)
	if _, found := c.targetSource.(DirectTargets); found {
		psstandin.WriteForwardHeaders(r.Header, psstandin.ForwardHeaders{ID: id, Server: t.Name, Workspace: s.Workspace, Object: object})
	} else {
		psstandin.WriteRequestHeaders(r.Header, psheader.Request{ID: id, Object: object, Left: s.Deadline, Key: c.keys[s.Workspace]})
	}
	if s.Marker != "" {
		r.Header.Set(psbehaviour.HeaderMarker, s.Marker)
	}
	return r, nil
}

// requestPath returns a different path for each request, so that a response to another request is
// detected. All requests with a marker have the same path.
func requestPath(o *Observation) string {
	if o.Stream.Marker != "" {
		return o.Stream.Prefix + o.Stream.Marker
	}
	return fmt.Sprintf("%s%d", o.Stream.Prefix, o.Sequence)
}

// recordResponse stores a response in the observation.
func (c *Caller) recordResponse(o *Observation, response *http.Response, body []byte) {
	o.Status = response.StatusCode
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

// containsKey reports whether the backend server's echo of the request contains any workspace's key.
func (c *Caller) containsKey(body []byte) bool {
	for _, k := range c.keys {
		if bytes.Contains(body, []byte(k)) {
			return true
		}
	}
	return false
}
