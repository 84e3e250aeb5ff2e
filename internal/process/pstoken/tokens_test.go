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

// lender answers for another VM.
type lender struct {
	grant psfleet.Grant
	err   error
	asked []psfleet.Take
}

func (l *lender) Take(_ context.Context, _ netip.AddrPort, t psfleet.Take) (psfleet.Grant, error) {
	l.asked = append(l.asked, t)
	return l.grant, l.err
}

func snapshot(fleet int) (*pscontrol.Snapshot, *psconfig.Workspace) {
	c := &psconfig.Configuration{Workspaces: []psconfig.Workspace{{Name: "trays", Rate: 4, Burst: 2}}}
	return &pscontrol.Snapshot{Index: psconfig.NewIndex(c), EvenShare: 1, FleetSize: fleet}, &c.Workspaces[0]
}

func TestASplitRateIsCountedHere(t *testing.T) {
	now := time.Unix(1000, 0)
	l := &lender{}
	tokens := pstoken.New("vm-1", l, func() time.Time { return now })
	s, w := snapshot(1)
	qt.Assert(t, tokens.Take(context.Background(), s, w, false), qt.Satisfies, isOver)
	now = now.Add(time.Second)
	qt.Assert(t, tokens.Take(context.Background(), s, w, false), qt.Equals, pstoken.Granted{})
	qt.Assert(t, l.asked, qt.HasLen, 0)
	qt.Assert(t, tokens.Demands(now)["trays"] > 0, qt.IsTrue)
}

func isOver(v pstoken.Verdict) bool {
	_, over := v.(pstoken.Over)
	return over
}

func TestAKeptRateIsAskedFor(t *testing.T) {
	l := &lender{grant: psfleet.Grant{Granted: true}}
	tokens := pstoken.New("vm-1", l, time.Now)
	s, w := snapshot(74)
	qt.Assert(t, tokens.Take(context.Background(), s, w, false), qt.Equals, pstoken.Granted{})
	l.grant = psfleet.Grant{Wait: time.Second}
	qt.Assert(t, tokens.Take(context.Background(), s, w, false), qt.Equals, pstoken.Over{Wait: time.Second})
	qt.Assert(t, l.asked, qt.DeepEquals, []psfleet.Take{{Workspace: "trays"}, {Workspace: "trays"}})
}

func TestASilentKeeperIsNotAskedForAWhile(t *testing.T) {
	now := time.Unix(1000, 0)
	l := &lender{err: psreport.ErrSilent}
	tokens := pstoken.New("vm-1", l, func() time.Time { return now })
	s, w := snapshot(74)
	qt.Assert(t, tokens.Take(context.Background(), s, w, false), qt.Equals, pstoken.Unasked{})
	asked := len(l.asked)
	qt.Assert(t, tokens.Take(context.Background(), s, w, false), qt.Equals, pstoken.Unasked{})
	qt.Assert(t, l.asked, qt.HasLen, asked)
	now = now.Add(2 * time.Second)
	tokens.Take(context.Background(), s, w, false)
	qt.Assert(t, len(l.asked) > asked, qt.IsTrue)
}

func TestAWorkspaceWithoutARateNeedsNoToken(t *testing.T) {
	tokens := pstoken.New("vm-1", &lender{}, time.Now)
	s, _ := snapshot(1)
	qt.Assert(t, tokens.Take(context.Background(), s, &psconfig.Workspace{}, false), qt.Equals, pstoken.Granted{})
}

// TestATokenOfARejectedRequestIsGivenBack gives back a token that the VM has, and one that another VM keeps.
func TestATokenOfARejectedRequestIsGivenBack(t *testing.T) {
	now := time.Unix(1000, 0)
	l := &lender{grant: psfleet.Grant{Granted: true}}
	tokens := pstoken.New("vm-1", l, func() time.Time { return now })
	s, w := snapshot(1)
	now = now.Add(time.Second / 4)
	qt.Assert(t, tokens.Take(context.Background(), s, w, false), qt.Equals, pstoken.Granted{})
	qt.Assert(t, tokens.Take(context.Background(), s, w, false), qt.Satisfies, isOver)
	tokens.Return(s, w)
	qt.Assert(t, tokens.Take(context.Background(), s, w, false), qt.Equals, pstoken.Granted{})
	s, w = snapshot(74)
	tokens.Return(s, w)
	qt.Assert(t, tokens.Take(context.Background(), s, w, true), qt.Equals, pstoken.Granted{})
	qt.Assert(t, l.asked, qt.DeepEquals, []psfleet.Take{{Workspace: "trays", Late: true}})
}
