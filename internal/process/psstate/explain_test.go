package psstate_test

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/process/pslease"
	"persimmonstep/internal/process/pslimit"
	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/psnode"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/process/pssnapshot"
	"persimmonstep/internal/process/psstate"
	"persimmonstep/internal/process/pstoken"
	"persimmonstep/internal/request/psestimate"
	"persimmonstep/internal/request/psshed"
	"persimmonstep/internal/request/psusage"
	"persimmonstep/internal/version/psconfig"
)

var startTime = time.Unix(1000, 0)

const second = time.Second

// state returns the state of a VM with three servers of a service: the first one is busy, the second one drains
// and the third one is in another region.
func state(t *testing.T) psstate.State {
	t.Helper()
	c := psconfig.Configuration{
		Version:  7,
		Services: []psconfig.Service{{Name: "prices"}},
		Routes: []psconfig.Route{{
			Name: "boards", Host: "eggs.test", Prefix: "/boards/", Timeout: 2 * second, TargetLatency: second / 5,
			MaxAttempts: 1, Backends: []psconfig.Backend{{Service: "prices", Weight: 1}},
		}},
		Workspaces: []psconfig.Workspace{
			{Name: "trays", Keys: []psconfig.Digest{psconfig.DigestOf("k-1")}, Rate: 100, Burst: 10},
			{Name: "southern", AllowedRegions: []string{"south"}},
		},
	}
	servers := []*psserver.Server{
		psserver.New(psserver.Entry{ID: "i-1", Service: "prices", FailureDomain: "north-a", Slots: 4}, "north", startTime),
		psserver.New(psserver.Entry{ID: "i-2", Service: "prices", FailureDomain: "north-a", Slots: 4, State: psserver.Draining}, "north", startTime),
		psserver.New(psserver.Entry{ID: "i-3", Service: "prices", FailureDomain: "south-a", Slots: 4}, "south", startTime),
	}
	servers[0].RecordLoad(4, 60, startTime)
	usage := &psusage.Usage{}
	usage.Observe("trays", false, startTime)
	for _, vm := range []string{"vm-2", "vm-3", "vm-4"} {
		usage.RecordPeer(vm, []string{"trays"}, startTime)
	}
	servers[2].RecordLimit(pslimit.Limit{Named: true, PerSecond: 2.5}, startTime, startTime)
	s := psstate.Capture(psstate.Source{
		RoundTrips: &psestimate.RoundTrips{},
		Settings:   &psnode.Settings{Name: "vm-1", FailureDomain: "north-a", Region: "north"},
		Snapshot: &pssnapshot.Snapshot{
			Index: psconfig.NewIndex(&c), Servers: map[string][]*psserver.Server{"prices": servers},
			ServersReadAt: startTime, RateShares: map[string]float64{"trays": 0.25}, FleetSize: 2,
			Holding: pslease.Holding{Parts: 2, Groups: []pslease.Group{{
				Members: []psmessage.Identity{{VM: "vm-1", FailureDomain: "north-a"}, {VM: "vm-2", FailureDomain: "south-a"}},
				Settled: true, Own: 0.5, Delegated: 0.5, Lenders: []string{"vm-2"},
			}}},
		},
		Tokens:    pstoken.New(pstoken.Options{Self: "vm-1", Logger: hclog.NewNullLogger(), Now: time.Now}),
		Estimates: &psestimate.Estimates{}, Demands: &psshed.Demands{}, Usage: usage, Ready: true,
	}, startTime)
	// Explain works on a decoded document, so the state is encoded and decoded.
	data, err := json.Marshal(s)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(data), qt.Not(qt.Contains), string(psconfig.DigestOf("k-1")))
	var read psstate.State
	qt.Assert(t, json.Unmarshal(data, &read), qt.IsNil)
	return read
}

func explain(t *testing.T, s psstate.State, workspace string) psstate.Explanation {
	t.Helper()
	e, err := psstate.Explain(s, psstate.Query{Host: "eggs.test", Path: "/boards/1", Object: "1", Workspace: workspace})
	qt.Assert(t, err, qt.IsNil)
	return e
}

func TestExplainListsCandidatesAndExclusions(t *testing.T) {
	e := explain(t, state(t), "trays")
	qt.Assert(t, e.Route, qt.Equals, "boards")
	qt.Assert(t, *e.Rate, qt.Equals, psstate.Rate{PerSecond: 25, Burst: 2.5})
	v := e.Services[0]
	qt.Assert(t, v.Outcome, qt.Equals, psstate.OutcomeSent)
	qt.Assert(t, v.Candidates[0].Server, qt.Equals, "i-3")
	qt.Assert(t, v.Candidates[1].Server, qt.Equals, "i-1")
	qt.Assert(t, v.Candidates[1].Load, qt.Equals, 64.0)
	qt.Assert(t, v.Candidates[0].Limit, qt.Equals, pslimit.Limit{Named: true, PerSecond: 2.5})
	qt.Assert(t, v.Candidates[0].TokenOwner, qt.Equals, "vm-2")
	qt.Assert(t, v.Candidates[0].RequestedFraction, qt.Equals, 1.0)
	qt.Assert(t, v.Candidates[1].TokenOwner, qt.Equals, "")
	qt.Assert(t, v.Excluded, qt.DeepEquals, map[string]string{"i-2": "draining or failed"})
}

func TestExplainGivesTheRejectionReason(t *testing.T) {
	s := state(t)
	s.Evacuated = []string{"south-a"}
	v := explain(t, s, "trays").Services[0]
	qt.Assert(t, v.Outcome, qt.Equals, psstate.OutcomeRejected)
	qt.Assert(t, v.Reason, qt.Equals, "overload")
	qt.Assert(t, v.RetryAfter > 0, qt.IsTrue)
	v = explain(t, s, "southern").Services[0]
	qt.Assert(t, v.Reason, qt.Equals, "noServer")
	qt.Assert(t, v.Excluded["i-1"], qt.Equals, "region not allowed")
	qt.Assert(t, v.Excluded["i-3"], qt.Equals, "failure domain evacuated")
}

// TestExplainShowsBusyWorkspace guards against an explanation from which an operator can't see that a workspace's requests yield.
func TestExplainShowsBusyWorkspace(t *testing.T) {
	s := state(t)
	s.Evacuated = []string{"south-a"}
	e := explain(t, s, "trays")
	qt.Assert(t, e.Usage.Recent, qt.Equals, 0.5)
	qt.Assert(t, e.Usage.Beyond, qt.Equals, 1.0)
	qt.Assert(t, e.Usage.BusyAt, qt.Equals, 3)
	v := e.Services[0]
	qt.Assert(t, v.First.BeyondUsual && v.Last.BeyondUsual, qt.IsTrue)
	e = explain(t, s, "southern")
	qt.Assert(t, e.Usage, qt.IsNil)
}

func TestExplainReportsMissingInputs(t *testing.T) {
	s := state(t)
	for _, q := range []psstate.Query{{Host: "carts.test", Path: "/boards/1"}, {Host: "eggs.test", Path: "/boards/1", Workspace: "nobody"}} {
		_, err := psstate.Explain(s, q)
		qt.Check(t, err, qt.IsNotNil)
	}
	s.Configuration = nil
	_, err := psstate.Explain(s, psstate.Query{})
	qt.Assert(t, err, qt.ErrorMatches, ".*no configuration")
}
