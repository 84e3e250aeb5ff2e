package psdev_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"persimmonstep/internal/process/psbackend"
	"persimmonstep/internal/process/psdev"
	"persimmonstep/internal/process/psstandin"
)

// order sends an order with an Idempotency-Key to a VM.
func order(t *testing.T, s *psdev.System, vm int, key string) *http.Response {
	t.Helper()
	c := qt.New(t)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Ready.Callers[vm].String()+"/orders/trays", strings.NewReader("30 trays"))
	c.Assert(err, qt.IsNil)
	r.Header.Set("Authorization", "Bearer "+s.Ready.Workspaces[0].Key)
	r.Header.Set("Idempotency-Key", key)
	a, err := http.DefaultClient.Do(r)
	c.Assert(err, qt.IsNil)
	_, err = io.Copy(io.Discard, a.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(a.Body.Close(), qt.IsNil)
	return a
}

// TestOrdersWhileTheStoreIsDown refuses orders as not run while the answers of all commits
// are lost after they took effect, and runs each once when the store is back.
func TestOrdersWhileTheStoreIsDown(t *testing.T) {
	c := qt.New(t)
	s := start(t)
	s.Platform.Faults.Set(psstandin.Fault{Path: "/table/read", Kind: psstandin.FaultLoseCall}, psstandin.Fault{Path: "/table/", Kind: psstandin.FaultLoseAnswer})
	keys := []string{"k1", "k2", "k3"}
	for _, key := range keys {
		a := order(t, s, 0, key)
		c.Assert(a.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(a.Header.Get("Persimmonstep-Ran"), qt.Equals, "no")
		c.Assert(a.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	}
	runs := func(key string) int {
		return lo.SumBy(s.Servers, func(b *psbackend.Server) int { return b.Runs()[key] })
	}
	for _, key := range keys {
		c.Assert(runs(key), qt.Equals, 0)
	}
	s.Platform.Faults.Set()
	deadline := time.Now().Add(20 * time.Second)
	for i, key := range keys {
		// The repeat goes to another VM, and then to the first one, which releases its claim
		// meanwhile. Each finds out by itself that the store is back.
		for _, vm := range []int{1 + i, 0} {
			for order(t, s, vm, key).StatusCode != http.StatusOK {
				c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("order %s cannot run", key))
				time.Sleep(50 * time.Millisecond)
			}
		}
		c.Assert(runs(key), qt.Equals, 1)
	}
}
