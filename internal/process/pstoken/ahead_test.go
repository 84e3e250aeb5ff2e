package pstoken_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/pstoken"
)

// slowOwner answers each token request when it is told to.
type slowOwner struct {
	requests chan psmessage.TokenRequest
	answers  chan psmessage.TokenResponse
}

func newSlowOwner() *slowOwner {
	return &slowOwner{make(chan psmessage.TokenRequest, 8), make(chan psmessage.TokenResponse, 8)}
}

func (o *slowOwner) RequestToken(_ context.Context, _ netip.AddrPort, t psmessage.TokenRequest) (psmessage.TokenResponse, error) {
	o.requests <- t
	return <-o.answers, nil
}

// TestRequestsOfAKnownWorkspaceDoNotWaitForTheOwner covers an owner in another region: of the requests of a workspace only
// the first one waits for its answer.
func TestRequestsOfAKnownWorkspaceDoNotWaitForTheOwner(t *testing.T) {
	o := newSlowOwner()
	tokens := newTokens("vm-1", o, time.Now)
	s, w := snapshot(74)
	take := func() pstoken.Verdict { return tokens.Take(context.Background(), s, w, false) }
	o.answers <- psmessage.TokenResponse{Granted: true, Ahead: true}
	qt.Assert(t, take(), qt.Equals, pstoken.Granted{})
	qt.Assert(t, <-o.requests, qt.DeepEquals, psmessage.TokenRequest{Workspace: "trays", Ahead: true})

	// The owner has not answered yet when this request has its token.
	qt.Assert(t, take(), qt.Equals, pstoken.Granted{Ahead: true})
	qt.Assert(t, <-o.requests, qt.DeepEquals, psmessage.TokenRequest{Workspace: "trays", Refill: true})
	o.answers <- psmessage.TokenResponse{}

	// Without a token ahead the owner is asked again, and it may refuse.
	o.answers <- psmessage.TokenResponse{Wait: time.Second}
	qt.Assert(t, take(), qt.Equals, pstoken.OverLimit{Wait: time.Second})
	qt.Assert(t, <-o.requests, qt.DeepEquals, psmessage.TokenRequest{Workspace: "trays", Ahead: true})
}

// TestSecondTokenAheadIsReturned covers two first requests at the same time, for each of which the owner grants another token:
// a VM that kept both would hold tokens that others lack.
func TestSecondTokenAheadIsReturned(t *testing.T) {
	o := newSlowOwner()
	tokens := newTokens("vm-1", o, time.Now)
	s, w := snapshot(74)
	verdicts := make(chan pstoken.Verdict, 2)
	for range 2 {
		go func() { verdicts <- tokens.Take(context.Background(), s, w, false) }()
		qt.Assert(t, (<-o.requests).Ahead, qt.IsTrue)
	}
	for range 3 {
		o.answers <- psmessage.TokenResponse{Granted: true, Ahead: true}
	}
	qt.Assert(t, <-o.requests, qt.DeepEquals, psmessage.TokenRequest{Workspace: "trays", Returned: true})
	qt.Assert(t, <-verdicts, qt.Equals, pstoken.Granted{})
	qt.Assert(t, <-verdicts, qt.Equals, pstoken.Granted{})
}

// TestTokenOfAnEarlierOwnerIsNotUsed covers an owner that restarts: its new process doesn't count the tokens that the earlier
// one granted ahead, so they must not be used beside its own.
func TestTokenOfAnEarlierOwnerIsNotUsed(t *testing.T) {
	o := newSlowOwner()
	tokens := newTokens("vm-1", o, time.Now)
	s, w := snapshot(74)
	s.Holding.Groups[0].Members = []psmessage.Identity{{VM: "vm-2", Incarnation: 1}}
	take := func() pstoken.Verdict { return tokens.Take(context.Background(), s, w, false) }
	o.answers <- psmessage.TokenResponse{Granted: true, Ahead: true}
	qt.Assert(t, take(), qt.Equals, pstoken.Granted{})
	<-o.requests

	s.Holding.Groups[0].Members[0].Incarnation = 2
	o.answers <- psmessage.TokenResponse{Wait: time.Second}
	qt.Assert(t, take(), qt.Equals, pstoken.OverLimit{Wait: time.Second})
	qt.Assert(t, <-o.requests, qt.DeepEquals, psmessage.TokenRequest{Workspace: "trays", Ahead: true})
}
