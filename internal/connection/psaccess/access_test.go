package psaccess_test

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"persimmonstep/internal/connection/psaccess"
	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/request/psadmission"
	"persimmonstep/internal/version/psconfig"
)

// TestRejectionForSlotsStatesItsBasis guards against rejections whose priority and inputs can't be found in metrics and log.
func TestRejectionForSlotsStatesItsBasis(t *testing.T) {
	registry := prometheus.NewRegistry()
	var text bytes.Buffer
	l := psaccess.New(psaccess.NewMetrics(registry), hclog.New(&hclog.LoggerOptions{Output: &text}))
	l.Write(psaccess.Record{
		Event: psevent.RequestRejected, ID: "9c41", Route: &psconfig.Route{Name: "boards"}, Status: 503, Reason: psadmission.ReasonLessUrgent,
		Basis: &psadmission.Basis{Priority: 2, Wait: 80 * time.Millisecond, MaxWait: 20 * time.Millisecond, Overload: 1, Above: 0.4, Position: 0.75, BeyondUsual: true},
	}, time.Unix(1000, 0))
	qt.Check(t, text.String(), qt.Contains, `shortage="priority=2 wait=80ms maxWait=20ms overload=1.00 above=0.40 position=0.75 beyondUsual=true"`)
	families, err := registry.Gather()
	qt.Assert(t, err, qt.IsNil)
	for _, f := range families {
		if f.GetName() == "persimmonstep_steered_shortage_total" {
			labels := f.GetMetric()[0].GetLabel()
			qt.Assert(t, []string{labels[0].GetValue(), labels[1].GetValue()}, qt.DeepEquals, []string{"2", "lessUrgent"})
			return
		}
	}
	t.Fatal("metric is missing")
}
