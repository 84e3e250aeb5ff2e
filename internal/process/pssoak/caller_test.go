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
	"persimmonstep/platform/psstandin"
)

// caller sends requests over connections that it keeps, to VMs that the directory names.
type caller struct {
	cluster    *cluster
	runs       *runs
	name       string
	random     *rand.Rand
	client     *http.Client
	targets    []string
	resolvedAt time.Time

	served, refused, failed atomic.Int64
}

func newCaller(w *cluster, r *runs, n int, seed uint64) *caller {
	return &caller{
		cluster: w, runs: r, name: fmt.Sprint("c-", n), random: rand.New(rand.NewPCG(seed, uint64(n))),
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

// pick returns a VM of the directory's latest answer, which is kept for its time.
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

// place is where all callers say that they are.
var place = platform.Place{Host: "eggs.test", Region: "north", FailureDomain: "north-a"}

func (c *caller) resolve(ctx context.Context, directory string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+directory+psstandin.DirectoryQuestion(place), nil)
	if err != nil {
		return false
	}
	answer, err := c.client.Do(r)
	if err != nil {
		return false
	}
	defer answer.Body.Close() //nolint:errcheck // the body was read
	addresses, _, err := psstandin.ReadDirectory(answer.Body)
	if err != nil || len(addresses) == 0 {
		return false
	}
	c.targets, c.resolvedAt = lo.Map(addresses, func(a netip.AddrPort, _ int) string { return a.String() }), time.Now()
	return true
}

// send sends one request and checks what comes back.
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
	psstandin.WriteCall(r.Header, platform.Call{ID: id, Object: path, Left: 1200 * time.Millisecond, Key: key})
	sent := time.Now()
	answer, err := c.client.Do(r)
	if err != nil {
		c.failed.Add(1)
		return
	}
	defer answer.Body.Close() //nolint:errcheck // the body was read
	body, err := io.ReadAll(answer.Body)
	c.checkResponse(answer, string(body), err, id, path, key, sent)
}

func (c *caller) checkResponse(answer *http.Response, body string, err error, id, path, key string, sent time.Time) {
	signed := psstandin.IsSigned(answer.Header)
	switch {
	case answer.StatusCode == http.StatusOK:
		c.served.Add(1)
		if err == nil && (body != "answer to "+id || !signed) {
			c.cluster.reportViolation("%s got %q", id, body)
		}
		c.checkKey(id, key, sent)
	case answer.StatusCode == http.StatusTooManyRequests || answer.StatusCode == http.StatusServiceUnavailable:
		c.refused.Add(1)
		if n := c.runs.of(id); n > 0 && strings.HasPrefix(path, "/orders/") {
			c.cluster.reportViolation("%s was refused as not run and ran %d times", id, n)
		}
		if answer.Header.Get("Retry-After") == "" {
			c.cluster.reportViolation("%s was refused without a time to come back", id)
		}
	case answer.StatusCode == http.StatusUnauthorized && key == "k-1", answer.StatusCode == http.StatusNotFound:
		c.cluster.reportViolation("%s got %d for what every configuration allows", id, answer.StatusCode)
	default:
		c.failed.Add(1)
	}
}

// checkKey notes a request that was served long after its key was taken away.
func (c *caller) checkKey(id, key string, sent time.Time) {
	c.cluster.mutex.Lock()
	revoked := c.cluster.revoked
	c.cluster.mutex.Unlock()
	if key != "k-2" || revoked.IsZero() || sent.Sub(revoked) < 3*time.Second || c.cluster.isDisturbed(revoked) {
		return
	}
	c.cluster.reportViolation("%s was served %s after its key was taken away", id, sent.Sub(revoked))
}
