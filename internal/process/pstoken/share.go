package pstoken

import (
	"context"
	"maps"
	"time"

	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/process/pssnapshot"
)

const (
	// expectedSpan is the time for whose expected requests a VM requests tokens at once, and tokenLifetime how long
	// it can use them.
	expectedSpan  = 100 * time.Millisecond
	tokenLifetime = 400 * time.Millisecond
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

// serverShare is this VM's use of the tokens of one server.
type serverShare struct {
	// tokens are granted tokens that can be used until usableUntil.
	tokens      int
	usableUntil time.Time
	// fraction is the fraction of the wanted requests for which the VM requests tokens, as the owner stated it at
	// statedAt. due accumulates it; a token is requested whenever it reaches 1.
	fraction float64
	statedAt time.Time
	due      float64
	// refusedUntil is when the next token is expected after a refusal.
	refusedUntil time.Time
	// wanted counts the requests since the last request for tokens, at askedAt.
	wanted  int
	askedAt time.Time
	usedAt  time.Time
}

// Deferred means that the VM requested no token, because others use up the limit of the server.
type Deferred struct {
	// Wait is the time until the next token is expected; 0 if it isn't known.
	Wait time.Duration
}

func (Deferred) verdict() {}

// TakeServer takes a token of a server's limit: from those that were granted to this VM, or from the owner. Each
// request to a server with a limit needs one. The verdict for a server without a limit is [Granted].
func (t *Tokens) TakeServer(ctx context.Context, s *pssnapshot.Snapshot, server *psserver.Server) Verdict {
	now := t.now()
	limit, age := server.Limit(now)
	if !limit.Named {
		return Granted{}
	}
	e := server.Entry()
	q, verdict := t.takeGranted(e.Run(), now)
	if verdict != nil {
		return verdict
	}
	q.Server, q.Service = &psfleet.ServerLimit{Run: e.Run(), Limit: limit, Age: age}, e.Service
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

// takeGranted takes a token that was granted to this VM. Without one it returns the request that is to be sent to the
// owner, or the verdict if none is due.
func (t *Tokens) takeGranted(r psserver.Run, now time.Time) (psfleet.TokenRequest, Verdict) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	h := t.share(r, now)
	h.wanted++
	switch {
	case h.tokens > 0 && now.Before(h.usableUntil):
		h.tokens--
		return psfleet.TokenRequest{}, Granted{}
	case now.Before(h.refusedUntil):
		return psfleet.TokenRequest{}, Deferred{h.refusedUntil.Sub(now)}
	case !h.isDue(now):
		return psfleet.TokenRequest{}, Deferred{}
	}
	q := psfleet.TokenRequest{Tokens: h.expected(now), Wanted: h.wanted}
	h.wanted, h.askedAt = 0, now
	return q, nil
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

// expected returns the number of tokens that the VM can use within expectedSpan, at the rate of its requests since it
// requested tokens last.
func (h *serverShare) expected(now time.Time) int {
	span := max(expectedSpan, now.Sub(h.askedAt))
	return max(1, int(h.fraction*float64(h.wanted)*float64(expectedSpan)/float64(span)))
}

// share returns this VM's use of a server's tokens. The caller holds the mutex.
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
func (t *Tokens) applyResponse(server *psserver.Server, response psfleet.TokenResponse) Verdict {
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
	if response.Tokens == 0 {
		wait := min(response.Wait, maxRefusal)
		h.refusedUntil = now.Add(wait)
		return OverLimit{Wait: wait}
	}
	h.tokens, h.usableUntil = response.Tokens-1, now.Add(tokenLifetime)
	h.refusedUntil = time.Time{}
	return Granted{}
}

// recordLimit records what another VM knows of a server's limit.
func (t *Tokens) recordLimit(s *psserver.Server, v psfleet.ServerLimit, now time.Time) {
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
