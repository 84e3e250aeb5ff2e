package psproxy_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"persimmonstep/internal/connection/psbudget"
)

// TestRequestsOfBusyWorkspaceAreMarked guards against requests of a workspace that other VMs find busy which this VM doesn't
// mark, and against marks for other workspaces.
func TestRequestsOfBusyWorkspaceAreMarked(t *testing.T) {
	registry := prometheus.NewRegistry()
	p, _ := newProxy(t, registry, startBackend(t, respondOK))
	s := serve(t, p, psbudget.New(64<<20, time.Now))
	for i := range 5 {
		p.Usage().RecordPeer(fmt.Sprint("vm-", i), []string{"trays"}, time.Now())
	}
	for _, key := range []string{"k-1", "k-2"} {
		r := request(t, s, http.MethodGet, "/boards/1", "")
		r.Header.Set("Authorization", "Bearer "+key)
		do(t, r)
	}
	marked := -1.0
	families, err := registry.Gather()
	qt.Assert(t, err, qt.IsNil)
	for _, f := range families {
		if f.GetName() == "persimmonstep_steered_beyond_usual_total" {
			marked = f.GetMetric()[0].GetCounter().GetValue()
		}
	}
	qt.Assert(t, marked, qt.Equals, 1.0)
}
