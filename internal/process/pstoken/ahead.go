package pstoken

import (
	"context"
	"time"

	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/psrate"
	"persimmonstep/internal/process/pssnapshot"
)

const (
	// aheadLifetime is how long a VM may use a token that it holds ahead of a request, from when it asked for it.
	aheadLifetime = 3 * time.Second
	// aheadSlack is how much longer the owner counts such a token as held: the longest time that the answer takes.
	aheadSlack = 300 * time.Millisecond
)

// aheadToken is a token that this VM holds ahead of the next request of a workspace.
type aheadToken struct {
	expiresAt time.Time
	// owner granted the token.
	owner psmessage.Identity
}

// takeOwned takes a token that another VM owns. A VM that has served the workspace lately holds a token for the next
// request, which then doesn't wait for the owner's answer; the next token is requested while that request runs.
func (t *Tokens) takeOwned(ctx context.Context, s *pssnapshot.Snapshot, workspace string, late bool) Verdict {
	primary, backup := s.TokenOwners(workspace)
	if t.useAhead(workspace, primary) {
		t.background(func() { t.refillAhead(s, workspace, primary) })
		return Granted{Ahead: true}
	}
	q := psmessage.TokenRequest{Workspace: workspace, Late: late, Ahead: primary.VM != t.self}
	askedAt := t.now()
	response, err := t.askOwners(ctx, s, primary, backup, q)
	if err != nil {
		return Unavailable{}
	}
	if response.Ahead {
		t.holdAhead(s, workspace, primary, askedAt)
	}
	return verdict(response)
}

// useAhead uses the token that this VM holds for a workspace. It returns false if there is none, or if its owner has changed:
// the new one doesn't count it.
func (t *Tokens) useAhead(workspace string, owner psmessage.Identity) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	a, found := t.ahead[workspace]
	if !found {
		return false
	}
	delete(t.ahead, workspace)
	return t.now().Before(a.expiresAt) && a.owner.VM == owner.VM && a.owner.Incarnation == owner.Incarnation
}

// refillAhead asks the owner of a workspace's tokens for the one for the next request.
func (t *Tokens) refillAhead(s *pssnapshot.Snapshot, workspace string, owner psmessage.Identity) {
	ctx, stop := context.WithTimeout(context.Background(), aheadSlack)
	defer stop()
	askedAt := t.now()
	response, err := t.askVM(ctx, s, owner, psmessage.TokenRequest{Workspace: workspace, Refill: true})
	if err == nil && response.Ahead {
		t.holdAhead(s, workspace, owner, askedAt)
	}
}

// holdAhead holds a token for the next request of a workspace, and returns it to its owner if it expires unused. If one is held
// already, the new one is returned at once.
func (t *Tokens) holdAhead(s *pssnapshot.Snapshot, workspace string, owner psmessage.Identity, askedAt time.Time) {
	a := &aheadToken{expiresAt: askedAt.Add(aheadLifetime), owner: owner}
	t.mutex.Lock()
	_, held := t.ahead[workspace]
	if !held {
		t.ahead[workspace] = a
	}
	t.mutex.Unlock()
	if held {
		t.returnAhead(s, workspace, owner)
		return
	}
	t.after(a.expiresAt.Sub(t.now()), func() {
		if t.dropAhead(workspace, a) {
			t.returnAhead(s, workspace, a.owner)
		}
	})
}

// dropAhead reports whether a token was still held, and drops it.
func (t *Tokens) dropAhead(workspace string, a *aheadToken) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.ahead[workspace] != a {
		return false
	}
	delete(t.ahead, workspace)
	return true
}

// returnAhead gives a token back to its owner. If the message is lost, the token is as well.
func (t *Tokens) returnAhead(s *pssnapshot.Snapshot, workspace string, owner psmessage.Identity) {
	ctx, stop := context.WithTimeout(context.Background(), aheadSlack)
	defer stop()
	_, _ = t.askVM(ctx, s, owner, psmessage.TokenRequest{Workspace: workspace, Returned: true})
}

// grant answers a request for tokens from a bucket that this VM owns for the fleet.
func grant(b *psrate.Bucket, l psrate.Limit, q psmessage.TokenRequest, now time.Time) psmessage.TokenResponse {
	until := now.Add(aheadLifetime + aheadSlack)
	switch {
	case q.Returned:
		b.SettleAhead(true)
		return psmessage.TokenResponse{}
	case q.Refill:
		b.SettleAhead(false)
		b.AddDemand(1, now)
		return psmessage.TokenResponse{Ahead: b.TakeAhead(l, 1, until, now)}
	}
	response := take(b, l, 1, q.Late, now)
	response.Ahead = response.Granted && q.Ahead && b.TakeAhead(l, 1, until, now)
	return response
}
