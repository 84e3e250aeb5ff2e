package psloss_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/trial/psbackend"
	"persimmonstep/internal/trial/psload"
	"persimmonstep/internal/trial/psloss"
	"persimmonstep/internal/trial/psrequestlog"
	"persimmonstep/internal/trial/psscenario"
)

const ms = time.Millisecond

// TestLossesAreAttributed guards against late requests whose time is counted under the wrong part, and rejections under
// the wrong reason. The route's runs take 60 ms with the cached object and 180 ms without; the target is 150 ms.
func TestLossesAreAttributed(t *testing.T) {
	start := time.Unix(1000, 0)
	pool := psscenario.Pool{Name: "quotes", ServiceTime: 180 * ms, Target: 150 * ms, Objects: 10}
	stream := &psload.Stream{Route: "quotes"}
	r := psloss.Record{
		Pools: []psscenario.Pool{pool}, CallerLatency: 3 * ms, Start: start, Span: 10 * time.Second,
		Servers:  []psloss.Server{{Service: "quotes", Slots: 2, CacheSize: 5}},
		Entitled: map[int]bool{4: true},
	}
	var log psrequestlog.Log
	served := func(n, at, before, trip, queue, work, run int, pipeline int) {
		attempt := trip + queue + run
		id, latency := fmt.Sprint("run-", n), before+attempt+pipeline+6
		begin := time.Duration(at) * ms
		r.Observations = append(r.Observations, psload.Observation{
			Arrival: psload.Arrival{Sequence: n, At: begin, Stream: stream, Object: 1}, Sent: begin, LastSent: begin,
			Done: begin + time.Duration(latency)*ms, IDs: []string{id}, Status: 200,
		})
		admitted := start.Add(begin + time.Duration(3+before+trip)*ms)
		started := admitted.Add(time.Duration(queue) * ms)
		r.Servers[0].Executions = append(r.Servers[0].Executions, psbackend.Execution{
			ID: id, Admitted: admitted, Started: started, Ended: started.Add(time.Duration(run) * ms), Latency: time.Duration(trip) * ms,
			Work: time.Duration(work) * ms, Cached: work == 60,
		})
		_, _ = fmt.Fprintf(log.Writer(), `{"event":7401,"requestId":"%s","status":200,"tries":"s-1 answered rank=0 load=1.5 loadAge=40ms took=%dms recall=1.00","took":"%dms"}`+"\n", id, attempt, before+attempt)
	}
	served(0, 0, 0, 24, 0, 180, 180, 0)   // uncached
	served(1, 1000, 0, 0, 100, 60, 60, 0) // queue
	served(2, 2000, 0, 0, 0, 60, 150, 0)  // slow machine
	served(3, 3000, 0, 24, 0, 60, 60, 90) // pipeline
	served(5, 5000, 1, 0, 0, 60, 60, 0)   // in target
	for n, line := range map[int]string{4: `"status":429,"reason":"overRate"`, 6: `"status":503,"reason":"overload","shortage":"priority=0 wait=76ms maxWait=40ms overload=1.00"`} {
		at := time.Duration(n) * time.Second
		status := 503
		if n == 4 {
			status = 429
		}
		r.Observations = append(r.Observations, psload.Observation{
			Arrival: psload.Arrival{Sequence: n, At: at, Stream: stream, Object: 1}, Sent: at, LastSent: at, Done: at + 7*ms, IDs: []string{fmt.Sprint("run-", n)}, Status: status,
		})
		_, _ = fmt.Fprintf(log.Writer(), `{"event":7402,"requestId":"run-%d",%s,"took":"1ms"}`+"\n", n, line)
	}
	r.Outcomes = log.Outcomes()
	s := psloss.Summarize(r)

	fates := make(map[string]psloss.Fate)
	for _, f := range s.Fates {
		fates[f.Name] = f
	}
	qt.Check(t, fates["in target"].Count, qt.Equals, 1)
	qt.Check(t, fates["late"].Count, qt.Equals, 4)
	qt.Check(t, fates["429 overRate, within the rate"].Count, qt.Equals, 1)
	late := fates["late"]
	qt.Check(t, []float64{late.ExpectedLoad, late.Load, float64(late.Compared)}, qt.DeepEquals, []float64{1.5, 0, 4})
	rejected := fates["503 overload"]
	qt.Check(t, []float64{float64(rejected.Count), rejected.Wait, rejected.MaxWait, rejected.Idle, float64(rejected.IdleHolder)}, qt.DeepEquals, []float64{1, 76, 40, 1, 1})
	for _, part := range []psloss.Part{psloss.Uncached, psloss.Queue, psloss.SlowMachine, psloss.Connection} {
		v := s.Parts[part]
		qt.Check(t, []int{v.Largest, v.Enough, v.Needed}, qt.DeepEquals, []int{1, 1, 1}, qt.Commentf("%+v", v))
	}
	qt.Check(t, s.Parts[psloss.Uncached].LateMean, qt.Equals, 120.0/4)
	qt.Check(t, s.Parts[psloss.RoundTrip].LateMean, qt.Equals, 48.0/4)
	qt.Check(t, s.Parts[psloss.BeforeAttempt].InTimeMean, qt.Equals, 1.0)
	qt.Check(t, s.Unknown, qt.Equals, 0)
	qt.Check(t, s.Caches, qt.DeepEquals, []psloss.CacheUse{{Route: "quotes", Runs: 5, First: 1}})
	use := s.Slots[0]
	qt.Check(t, []float64{use.InTarget * 20, use.Late * 20, use.Uncached * 20, use.SlowMachine * 20}, qt.DeepEquals, []float64{0.06, 0.24, 0.12, 0.09})
	var text strings.Builder
	qt.Assert(t, s.Table(&text, "title"), qt.IsNil)
	qt.Check(t, text.String(), qt.Contains, "503 overload")
}
