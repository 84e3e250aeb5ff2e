package pssoak_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"persimmonstep/internal/trial/pspipeline"
	"persimmonstep/platform"
	"persimmonstep/platform/psheader"
	"persimmonstep/platform/psstandin"
)

// caller sends requests over persistent connections to VMs that the directory lists.
type caller struct {
	cluster *cluster
	runs    *runs
	name    string
	random  *rand.Rand
	style   style
	client  *http.Client
	// pipeline sends the requests of a pipelining caller; nil for others.
	pipeline   *pspipeline.Transport
	targets    []string
	resolvedAt time.Time

	served, rejected, failed atomic.Int64
}

const (
	// headerVM names, to the server, the VM that the caller sent its request to.
	headerVM = "X-Soak-Vm"
	// headerPadding is the number of bytes that the server adds to its response.
	headerPadding = "X-Soak-Padding"
	// maxPadding is the largest such number.
	maxPadding = 300_000
	// Slow readers read up to slowReadBytes at a time, with slowReadPause between.
	slowReadBytes = 8 << 10
	slowReadPause = 10 * time.Millisecond
)

// style is how a caller uses its connections.
type style int

const (
	// serial callers send a request when they have the response to the one before.
	serial style = iota
	// pipelining callers send up to four idempotent requests on a connection before the first response.
	pipelining
	// slowlyReading callers read long responses slowly.
	slowlyReading
	styleCount
)

// slowConn is a connection that is read slowly.
type slowConn struct {
	net.Conn
}

// Read implements [net.Conn].
func (c slowConn) Read(b []byte) (int, error) {
	time.Sleep(slowReadPause)
	return c.Conn.Read(b[:min(len(b), slowReadBytes)])
}

func newCaller(cl *cluster, r *runs, n int, seed uint64) *caller {
	c := &caller{cluster: cl, runs: r, name: fmt.Sprint("c-", n), random: rand.New(rand.NewPCG(seed, uint64(n))), style: style(n) % styleCount}
	dialer := &net.Dialer{Timeout: 500 * time.Millisecond}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err == nil && c.style == slowlyReading {
			return slowConn{conn}, nil
		}
		return conn, err
	}
	c.client = &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4, DialContext: dial}}
	if c.style == pipelining {
		c.pipeline = pspipeline.New(dial)
	}
	return c
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	if c.pipeline != nil {
		defer c.pipeline.Close()
	}
	for n := 0; ctx.Err() == nil; n++ {
		if vm := c.pickVM(ctx); vm != "" {
			c.sendSome(ctx, vm, fmt.Sprintf("%s-%d", c.name, n))
		}
		time.Sleep(time.Duration(c.random.IntN(20)) * time.Millisecond)
	}
}

// pickVM returns a random VM from the last directory response, which is cached for 2 s.
func (c *caller) pickVM(ctx context.Context) string {
	if time.Since(c.resolvedAt) > 2*time.Second || len(c.targets) == 0 {
		for _, i := range c.random.Perm(len(c.cluster.vms)) {
			if c.resolve(ctx, c.cluster.vms[i].address+":8209") {
				break
			}
		}
	}
	if len(c.targets) == 0 {
		return ""
	}
	return c.targets[c.random.IntN(len(c.targets))]
}

// place is the location that all callers give the directory.
var place = platform.DirectoryQuery{Host: "eggs.test", Region: "north", FailureDomain: "north-a"}

func (c *caller) resolve(ctx context.Context, directory string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+directory+psstandin.DirectoryPath(place), nil)
	if err != nil {
		return false
	}
	response, err := c.client.Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close() //nolint:errcheck // the body was read
	addresses, _, err := psstandin.ReadDirectory(response.Body)
	if err != nil || len(addresses) == 0 {
		return false
	}
	c.targets, c.resolvedAt = lo.Map(addresses, func(a netip.AddrPort, _ int) string { return a.String() }), time.Now()
	return true
}

// sendSome sends a request, or several at once in a pipeline, and waits for the responses.
func (c *caller) sendSome(ctx context.Context, vm, id string) {
	if c.pipeline == nil || c.random.IntN(2) == 0 {
		if v := c.draw(ctx, vm, id); v != nil {
			c.send(c.client, v)
		}
		return
	}
	client := &http.Client{Timeout: c.client.Timeout, Transport: c.pipeline}
	var sending sync.WaitGroup
	for i := range 1 + c.random.IntN(4) {
		if v := c.drawIdempotent(ctx, vm, fmt.Sprintf("%s-%d", id, i)); v != nil {
			sending.Go(func() { c.send(client, v) })
		}
	}
	sending.Wait()
}

// sentRequest is a request with what its response is checked against.
type sentRequest struct {
	*http.Request
	id, key string
	padding int
}

// draw draws a request of either route.
func (c *caller) draw(ctx context.Context, vm, id string) *sentRequest {
	if c.random.IntN(2) == 0 {
		return c.newRequest(ctx, http.MethodPost, vm, "/orders/1", id, strings.NewReader(strings.Repeat("x", c.random.IntN(3000))))
	}
	if c.style != slowlyReading {
		return c.newRequest(ctx, http.MethodGet, vm, fmt.Sprint("/boards/", c.random.IntN(20)), id, strings.NewReader(strings.Repeat("x", c.random.IntN(3000))))
	}
	v := c.drawIdempotent(ctx, vm, id)
	if v != nil {
		v.padding = c.random.IntN(maxPadding)
		v.Header.Set(headerPadding, strconv.Itoa(v.padding))
	}
	return v
}

// drawIdempotent draws a request without a body that may run more than once.
func (c *caller) drawIdempotent(ctx context.Context, vm, id string) *sentRequest {
	return c.newRequest(ctx, http.MethodGet, vm, fmt.Sprint("/boards/", c.random.IntN(20)), id, nil)
}

func (c *caller) newRequest(ctx context.Context, method, vm, path, id string, body io.Reader) *sentRequest {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+vm+path, body)
	if err != nil {
		return nil
	}
	key := "k-1"
	if c.random.IntN(4) == 0 {
		key = "k-2"
	}
	r.Host = "eggs.test"
	psstandin.WriteRequestHeaders(r.Header, psheader.Request{ID: id, Object: path, Left: 1200 * time.Millisecond, Key: key})
	r.Header.Set(headerVM, vm)
	return &sentRequest{Request: r, id: id, key: key}
}

// send sends a request and checks its response.
func (c *caller) send(client *http.Client, v *sentRequest) {
	sent := time.Now()
	response, err := client.Do(v.Request)
	if err != nil {
		c.failed.Add(1)
		return
	}
	defer response.Body.Close() //nolint:errcheck // the body was read
	body, err := io.ReadAll(response.Body)
	c.checkResponse(response, string(body), err, v, sent)
}

func (c *caller) checkResponse(response *http.Response, body string, err error, v *sentRequest, sent time.Time) {
	id, path, key := v.id, v.URL.Path, v.key
	signed := psstandin.IsSigned(response.Header)
	switch {
	case response.StatusCode == http.StatusOK:
		c.served.Add(1)
		if err == nil && (body != answerTo(id, v.padding) || !signed) {
			c.cluster.reportViolation("request %s got a mismatched or unsigned response: %d bytes, %.60q", id, len(body), body)
		}
		c.checkKey(id, key, sent)
	case response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable:
		c.rejected.Add(1)
		if n := c.runs.of(id); n > 0 && strings.HasPrefix(path, "/orders/") {
			c.cluster.reportViolation("request %s was rejected as not run, but ran %d times", id, n)
		}
		if response.Header.Get("Retry-After") == "" {
			c.cluster.reportViolation("request %s was rejected without Retry-After", id)
		}
	case response.StatusCode == http.StatusUnauthorized && key == "k-1", response.StatusCode == http.StatusNotFound:
		c.cluster.reportViolation("request %s got status %d, but every configuration allows it", id, response.StatusCode)
	default:
		c.failed.Add(1)
	}
}

// checkKey reports a served request that was sent 3 s or more after the revocation of its key. A disruption since the
// revocation excuses it.
func (c *caller) checkKey(id, key string, sent time.Time) {
	c.cluster.mutex.Lock()
	revoked := c.cluster.revoked
	c.cluster.mutex.Unlock()
	if key != "k-2" || revoked.IsZero() || sent.Sub(revoked) < 3*time.Second || c.cluster.isDisturbed(revoked) {
		return
	}
	c.cluster.reportViolation("request %s was served %s after its key was revoked", id, sent.Sub(revoked))
}
