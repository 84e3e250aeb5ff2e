package psvm_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psbackend"
)

// TestTransportSendsNothingTwice lets servers take a request in and close the connection.
// HTTP clients repeat such a request by themselves where they believe it to be idempotent;
// an order must run once, and a lookup never twice on one server.
func TestTransportSendsNothingTwice(t *testing.T) {
	c := qt.New(t)
	f := startFleet(t, time.Second)
	n := 0
	for _, path := range []string{"/orders/x", "/prices/x"} {
		for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut} {
			for _, body := range []string{"", "tray"} {
				for _, withKey := range []bool{false, true} {
					n++
					f.keyed = ""
					if withKey {
						f.keyed = fmt.Sprint("key-", n)
					}
					note := qt.Commentf("%s %s body %q key %v", method, path, body, withKey)
					// Warm connections are those on which clients repeat requests.
					for _, s := range f.Servers {
						s.Set(psbackend.Behaviour{})
					}
					warm := f.keyed
					f.keyed = ""
					c.Assert(f.send(t.Context(), 0, method, path, []byte(fmt.Sprint("warm", n))).status, qt.Equals, 200, note)
					f.keyed = warm
					for _, s := range f.Servers {
						s.Set(psbackend.Behaviour{Faults: []psbackend.Fault{{Kind: psbackend.FaultCut}}})
						s.ResetStats()
					}
					// A body of its own keeps the request out of quarantine.
					text := body
					if text != "" {
						text += fmt.Sprint(n)
					}
					r := f.send(t.Context(), 0, method, fmt.Sprintf("%s/%d", path, n), []byte(text))
					c.Assert(r.status, qt.Equals, http.StatusBadGateway, note)
					c.Assert(r.ran, qt.Equals, "unknown", note)
					for _, s := range f.Servers {
						c.Assert(s.Stats().Runs <= 1, qt.IsTrue, note)
					}
					if path == "/orders/x" {
						c.Assert(f.runs(), qt.Equals, 1, note)
					}
				}
			}
		}
	}
}
