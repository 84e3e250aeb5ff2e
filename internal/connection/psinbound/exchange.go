package psinbound

import (
	"context"
	"net/http"
	"slices"
	"time"

	"persimmonstep/internal/connection/pscaller"
	"persimmonstep/internal/connection/psreply"
	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/request/psconnection"
)

// Exchange is a request in progress and its response. It implements [psreply.Exchange].
type Exchange struct {
	conn    *Conn
	request *http.Request
	cancel  context.CancelFunc
	id      int
	// head is what was drawn for the head, and response what was drawn for the response before it began, in bytes.
	head, response int64
	// turn is closed when the responses to earlier requests are written; nil if there were none.
	turn chan struct{}
}

// newExchange returns a request that is about to run. readAt is when it was read, if it has waited since.
func newExchange(c *Conn, r *http.Request, readAt time.Time, head, response int64) *Exchange {
	ctx, cancel := context.WithCancel(c.ctx)
	if !readAt.IsZero() {
		ctx = pscaller.WithArrival(ctx, readAt)
	}
	r = r.WithContext(ctx)
	r.RemoteAddr = c.remote
	return &Exchange{conn: c, request: r, cancel: cancel, head: head, response: response}
}

// Serve runs the handler and completes the response.
func (e *Exchange) Serve() {
	o := e.conn.options
	w := psreply.New(psreply.Options{
		Exchange: e, Conn: e.conn.tcp, Account: e.conn.account, Request: e.request, Turn: e.turn,
	})
	if fault := w.Serve(o.Handler); fault != nil {
		psevent.HandlerFailed.Log(o.Logger, o.Name, fault.Value, fault.Stack)
	}
	e.cancel()
	e.conn.ended(e)
}

// BeginResponse reports whether the connection closes with the response, whose turn it is. If so, the requests behind it
// are cancelled.
func (e *Exchange) BeginResponse(must, whenLast bool) bool {
	c := e.conn
	c.mutex.Lock()
	defer c.mutex.Unlock()
	closes := c.pipeline.BeginResponse(must, whenLast || c.options.Server.IsDraining())
	if closes {
		for _, v := range c.begun[1:] {
			v.cancel()
		}
	}
	return closes
}

// BodyRead records that the body was read to its end, so that the connection can be read again.
func (e *Exchange) BodyRead() {
	c := e.conn
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.body == e {
		c.body = nil
		// The handler may have set a deadline for the body.
		_ = c.tcp.SetReadDeadline(time.Time{})
		c.changed.Broadcast()
	}
}

// SetReadDeadline sets the deadline for the body, while it is read.
func (e *Exchange) SetReadDeadline(t time.Time) error {
	e.conn.mutex.Lock()
	defer e.conn.mutex.Unlock()
	if e.conn.body != e {
		return nil
	}
	return e.conn.tcp.SetReadDeadline(t)
}

// Wait records whether the caller has to send or read something.
func (e *Exchange) Wait(forCaller bool) {
	if forCaller {
		e.conn.setActivity(psconnection.Blocked)
		return
	}
	e.conn.setActivity(psconnection.Running)
}

// Break resets the connection.
func (e *Exchange) Break() {
	e.conn.mutex.Lock()
	defer e.conn.mutex.Unlock()
	e.conn.abandon()
}

// ended records that a response is complete or was given up. The next one gets its turn, or all are cancelled if the
// connection closes.
func (c *Conn) ended(e *Exchange) {
	c.account.Return(e.head + e.response)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	turn := c.pipeline.IsTurn(e.id)
	next := c.pipeline.End(e.id)
	c.begun = slices.DeleteFunc(c.begun, func(v *Exchange) bool { return v == e })
	if next != 0 && c.begun[0].turn != nil {
		close(c.begun[0].turn)
	}
	if c.body == e {
		c.body = nil
	}
	switch {
	case c.pipeline.Closing():
		if !turn {
			break
		}
		c.cancel()
		// The reader may wait for the next request.
		_ = c.tcp.SetReadDeadline(time.Now())
	case c.pipeline.Len() > 0:
	case c.reading:
		c.setActivity(psconnection.SendingHead)
	default:
		c.setActivity(psconnection.Idle)
	}
	c.changed.Broadcast()
}
