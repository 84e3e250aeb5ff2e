package pssteer_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/connection/psforward"
	"persimmonstep/internal/process/pssteer"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/platform/psheader"
	"persimmonstep/platform/psstandin"
)

// links are a VM's links to the backend servers.
type links struct {
	mutex sync.Mutex
	cut   bool
	open  []net.Conn
}

// set cuts the links, which resets all connections, or restores them.
func (l *links) set(cut bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cut = cut
	for _, c := range l.open {
		_ = c.Close()
	}
	l.open = nil
}

func (l *links) network() pssteer.Network {
	return pssteer.Network{DialServer: func(ctx context.Context, network, address string) (net.Conn, error) {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		if l.cut {
			return nil, syscall.ECONNREFUSED
		}
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err == nil {
			l.open = append(l.open, c)
		}
		return c, err
	}}
}

// startPair starts two VMs with links to the servers of a store.
func startPair(t *testing.T, s *psstandin.Store) (a, b *vm, linksOfA, linksOfB *links) {
	t.Helper()
	linksOfA, linksOfB = &links{}, &links{}
	a = startVMIn(t, "vm-1", ownAddress(), s.Address(), linksOfA.network())
	b = startVMIn(t, "vm-2", ownAddress(), s.Address(), linksOfB.network())
	eventually(t, "both VMs are in the directory", func() bool { return len(directoryAddresses(a)) == 2 && len(directoryAddresses(b)) == 2 })
	return a, b, linksOfA, linksOfB
}

// cutOff cuts a VM off from the servers and waits until it knows.
func cutOff(t *testing.T, v *vm, l *links) {
	t.Helper()
	l.set(true)
	eventually(t, "lost links", func() bool {
		call(v.callers, "/orders/lost")
		return strings.Contains(v.log.String(), `"event":7213`)
	})
}

// withSecondServer returns a store with two servers at one address.
func withSecondServer(t *testing.T, server string) *psstandin.Store {
	s := startStore(t, server)
	another := entry(server)
	another.ID = "i-2"
	s.Register(another)
	return s
}

func TestVMWithoutServersForwardsRequests(t *testing.T) {
	t.Parallel()
	s := withSecondServer(t, startBackend(t, 0))
	a, b, linksOfA, _ := startPair(t, s)
	cutOff(t, a, linksOfA)
	for range 20 {
		status, body := call(a.callers, "/orders/1")
		qt.Assert(t, status, qt.Equals, http.StatusOK)
		qt.Assert(t, body, qt.Equals, "done")
	}
	qt.Assert(t, strings.Contains(a.log.String(), `"helper":"vm-2"`), qt.IsTrue)
	qt.Assert(t, strings.Contains(b.log.String(), `"from":"vm-1"`), qt.IsTrue)
	qt.Assert(t, directoryAddresses(a), qt.HasLen, 2, qt.Commentf("with a single other VM, callers may use both"))
	c := startVM(t, "vm-3", s)
	eventually(t, "callers are sent to the others", func() bool {
		return !slices.Contains(directoryAddresses(b), netip.MustParseAddrPort(a.callers)) && len(directoryAddresses(c)) == 2
	})
	qt.Assert(t, isReady(a), qt.IsTrue)
	linksOfA.set(false)
	eventually(t, "all VMs are in the directory again", func() bool { return len(directoryAddresses(a)) == 3 && len(directoryAddresses(b)) == 3 })
	qt.Assert(t, strings.Contains(a.log.String(), `"event":7214`), qt.IsTrue)
}

// TestVMsWithoutServersRejectAtOnce cuts off all VMs. It guards against requests that are passed on in vain, and against
// a directory without VMs.
func TestVMsWithoutServersRejectAtOnce(t *testing.T) {
	t.Parallel()
	s := withSecondServer(t, startBackend(t, 0))
	a, b, linksOfA, linksOfB := startPair(t, s)
	cutOff(t, a, linksOfA)
	cutOff(t, b, linksOfB)
	time.Sleep(300 * time.Millisecond)
	for _, v := range []*vm{a, b} {
		start := time.Now()
		n, _ := call(v.callers, "/orders/1")
		qt.Assert(t, n, qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, time.Since(start) < 100*time.Millisecond, qt.IsTrue)
	}
	eventually(t, "both VMs are in the directory", func() bool { return len(directoryAddresses(a)) == 2 && len(directoryAddresses(b)) == 2 })
	linksOfB.set(false)
	eventually(t, "served through the other VM", func() bool { return status(a) == http.StatusOK })
}

// TestForwardedRequestsAreTakenFromVMsOnly guards against callers that use the address for forwarded requests, where no
// rate limit applies.
func TestForwardedRequestsAreTakenFromVMsOnly(t *testing.T) {
	t.Parallel()
	s := startStore(t, startBackend(t, 0))
	v := startVM(t, "vm-1", s)
	eventually(t, "served", func() bool { return status(v) == http.StatusOK })
	callers := netip.MustParseAddrPort(v.callers)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+psforward.Address(netip.AddrPortFrom(callers.Addr(), 7600)).String()+"/orders/1", nil)
	qt.Assert(t, err, qt.IsNil)
	r.Host = "eggs.test"
	psstandin.WriteRequestHeaders(r.Header, psheader.Request{ID: "id-1", Left: time.Second})
	r.Header.Set("Steer-From", "vm-2")
	r.Header.Set("Steer-Attempts", "0")
	response, err := http.DefaultTransport.RoundTrip(r)
	qt.Assert(t, err, qt.IsNil)
	_ = response.Body.Close()
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusForbidden)
}

// TestForwardedRequestCountsOnce guards against a request that is counted against the rate of its workspace by both VMs.
func TestForwardedRequestCountsOnce(t *testing.T) {
	t.Parallel()
	const burst = 12
	// fill is the time in which the tokens of the workspace are complete.
	const fill = 5 * time.Second
	s := withSecondServer(t, startBackend(t, 0))
	c := routes(2, true)
	c.Routes[0].Public = false
	c.Workspaces = []psconfig.Workspace{{Name: "trays", Rate: 3, Burst: burst}}
	a, _, linksOfA, _ := startPair(t, s)
	cutOff(t, a, linksOfA)
	s.Configure(c, map[string][]string{"trays": {testKey}})
	eventually(t, "the configuration", func() bool { return status(a) == http.StatusUnauthorized })
	time.Sleep(fill)
	served := 0
	for range 2 * burst {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+a.callers+"/orders/1", nil)
		qt.Assert(t, err, qt.IsNil)
		r.Host = "eggs.test"
		psstandin.WriteRequestHeaders(r.Header, psheader.Request{ID: "id-1", Left: time.Second, Key: testKey})
		response, err := http.DefaultTransport.RoundTrip(r)
		qt.Assert(t, err, qt.IsNil)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			served++
		}
	}
	qt.Assert(t, served >= burst-1 && served <= burst+2, qt.IsTrue, qt.Commentf("%d served", served))
}

// longBody is the length of a body that is neither buffered by the first VM nor by the second.
const longBody = 3 << 20

// startLongBackend starts a backend server that answers with the hash of the request's body and a long body. If the path
// ends with "broken", the body breaks off.
func startLongBackend(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sum := sha256.New()
		_, _ = io.Copy(sum, r.Body)
		psstandin.Sign(w.Header(), psstandin.ReadForwardHeaders(r.Header).ID)
		w.Header().Set("Content-Length", strconv.Itoa(sha256.Size+longBody))
		_, _ = w.Write(sum.Sum(nil))
		if strings.HasSuffix(r.URL.Path, "broken") {
			_, _ = w.Write(make([]byte, longBody/2))
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(bytes.Repeat([]byte("e"), longBody))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// TestLongBodiesAreForwarded sends long bodies through two VMs in both directions. A response that breaks off must not
// look complete.
func TestLongBodiesAreForwarded(t *testing.T) {
	t.Parallel()
	s := withSecondServer(t, startLongBackend(t))
	a, _, linksOfA, _ := startPair(t, s)
	cutOff(t, a, linksOfA)
	upload := bytes.Repeat([]byte("u"), longBody)
	for path, whole := range map[string]bool{"/orders/whole": true, "/orders/broken": false} {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+a.callers+path, bytes.NewReader(upload))
		qt.Assert(t, err, qt.IsNil)
		r.Host = "eggs.test"
		psstandin.WriteRequestHeaders(r.Header, psheader.Request{ID: "id-1", Left: 2 * time.Second})
		response, err := http.DefaultTransport.RoundTrip(r)
		qt.Assert(t, err, qt.IsNil)
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		// If the reset arrives before the first VM has buffered the beginning, it responds with an error of its own.
		complete := err == nil && response.StatusCode == http.StatusOK
		qt.Assert(t, complete, qt.Equals, whole, qt.Commentf("%s: %d %v", path, response.StatusCode, err))
		if whole {
			sum := sha256.Sum256(upload)
			qt.Assert(t, body[:sha256.Size], qt.DeepEquals, sum[:])
			qt.Assert(t, body, qt.HasLen, sha256.Size+longBody)
		}
	}
}

// TestServerCannotClaimToBeHelper guards against a request that has run and is rejected as not executed, because the
// server's response bears the mark of a helper's own response.
func TestServerCannotClaimToBeHelper(t *testing.T) {
	t.Parallel()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		psstandin.Sign(w.Header(), psstandin.ReadForwardHeaders(r.Header).ID)
		psforward.WriteRejected(w.Header(), "claimed")
		_, _ = io.WriteString(w, "done")
	}))
	t.Cleanup(server.Close)
	s := withSecondServer(t, strings.TrimPrefix(server.URL, "http://"))
	a, _, linksOfA, _ := startPair(t, s)
	cutOff(t, a, linksOfA)
	status, body := call(a.callers, "/orders/1")
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, body, qt.Equals, "done")
}
