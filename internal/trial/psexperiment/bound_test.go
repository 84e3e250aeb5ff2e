package psexperiment_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/trial/psexperiment"
	"persimmonstep/internal/trial/psscenario"
)

// TestSystemStaysBelowUpperBound guards against a bound of other requests than those that the callers send, and against
// a system that pipelining callers or servers with slow spells bring to break a guarantee. Losses must have a record of
// nearly every request.
func TestSystemStaysBelowUpperBound(t *testing.T) {
	s, err := psscenario.Parse("x.toml", []byte(`
name = "small"
seed = 3
span = "4s"
settle = "1s"
warmUp = "2s"
load = 0.3
[site]
name = "site"
vms = 6
regions = ["north", "middle", "south"]
domainLatency = "2ms"
regionLatency = "24ms"
callerLatency = "3ms"
workspaces = [2.0, 1.0]
pipelined = 0.5
[[site.pools]]
name = "quotes"
kind = "idempotent"
servers = [2, 2, 1]
slots = 3
unsteady = true
cacheSize = 30
serviceTime = "180ms"
target = "150ms"
objects = 20
rate = 90.0
[[site.pools]]
name = "orders"
kind = "atMostOnce"
servers = [1, 1, 1]
slots = 3
serviceTime = "60ms"
target = "200ms"
priority = 1
rate = 50.0
`))
	qt.Assert(t, err, qt.IsNil)
	f := s.Firms()[0]
	p := psexperiment.System()
	p.Losses = true
	r, err := psexperiment.Run(t.Context(), f, s, p, hclog.NewNullLogger())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, r.Broken.Total(), qt.Equals, 0, qt.Commentf("%+v", r.Broken))
	bounds := psexperiment.Bounds(f, s)
	qt.Assert(t, len(bounds), qt.Equals, 2)
	upper, lower := bounds[0].InTarget, bounds[1].InTarget
	qt.Check(t, r.InTarget.Sent, qt.Equals, upper.Sent)
	qt.Check(t, r.InTarget.SentWeight, qt.Equals, lower.SentWeight)
	qt.Check(t, r.InTarget.Weight > 0 && r.InTarget.Weight <= upper.Weight, qt.IsTrue, qt.Commentf("%f of %f", r.InTarget.Weight, upper.Weight))
	count := 0
	for _, v := range r.Losses.Fates {
		count += v.Count
	}
	qt.Check(t, count, qt.Equals, r.InTarget.Sent)
	qt.Check(t, r.Losses.Unknown*20 <= count, qt.IsTrue, qt.Commentf("%d of %d", r.Losses.Unknown, count))
}
