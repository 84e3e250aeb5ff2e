package psmetric_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"persimmonstep/internal/process/psmetric"
	"persimmonstep/internal/request/psproblem"
)

func TestRequestsAreCounted(t *testing.T) {
	m := psmetric.New()
	m.Answered("prices", "negril", 200, time.Millisecond)
	m.Refused("overRate", psproblem.RanNo)
	m.Refused("timeout", psproblem.RanUnknown)
	m.BrokenOff("prices")
	want := `# HELP persimmonstep_broken_answers_total Answers that broke off after the caller saw a part of them.
# TYPE persimmonstep_broken_answers_total counter
persimmonstep_broken_answers_total{route="prices"} 1
# HELP persimmonstep_refusals_total Refused requests by code and by whether they ran.
# TYPE persimmonstep_refusals_total counter
persimmonstep_refusals_total{code="overRate",ran="no"} 1
persimmonstep_refusals_total{code="timeout",ran="unknown"} 1
# HELP persimmonstep_requests_total Requests by route, workspace and status.
# TYPE persimmonstep_requests_total counter
persimmonstep_requests_total{route="prices",status="200",workspace="negril"} 1
`
	names := []string{"persimmonstep_broken_answers_total", "persimmonstep_refusals_total", "persimmonstep_requests_total"}
	qt.Assert(t, testutil.GatherAndCompare(m.Registry, strings.NewReader(want), names...), qt.IsNil)
}
