package psserve

import (
	"net/http"
	"time"

	"persimmonstep/internal/connection/psinbound"
	"persimmonstep/internal/process/psevent"
)

// host is the server as its connections see it. It implements [psinbound.Server].
type host struct {
	server *Server
}

// MayOverlap reports whether a request may run beside earlier ones.
func (h host) MayOverlap(r *http.Request) bool { return h.server.overlap(r) }

// IsDraining reports whether the server shuts down.
func (h host) IsDraining() bool { return h.server.draining.Load() }

// Run runs a request on an idle worker, whose stack has already grown, or on a new one.
func (h host) Run(e *psinbound.Exchange) {
	select {
	case h.server.work <- e:
	default:
		go h.server.serveRequests(e)
	}
}

// Pipelined records that a request was begun beside earlier ones.
func (h host) Pipelined() { h.server.options.Metrics.count(h.server.options.Name, "pipelined") }

// Closed records that the server has closed a connection.
func (h host) Closed(c *psinbound.Conn, reason string) {
	s := h.server
	s.options.Metrics.count(s.options.Name, reason)
	if reason != psinbound.ReasonIdle && reason != psinbound.ReasonShutdown && s.lines.Allow(time.Now()) {
		psevent.ConnectionClosed.Log(s.options.Logger, s.options.Name, c.RemoteAddr(), reason)
	}
}

// Refused records that the head of a request was refused.
func (h host) Refused(c *psinbound.Conn, reason string, status int) {
	s := h.server
	s.options.Metrics.count(s.options.Name, "head:"+reason)
	if s.lines.Allow(time.Now()) {
		psevent.HeadRefused.Log(s.options.Logger, s.options.Name, c.RemoteAddr(), reason, status)
	}
}

// Ended removes a connection that has ended.
func (h host) Ended(c *psinbound.Conn) { h.server.conns.Remove(c) }
