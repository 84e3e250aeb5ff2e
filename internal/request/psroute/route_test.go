package psroute_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/request/psroute"
	"persimmonstep/internal/version/psplan"
)

var (
	north  = &psplan.Region{Name: "north"}
	south  = &psplan.Region{Name: "south"}
	northA = &psplan.Domain{Name: "north-a", Region: north}
	northB = &psplan.Domain{Name: "north-b", Region: north}
	southA = &psplan.Domain{Name: "south-a", Region: south}
	near   = &psplan.Server{Name: "near", Domain: northA}
	beside = &psplan.Server{Name: "beside", Domain: northB}
	far    = &psplan.Server{Name: "far", Domain: southA}
	quick  = &psplan.Server{Name: "quick", Domain: northA}
)

func TestDecide(t *testing.T) {
	free := func(s *psplan.Server) psroute.Candidate { return psroute.Candidate{Server: s, Limit: 2} }
	full := func(s *psplan.Server) psroute.Candidate { return psroute.Candidate{Server: s, Limit: 2, InFlight: 2} }
	tests := []struct {
		name       string
		request    psroute.Request
		candidates []psroute.Candidate
		want       psroute.Decision
	}{
		{"nearest first", psroute.Request{}, []psroute.Candidate{free(far), free(beside), free(near)}, psroute.Send{Server: near, Reason: psroute.ReasonSameDomain}},
		{"same region when the domain is full", psroute.Request{}, []psroute.Candidate{full(near), free(beside)}, psroute.Send{Server: beside, Reason: psroute.ReasonSameRegion}},
		{"waits when all are full", psroute.Request{}, []psroute.Candidate{full(near)}, psroute.Wait{Reason: psroute.ReasonSlotsBusy}},
		{"never shifts without leave", psroute.Request{}, []psroute.Candidate{free(far)}, psroute.Refuse{Reason: psroute.ReasonShiftCapped}},
		{"shifts with leave", psroute.Request{MayShift: true}, []psroute.Candidate{free(far)}, psroute.Send{Server: far, Shifted: true, Reason: psroute.ReasonOtherRegion}},
		{"never the same server twice", psroute.Request{Tried: []*psplan.Server{near}}, []psroute.Candidate{free(near)}, psroute.Refuse{Reason: psroute.ReasonNoServer}},
		{"no slot granted", psroute.Request{}, []psroute.Candidate{{Server: near}}, psroute.Refuse{Reason: psroute.ReasonNoServer}},
		{"excluded", psroute.Request{}, []psroute.Candidate{{Server: near, Limit: 2, Excluded: true}}, psroute.Refuse{Reason: psroute.ReasonNoServer}},
		{"slow server last", psroute.Request{}, []psroute.Candidate{{Server: near, Limit: 2, Latency: time.Second}, {Server: quick, Limit: 2, InFlight: 1, Latency: time.Millisecond}}, psroute.Send{Server: quick, Reason: psroute.ReasonSameDomain}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.request.Domain, tt.request.Home = northA, north
			qt.Assert(t, psroute.Decide(tt.request, tt.candidates), qt.Equals, tt.want)
		})
	}
}

func BenchmarkDecide(b *testing.B) {
	candidates := make([]psroute.Candidate, 16)
	for i := range candidates {
		candidates[i] = psroute.Candidate{Server: &psplan.Server{Name: "s", Domain: northA}, Limit: 5, InFlight: i % 5}
	}
	r := psroute.Request{Domain: northA, Home: north}
	b.ReportAllocs()
	for b.Loop() {
		psroute.Decide(r, candidates)
	}
}
