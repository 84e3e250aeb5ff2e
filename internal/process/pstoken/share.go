package pstoken

import (
	"context"
	"maps"
	"time"

	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/process/pssnapshot"
)

const (
	// minFraction is the least fraction of the wanted requests for which a VM requests tokens, so that it learns soon
	// when the limit rises or the demand falls.
	minFraction = 0.25
	// fractionLifetime is how long a fraction counts after the owner stated it.
	fractionLifetime = 10 * time.Second
	// maxRefusal bounds the time after a refusal in which a VM requests no tokens.
	maxRefusal = time.Second
	// unusedRetention is how long the state of a server's tokens is kept after its last use.
	unusedRetention = time.Minute
)

// serverShare is what this VM knows of its part of one server's limit.
type serverShare struct {
	// fraction is the fraction of the wanted requests for which the VM requests tokens, as the owner stated it at
	// statedAt. due accumulates it; a token is requested whenever it reaches 1.
	fraction float64
	statedAt time.Time
	due      float64
	// refusedUntil is when the next token is expected after a refusal.
	refusedUntil time.Time
	// wanted counts the requests since the last request for a token.
	wanted int
	usedAt time.Time
}

// Deferred means that the VM requested no token, because others use up the limit of the server.
type Deferred struct {
	// Wait is the time until the next token is expected; 0 if it isn't known.
	Wait time.Duration
}

func (Deferred) verdict() {}

// TakeServer takes a token of a server's limit from its owner. Each request to a server with a limit needs one. The
// verdict for a server without a limit is [Granted].
func (t *Tokens) TakeServer(ctx context.Context, s *pssnapshot.Snapshot, server *psserver.Server) Verdict {
	now := t.now()
	limit, age := server.Limit(now)
	if !limit.Named {
		return Granted{}
	}
	e := server.Entry()
	wanted, deferred := t.want(e.Run(), now)
	if deferred != nil {
		return *deferred
	}
	q := psmessage.TokenRequest{Server: &psmessage.ServerLimit{Run: e.Run(), Limit: limit, Age: age}, Service: e.Service, Wanted: wanted}
	primary, backup := s.ServerTokenOwners(e, server.Region)
	response, err := t.askOwners(ctx, s, primary, backup, q)
	if err != nil {
		return Unavailable{}
	}
	return t.applyResponse(server, response)
}

// TakeProbe reports whether a probe may be sent to a server. It takes a token if the server has a limit.
func (t *Tokens) TakeProbe(ctx context.Context, s *pssnapshot.Snapshot, server *psserver.Server) bool {
	_, granted := t.TakeServer(ctx, s, server).(Granted)
	return granted
}

// want counts a request that the VM wants to send to a server. It returns the number of such requests since the last
// request for a token, or that none is requested now.
func (t *Tokens) want(r psserver.Run, now time.Time) (int, *Deferred) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	h := t.share(r, now)
	h.wanted++
	switch {
	case now.Before(h.refusedUntil):
		return 0, &Deferred{h.refusedUntil.Sub(now)}
	case !h.isDue(now):
		return 0, &Deferred{}
	}
	wanted := h.wanted
	h.wanted = 0
	return wanted, nil
}

// isDue reports whether a token is requested for the present one of the wanted requests.
func (h *serverShare) isDue(now time.Time) bool {
	if now.Sub(h.statedAt) > fractionLifetime {
		h.fraction = 1
	}
	h.due += max(minFraction, h.fraction)
	if h.due < 1 {
		return false
	}
	h.due--
	return true
}

// share returns this VM's share of a server's limit. The caller holds the mutex.
func (t *Tokens) share(r psserver.Run, now time.Time) *serverShare {
	h, found := t.shares[r]
	if !found {
		maps.DeleteFunc(t.shares, func(_ psserver.Run, v *serverShare) bool { return now.Sub(v.usedAt) > unusedRetention })
		h = &serverShare{fraction: 1}
		t.shares[r] = h
	}
	h.usedAt = now
	return h
}

// applyResponse applies the owner's response to a request for tokens of a server.
func (t *Tokens) applyResponse(server *psserver.Server, response psmessage.TokenResponse) Verdict {
	now := t.now()
	if known := response.Server; known != nil {
		t.recordLimit(server, *known, now)
		if limit, _ := server.Limit(now); !limit.Named {
			return Granted{}
		}
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	h := t.share(server.Entry().Run(), now)
	h.fraction, h.statedAt = response.Fraction, now
	if response.Granted {
		h.refusedUntil = time.Time{}
		return Granted{}
	}
	wait := min(response.Wait, maxRefusal)
	h.refusedUntil = now.Add(wait)
	return OverLimit{Wait: wait}
}

// recordLimit records what another VM knows of a server's limit.
func (t *Tokens) recordLimit(s *psserver.Server, v psmessage.ServerLimit, now time.Time) {
	if before, changed := s.RecordPeerLimit(v.Limit, now.Add(-v.Age)); changed {
		t.limitLog.Changed(s.Entry().ID, s.Entry().Service, "", before, v.Limit, now)
	}
}

// Short reports whether the limit of a server is used up as far as this VM knows, so that requests that another such
// server has refused need not try this one.
func (t *Tokens) Short(r psserver.Run) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	h, found := t.shares[r]
	if !found {
		return false
	}
	now := t.now()
	return now.Before(h.refusedUntil) || h.fraction < 1 && now.Sub(h.statedAt) <= fractionLifetime
}

// Fraction returns the fraction of the requests to a server with a limit for which this VM requests tokens.
func (t *Tokens) Fraction(r psserver.Run) float64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	h, found := t.shares[r]
	if !found || t.now().Sub(h.statedAt) > fractionLifetime {
		return 1
	}
	return max(minFraction, h.fraction)
}
