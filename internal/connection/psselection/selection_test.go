package psselection_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/connection/psselection"
	"persimmonstep/internal/process/pslease"
	"persimmonstep/internal/process/pslimit"
	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/process/pssnapshot"
	"persimmonstep/internal/process/pstoken"
	"persimmonstep/internal/request/psadmission"
	"persimmonstep/internal/request/psestimate"
	"persimmonstep/internal/request/psjitter"
	"persimmonstep/internal/request/psselect"
	"persimmonstep/internal/request/psshed"
	"persimmonstep/internal/version/psconfig"
)

var startTime = time.Unix(1000, 0)

// owner owns the tokens of all servers and refuses each request for one.
type owner struct {
	asked int
}

func (o *owner) RequestToken(context.Context, netip.AddrPort, psmessage.TokenRequest) (psmessage.TokenResponse, error) {
	o.asked++
	return psmessage.TokenResponse{Wait: time.Second, Fraction: 0.1}, nil
}

// selector returns a selector for a service whose tokens an owner refuses. The first servers have limits.
func selector(servers, limited int) (*psselection.Selector, psselection.Request, *owner) {
	o := &owner{}
	now := func() time.Time { return startTime }
	var jitter psjitter.Sequence
	s := &psselection.Selector{
		Place: psselect.Place{FailureDomain: "north-a", Region: "north"}, Estimates: &psestimate.Estimates{}, RoundTrips: &psestimate.RoundTrips{}, Demands: &psshed.Demands{},
		Tokens:  pstoken.New(pstoken.Options{Self: "vm-1", Client: o, Logger: hclog.NewNullLogger(), Now: now}),
		Observe: func(pstoken.Verdict) {}, Jitter: jitter.Next, Now: now,
	}
	list := make([]*psserver.Server, servers)
	for i := range list {
		list[i] = psserver.New(psserver.Entry{ID: fmt.Sprint("i-", i), Service: "prices", FailureDomain: "north-a", Slots: 4}, "north", startTime)
		if i < limited {
			list[i].RecordLimit(pslimit.Limit{Named: true, PerSecond: 1}, startTime, startTime)
		}
	}
	r := psselection.Request{
		Snapshot: &pssnapshot.Snapshot{
			Servers: map[string][]*psserver.Server{"prices": list}, FleetSize: 2,
			Holding: pslease.Holding{Parts: 2, Groups: []pslease.Group{{Members: []psmessage.Identity{{VM: "vm-2"}}, Settled: true, Own: 0.5}}},
		},
		Service: "prices", Route: &psconfig.Route{Name: "boards", TargetLatency: 200 * time.Millisecond, Affinity: true},
		ArrivedAt: startTime, Deadline: startTime.Add(time.Second),
	}
	return s, r, o
}

// TestRefusedRequestAsksFewOwners guards against a request that asks for a token of one server after the other until its
// deadline, when all servers of a large service have limits.
func TestRefusedRequestAsksFewOwners(t *testing.T) {
	for _, limited := range []int{439, 438} {
		s, r, o := selector(439, limited)
		asked := 0
		for object := range uint64(20) {
			r.Object = object
			_, rejection := s.Select(t.Context(), r)
			qt.Check(t, rejection != nil, qt.Equals, limited == 439)
			qt.Check(t, o.asked-asked <= 2, qt.IsTrue, qt.Commentf("object %d: %d questions", object, o.asked-asked))
			asked = o.asked
		}
	}
}

// TestBusyWorkspaceIsRejectedFirst selects servers while all have queues. It guards against requests beyond the usual amount of
// their workspace that are sent as often as others.
func TestBusyWorkspaceIsRejectedFirst(t *testing.T) {
	s, r, _ := selector(3, 0)
	var jitter psjitter.Sequence
	s.Jitter = jitter.Next
	for _, server := range r.Snapshot.Servers["prices"] {
		server.RecordLoad(4, 2, startTime)
	}
	r.Route.Priority, r.Route.Timeout = 1, time.Second
	sent := make(map[bool]int)
	reasons := make(map[string]int)
	for i := range 2000 {
		r.BeyondUsual = i%2 == 0
		r.Object = uint64(i)
		_, rejection := s.Select(t.Context(), r)
		if rejection == nil {
			sent[r.BeyondUsual]++
			continue
		}
		reasons[rejection.Reason]++
		qt.Assert(t, rejection.Basis.BeyondUsual, qt.Equals, r.BeyondUsual)
	}
	t.Logf("sent: beyond the usual amount %d, others %d; reasons %v", sent[true], sent[false], reasons)
	qt.Check(t, sent[false] > sent[true]+200, qt.IsTrue)
	qt.Check(t, sent[true] > (sent[false]+sent[true])/2/4, qt.IsTrue)
	qt.Check(t, reasons[psadmission.ReasonBeyondUsual] > 200, qt.IsTrue)
}
