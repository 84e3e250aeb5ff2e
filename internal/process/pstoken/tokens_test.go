package pstoken_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/connection/pspeer"
	"persimmonstep/internal/process/pslease"
	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/pssnapshot"
	"persimmonstep/internal/process/pstoken"
	"persimmonstep/internal/version/psconfig"
)

// tokenOwner answers token requests in place of another VM.
type tokenOwner struct {
	grant    psmessage.TokenResponse
	err      error
	requests []psmessage.TokenRequest
}

func (o *tokenOwner) RequestToken(_ context.Context, _ netip.AddrPort, t psmessage.TokenRequest) (psmessage.TokenResponse, error) {
	o.requests = append(o.requests, t)
	return o.grant, o.err
}

func newTokens(vm string, c pstoken.Client, now func() time.Time) *pstoken.Tokens {
	return pstoken.New(pstoken.Options{Self: vm, Client: c, Logger: hclog.NewNullLogger(), Now: now})
}

func snapshot(fleet int) (*pssnapshot.Snapshot, *psconfig.Workspace) {
	c := &psconfig.Configuration{Workspaces: []psconfig.Workspace{{Name: "trays", Rate: 4, Burst: 2}}}
	h := pslease.Holding{Parts: fleet, DecisiveParts: []int{fleet}, Groups: []pslease.Group{{Members: []psmessage.Identity{{}}, Settled: true, Own: 1}}}
	return &pssnapshot.Snapshot{Index: psconfig.NewIndex(c), Holding: h, FleetSize: fleet}, &c.Workspaces[0]
}

func TestSplitRateIsCountedLocally(t *testing.T) {
	now := time.Unix(1000, 0)
	o := &tokenOwner{}
	tokens := newTokens("vm-1", o, func() time.Time { return now })
	s, w := snapshot(1)
	qt.Assert(t, tokens.Take(context.Background(), s, w, false), qt.Satisfies, isOverLimit)
	now = now.Add(time.Second)
	qt.Assert(t, tokens.Take(context.Background(), s, w, false), qt.Equals, pstoken.Granted{})
	qt.Assert(t, o.requests, qt.HasLen, 0)
	qt.Assert(t, tokens.Demands(now)["trays"] > 0, qt.IsTrue)
}

func isOverLimit(v pstoken.Verdict) bool {
	_, over := v.(pstoken.OverLimit)
	return over
}

func TestOwnedRateIsRequestedFromTheOwner(t *testing.T) {
	o := &tokenOwner{grant: psmessage.TokenResponse{Granted: true}}
	tokens := newTokens("vm-1", o, time.Now)
	s, w := snapshot(74)
	qt.Assert(t, tokens.Take(context.Background(), s, w, false), qt.Equals, pstoken.Granted{})
	o.grant = psmessage.TokenResponse{Wait: time.Second}
	qt.Assert(t, tokens.Take(context.Background(), s, w, false), qt.Equals, pstoken.OverLimit{Wait: time.Second})
	qt.Assert(t, o.requests, qt.DeepEquals, []psmessage.TokenRequest{{Workspace: "trays", Ahead: true}, {Workspace: "trays", Ahead: true}})
}

func TestUnresponsiveOwnerIsNotAskedDuringBackoff(t *testing.T) {
	now := time.Unix(1000, 0)
	o := &tokenOwner{err: pspeer.ErrNoResponse}
	tokens := newTokens("vm-1", o, func() time.Time { return now })
	s, w := snapshot(74)
	qt.Assert(t, tokens.Take(context.Background(), s, w, false), qt.Equals, pstoken.Unavailable{})
	asked := len(o.requests)
	qt.Assert(t, tokens.Take(context.Background(), s, w, false), qt.Equals, pstoken.Unavailable{})
	qt.Assert(t, o.requests, qt.HasLen, asked)
	now = now.Add(2 * time.Second)
	tokens.Take(context.Background(), s, w, false)
	qt.Assert(t, len(o.requests) > asked, qt.IsTrue)
}

func TestAWorkspaceWithoutARateNeedsNoToken(t *testing.T) {
	tokens := newTokens("vm-1", &tokenOwner{}, time.Now)
	s, _ := snapshot(1)
	qt.Assert(t, tokens.Take(context.Background(), s, &psconfig.Workspace{}, false), qt.Equals, pstoken.Granted{})
}

// TestTokenOfARejectedRequestIsReturned returns a token of this VM's bucket, and one that another VM owns.
func TestTokenOfARejectedRequestIsReturned(t *testing.T) {
	now := time.Unix(1000, 0)
	o := &tokenOwner{grant: psmessage.TokenResponse{Granted: true}}
	tokens := newTokens("vm-1", o, func() time.Time { return now })
	s, w := snapshot(1)
	now = now.Add(time.Second / 4)
	qt.Assert(t, tokens.Take(context.Background(), s, w, false), qt.Equals, pstoken.Granted{})
	qt.Assert(t, tokens.Take(context.Background(), s, w, false), qt.Satisfies, isOverLimit)
	tokens.Return(s, w)
	qt.Assert(t, tokens.Take(context.Background(), s, w, false), qt.Equals, pstoken.Granted{})
	s, w = snapshot(74)
	tokens.Return(s, w)
	qt.Assert(t, tokens.Take(context.Background(), s, w, true), qt.Equals, pstoken.Granted{})
	qt.Assert(t, o.requests, qt.DeepEquals, []psmessage.TokenRequest{{Workspace: "trays", Late: true, Ahead: true}})
}
