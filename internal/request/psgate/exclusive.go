package psgate

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"persimmonstep/internal/request/psclaim"
	"persimmonstep/internal/request/psproblem"
	"persimmonstep/internal/version/psdoc"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	// maxIdempotencyKeyBytes bounds a caller's Idempotency-Key.
	maxIdempotencyKeyBytes = 255
	// maxRecordedBytes bounds the answer of an exclusive request.
	maxRecordedBytes = 8 << 20
)

// runExclusive runs a request at most once. The run goes on when the caller leaves, so
// that its answer is recorded for the caller's repeat.
func (x *exchange) runExclusive() error {
	ctx, cancel := x.deadline(context.WithoutCancel(x.request.Context()))
	defer cancel()
	key := x.request.Header.Get(headerIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes || len(x.request.Header.Values(headerIdempotencyKey)) > 1 {
		return psproblem.New(http.StatusBadRequest, "badIdempotencyKey", "the Idempotency-Key must be one value of at most 255 bytes")
	}
	if key == "" {
		answer, err := x.runOnce(ctx)
		if err != nil {
			return err
		}
		x.replay(answer)
		return nil
	}
	result, err := x.gate.Claims.Begin(ctx, psclaim.Request{Workspace: x.workspaceName(), Route: x.route.Name, Key: key, Digest: x.digest()})
	if err != nil {
		return err
	}
	switch c := result.(type) {
	case psclaim.Replay:
		x.replay(c.Answer)
		return nil
	case psclaim.Run:
		return x.runClaimed(ctx, c)
	}
	panic("psgate: unknown claim result")
}

func (x *exchange) runClaimed(ctx context.Context, c psclaim.Run) error {
	answer, err := x.runOnce(ctx)
	var p *psproblem.Problem
	switch {
	case err == nil:
		c.Finish(answer)
		x.replay(answer)
		return nil
	case errors.As(err, &p) && p.Ran == psproblem.RanNo:
		c.Release()
	default:
		c.Abandon()
	}
	return err
}

// runOnce sends the request and takes in the whole answer.
func (x *exchange) runOnce(ctx context.Context) (psclaim.Answer, error) {
	a, err := x.send(ctx)
	if err != nil {
		return psclaim.Answer{}, err
	}
	defer a.close()
	body, err := io.ReadAll(io.LimitReader(a.response.Body, maxRecordedBytes+1))
	if err != nil || len(body) > maxRecordedBytes {
		return psclaim.Answer{}, psproblem.Unknown(http.StatusBadGateway, "truncated", "the backend server's answer broke off or is too large")
	}
	return psclaim.Answer{Status: a.response.StatusCode, Header: endToEnd(a.response.Header), Body: body}, nil
}

func (x *exchange) replay(a psclaim.Answer) {
	h := x.writer.Header()
	for k, v := range a.Header {
		h[k] = v
	}
	h.Set(headerRequestID, x.id)
	x.status = a.Status
	x.writer.WriteHeader(a.Status)
	_, _ = x.writer.Write(a.Body)
}

// digest identifies the request's method, target and body.
func (x *exchange) digest() psdoc.Digest {
	h := sha256.New()
	_, _ = io.WriteString(h, x.request.Method+" "+x.request.URL.RequestURI()+"\n")
	_, _ = h.Write(x.body)
	return psdoc.Digest(h.Sum(nil))
}
