package psproxy

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/connection/psaccess"
	"persimmonstep/internal/connection/pscaller"
	"persimmonstep/internal/connection/psforward"
	"persimmonstep/internal/connection/psresponse"
	"persimmonstep/internal/process/psevent"
)

// finish logs the outcome of the call and writes the response to the caller.
func (c *call) finish(o outcome) {
	defer c.body.Close()
	switch o := o.(type) {
	case answered:
		c.logOutcome(psevent.RequestAnswered, o.response.Status, "", 0)
		defer c.prepareResponse()()
		c.relay(o.response)
	case rejected:
		c.logOutcome(psevent.RequestRejected, o.status, o.reason, o.retryAfter)
		if c.isForwarded() {
			psforward.WriteRejected(c.writer.Header(), o.reason)
		} else {
			c.proxy.callerDeadlines.NoteRejection(c.arrivedAt, o.retryAfter)
		}
		c.writeError(o.status, o.retryAfter)
	case failed:
		c.logOutcome(psevent.RequestFailed, o.status, o.reason, 0)
		if c.isForwarded() {
			psforward.WriteFailed(c.writer.Header(), o.reason)
		}
		c.writeError(o.status, 0)
	case canceled:
		c.logOutcome(psevent.RequestCanceled, 0, "", 0)
		panic(http.ErrAbortHandler)
	}
}

// relay forwards a response. If that fails, the caller's connection is reset, so that a truncated response does not
// look complete.
func (c *call) relay(response *psresponse.Response) {
	if c.isForwarded() {
		psforward.RemoveOutcome(response.Header)
	}
	err := response.Relay(c.writer)
	if err == nil {
		return
	}
	source := c.helper
	if source == "" {
		last := c.attempts[len(c.attempts)-1]
		source = last.View.Entry.ID
		c.recordTruncated(last, response, err)
	}
	psevent.ResponseTruncated.Log(c.proxy.options.Logger, c.headers.ID, source, err.Error())
	pscaller.Abort()
}

// recordTruncated records that the response of an attempt could not be forwarded completely, if that is a failure of the
// server.
func (c *call) recordTruncated(last psaccess.Attempt, response *psresponse.Response, err error) {
	now := c.proxy.options.Now()
	var truncated *psresponse.TruncatedError
	// A caller may read a response of declared length so slowly that the deadline passes. That is no failure of the
	// server.
	late := !now.Before(c.deadline) && response.HasLength()
	if errors.As(err, &truncated) && c.request.Context().Err() == nil && !late {
		last.Server.RecordOutcome(0, true, now)
	}
}

// writeError responds to the caller without a response of a backend server.
func (c *call) writeError(status int, retryAfter time.Duration) {
	f := pscaller.Refusal{Status: status, RequestID: c.headers.ID, RetryAfter: retryAfter}
	f.WriteHeader(c.writer.Header())
	defer c.prepareResponse()()
	f.WriteBody(c.writer)
}

// logOutcome records how the call ended.
func (c *call) logOutcome(e psevent.Event, status int, reason string, retryAfter time.Duration) {
	now := c.proxy.options.Now()
	r := psaccess.Record{
		Event: e, ID: c.headers.ID, Workspace: c.workspaceName(), Object: c.headers.Object, Route: c.route, Status: status, Reason: reason,
		Attempts: c.attempts, Took: now.Sub(c.arrivedAt), Left: c.headers.Left, ServersAge: now.Sub(c.proxy.control.Snapshot().ServersReadAt),
		RetryAfter: retryAfter, Helper: c.helper, From: c.origin.VM,
	}
	if e.Number == psevent.RequestRejected.Number {
		r.Basis = c.basis
	}
	if c.snapshot.Index != nil {
		r.Version = c.snapshot.Index.Configuration.Version
	}
	c.proxy.log.Write(r, now)
}

// LogDroppedLines logs how many log lines were dropped since the last call: those beyond the rate limits, and those
// that the output was too slow for, which the argument counts.
func (p *Proxy) LogDroppedLines(dropped int64) {
	if n := dropped + p.log.Dropped(); n > 0 {
		psevent.LinesDropped.Log(p.options.Logger, n)
	}
}

// prepareResponse decides, before a response is written, whether the connection closes with it. The returned function must
// be called after the response.
func (c *call) prepareResponse() func() {
	if c.proxy.draining.Load() {
		pscaller.CloseWhenLast(c.writer)
	}
	if !c.body.Consumed() && c.request.ContentLength != 0 {
		pscaller.RespondEarly(c.writer)
		return func() { pscaller.StopReading(c.writer) }
	}
	return func() {}
}
