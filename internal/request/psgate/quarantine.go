package psgate

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psquarantine"
	"persimmonstep/internal/request/psproblem"
	"persimmonstep/internal/request/psretry"
	"persimmonstep/internal/version/psplan"
)

// suspect is what is known of a request as a cause of crashes.
type suspect struct {
	fingerprint psquarantine.Fingerprint
	known       bool
	// verdict is that of the last crash; its channel is nil before the first one.
	verdict psquarantine.Verdict
}

// fingerprint identifies the request by its content. An idempotency key stands for the body
// of an upload only: elsewhere it could be changed to run the same content again.
func (x *exchange) fingerprint() psquarantine.Fingerprint {
	s := &x.tries.suspect
	if s.known {
		return s.fingerprint
	}
	p := psquarantine.Parts{
		Workspace: x.workspaceName(), Route: x.route.Name,
		Method: x.request.Method, Target: x.request.URL.RequestURI(), Body: x.body,
	}
	if x.isStreamed() {
		p.Label = x.request.Header.Get(headerIdempotencyKey)
		if p.Label == "" {
			p.Label = strconv.FormatInt(x.request.ContentLength, 10)
		}
	}
	s.fingerprint, s.known = psquarantine.Of(p), true
	return s.fingerprint
}

// checkQuarantine refuses a quarantined request.
func (x *exchange) checkQuarantine() error {
	left := x.gate.Quarantine.Held(x.fingerprint())
	if left <= 0 {
		return nil
	}
	psevent.QuarantineRefused.Log(x.gate.Logger, x.id, x.workspaceName(), x.routeName(), x.fingerprint(), left.Round(time.Second))
	return psproblem.New(http.StatusUnprocessableEntity, "quarantined",
		"the request took down the backend servers that ran it; its fingerprint is "+x.fingerprint().String()).After(left)
}

func (x *exchange) isQuarantined() bool {
	return x.isSuspect() && x.gate.Quarantine.Held(x.fingerprint()) > 0
}

// isSuspect reports whether an attempt took down a connection.
func (x *exchange) isSuspect() bool {
	return x.tries.suspect.verdict.Settled != nil
}

// reserve keeps a server for a suspect, so that it does not share it with another suspect.
func (x *exchange) reserve(s *psplan.Server) bool {
	return !x.isSuspect() || x.gate.Quarantine.Reserve(x.fingerprint(), s.Name)
}

func (x *exchange) unreserve(s *psplan.Server) {
	if x.isSuspect() {
		x.gate.Quarantine.Return(x.fingerprint(), s.Name)
	}
}

// noteAnswer takes in that a whole answer came.
func (x *exchange) noteAnswer() {
	x.gate.Quarantine.Answered(x.fingerprint())
}

// noteLoss takes in that an attempt ended with its server's connection.
func (x *exchange) noteLoss(s *psplan.Server, e psretry.Ending, err error) {
	if e != (psretry.Lost{}) || !isLoss(err) {
		return
	}
	x.tries.suspect.verdict = x.gate.Quarantine.Crashed(psquarantine.Run{
		Fingerprint: x.fingerprint(), Workspace: x.workspaceName(), Route: x.routeName(),
		Target: x.request.URL.Path, Server: s,
	})
}

// isLoss reports whether the other side ended the connection. Answers that can't be
// understood are none.
func isLoss(err error) bool {
	for _, e := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// settle waits, for a bounded time, until the other VMs know of the request's crash, so that
// they refuse its repeat.
func (x *exchange) settle(ctx context.Context) {
	if !x.isSuspect() {
		return
	}
	t := time.NewTimer(psquarantine.SettleTime)
	defer t.Stop()
	select {
	case <-x.tries.suspect.verdict.Settled:
	case <-t.C:
	case <-ctx.Done():
	}
}
