package psprobe_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/connection/psprobe"
	"persimmonstep/internal/connection/pstransport"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/platform/psstandin"
)

func TestProbeReportsHealth(t *testing.T) {
	healthy := true
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		qt.Check(t, r.URL.Path, qt.Equals, "/healthz")
		psstandin.WriteHealth(w.Header(), "i-1", 250*time.Millisecond)
		if !healthy {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	transport, clean := pstransport.New()
	defer clean()
	e := psserver.Entry{ID: "i-1", Address: netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))}
	p := psprobe.New(transport)
	h, err := p.Probe(context.Background(), e, "/healthz")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, h.Healthy, qt.IsTrue)
	qt.Assert(t, h.Server, qt.Equals, "i-1")
	qt.Assert(t, h.ColdFor, qt.Equals, 250*time.Millisecond)
	healthy = false
	h, err = p.Probe(context.Background(), e, "/healthz")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, h.Healthy, qt.IsFalse)
	s.Close()
	_, err = p.Probe(context.Background(), e, "/healthz")
	qt.Assert(t, err, qt.IsNotNil)
}
