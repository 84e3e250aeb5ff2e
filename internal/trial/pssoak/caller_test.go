package pssoak_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"persimmonstep/platform"
	"persimmonstep/platform/psheader"
	"persimmonstep/platform/psstandin"
)

// caller sends requests over persistent connections to VMs that the directory lists.
type caller struct {
	cluster    *cluster
	runs       *runs
	name       string
	random     *rand.Rand
	client     *http.Client
	targets    []string
	resolvedAt time.Time

	served, rejected, failed atomic.Int64
}

// headerVM names, to the server, the VM that the caller sent its request to.
const headerVM = "X-Soak-Vm"

func newCaller(cl *cluster, r *runs, n int, seed uint64) *caller {
	return &caller{
		cluster: cl, runs: r, name: fmt.Sprint("c-", n), random: rand.New(rand.NewPCG(seed, uint64(n))),
		client: &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{
			DisableCompression: true, MaxIdleConnsPerHost: 4,
			DialContext: (&net.Dialer{Timeout: 500 * time.Millisecond}).DialContext,
		}},
	}
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		if vm := c.pickVM(ctx); vm != "" {
			c.send(ctx, vm, fmt.Sprintf("%s-%d", c.name, n))
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

// send sends one request and checks its response.
func (c *caller) send(ctx context.Context, vm, id string) {
	method, path := http.MethodGet, fmt.Sprint("/boards/", c.random.IntN(20))
	if c.random.IntN(2) == 0 {
		method, path = http.MethodPost, "/orders/1"
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+vm+path, strings.NewReader(strings.Repeat("x", c.random.IntN(3000))))
	if err != nil {
		return
	}
	key := "k-1"
	if c.random.IntN(4) == 0 {
		key = "k-2"
	}
	r.Host = "eggs.test"
	psstandin.WriteRequestHeaders(r.Header, psheader.Request{ID: id, Object: path, Left: 1200 * time.Millisecond, Key: key})
	r.Header.Set(headerVM, vm)
	sent := time.Now()
	response, err := c.client.Do(r)
	if err != nil {
		c.failed.Add(1)
		return
	}
	defer response.Body.Close() //nolint:errcheck // the body was read
	body, err := io.ReadAll(response.Body)
	c.checkResponse(response, string(body), err, id, path, key, sent)
}

func (c *caller) checkResponse(response *http.Response, body string, err error, id, path, key string, sent time.Time) {
	signed := psstandin.IsSigned(response.Header)
	switch {
	case response.StatusCode == http.StatusOK:
		c.served.Add(1)
		if err == nil && (body != "answer to "+id || !signed) {
			c.cluster.reportViolation("request %s got a mismatched or unsigned response: %q", id, body)
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
