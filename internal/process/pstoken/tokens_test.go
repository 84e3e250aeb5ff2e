package pstoken_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/connection/psreport"
	"persimmonstep/internal/process/pscontrol"
	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/pstoken"
	"persimmonstep/internal/version/psconfig"
)

// tokenOwner answers token requests in place of another VM.
type lender struct {
	grant psfleet.TokenResponse
	err   error
	asked []psfleet.TokenRequest
}

func (o *lender) Take(_ context.Context, _ netip.AddrPort, t psfleet.TokenRequest) (psfleet.TokenResponse, error) {
	o.asked = append(o.asked, t)
	return o.grant, o.err
}

func snapshot(fleet int) (*pscontrol.Snapshot, *psconfig.Workspace) {
	c := &psconfig.Configuration{Workspaces: []psconfig.Workspace{{Name: "trays", Rate: 4, Burst: 2}}}
	return &pscontrol.Snapshot{Index: psconfig.NewIndex(c), EvenPart: 1, FleetSize: fleet}, &c.Workspaces[0]
}

func TestASplitRateIsCountedHere(t *testing.T) {
	now := time.Unix(1000, 0)
	o := &lender{}
	tokens := pstoken.New("vm-1", o, func() time.Time { return now })
	s, w := snapshot(1)
	qt.Assert(t, tokens.Take(context.Background(), s, w, false), qt.Satisfies, isOver)
	now = now.Add(time.Second)
	qt.Assert(t, tokens.Take(context.Background(), s, w, false), qt.Equals, pstoken.Granted{})
	qt.Assert(t, o.asked, qt.HasLen, 0)
	qt.Assert(t, tokens.Demands(now)["trays"] > 0, qt.IsTrue)
}

func isOver(v pstoken.Verdict) bool {
	_, over := v.(pstoken.Over)
	return over
}

func TestAKeptRateIsAskedFor(t *testing.T) {
	o := &lender{grant: psfleet.TokenResponse{Granted: true}}
	tokens := pstoken.New("vm-1", o, time.Now)
	s, w := snapshot(74)
	qt.Assert(t, tokens.Take(context.Background(), s, w, false), qt.Equals, pstoken.Granted{})
	o.grant = psfleet.TokenResponse{Wait: time.Second}
	qt.Assert(t, tokens.Take(context.Background(), s, w, false), qt.Equals, pstoken.Over{Wait: time.Second})
	qt.Assert(t, o.asked, qt.DeepEquals, []psfleet.TokenRequest{{Workspace: "trays"}, {Workspace: "trays"}})
}

func TestASilentKeeperIsNotAskedForAWhile(t *testing.T) {
	now := time.Unix(1000, 0)
	o := &lender{err: psreport.ErrSilent}
	tokens := pstoken.New("vm-1", o, func() time.Time { return now })
	s, w := snapshot(74)
	qt.Assert(t, tokens.Take(context.Background(), s, w, false), qt.Equals, pstoken.Unasked{})
	asked := len(o.asked)
	qt.Assert(t, tokens.Take(context.Background(), s, w, false), qt.Equals, pstoken.Unasked{})
	qt.Assert(t, o.asked, qt.HasLen, asked)
	now = now.Add(2 * time.Second)
	tokens.Take(context.Background(), s, w, false)
	qt.Assert(t, len(o.asked) > asked, qt.IsTrue)
}

func TestAWorkspaceWithoutARateNeedsNoToken(t *testing.T) {
	tokens := pstoken.New("vm-1", &lender{}, time.Now)
	s, _ := snapshot(1)
	qt.Assert(t, tokens.Take(context.Background(), s, &psconfig.Workspace{}, false), qt.Equals, pstoken.Granted{})
}

// TestTokenOfARejectedRequestIsReturned returns a token of this VM's bucket, and one that another VM owns.
func TestATokenOfARejectedRequestIsGivenBack(t *testing.T) {
	now := time.Unix(1000, 0)
	o := &lender{grant: psfleet.TokenResponse{Granted: true}}
	tokens := pstoken.New("vm-1", o, func() time.Time { return now })
	s, w := snapshot(1)
	now = now.Add(time.Second / 4)
	qt.Assert(t, tokens.Take(context.Background(), s, w, false), qt.Equals, pstoken.Granted{})
	qt.Assert(t, tokens.Take(context.Background(), s, w, false), qt.Satisfies, isOver)
	tokens.Return(s, w)
	qt.Assert(t, tokens.Take(context.Background(), s, w, false), qt.Equals, pstoken.Granted{})
	s, w = snapshot(74)
	tokens.Return(s, w)
	qt.Assert(t, tokens.Take(context.Background(), s, w, true), qt.Equals, pstoken.Granted{})
	qt.Assert(t, o.asked, qt.DeepEquals, []psfleet.TokenRequest{{Workspace: "trays", Late: true}})
}
