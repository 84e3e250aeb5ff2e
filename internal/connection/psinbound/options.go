// Package psinbound serves one HTTP/1.1 connection that a caller or another VM has opened.
//
// It answers this load: callers that send further requests before the first response, send heads slowly or without end, read
// responses slowly, or disconnect while their requests run. Everything that the connection holds is drawn from its account
// of [psbudget].
//
// One goroutine reads a connection, ahead of the responses, so that it detects a caller that disconnects. Each request runs
// on a goroutine of its own. [psconnection.Pipeline] decides which requests run side by side and in which order they are
// answered.
package psinbound

import (
	"net/http"

	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/connection/psbudget"
)

// Server is what a connection needs of its server.
type Server interface {
	// MayOverlap reports whether a request may run beside earlier ones, and later ones beside it.
	MayOverlap(r *http.Request) bool
	// IsDraining reports whether the server shuts down.
	IsDraining() bool
	// Run calls [Exchange.Serve] on another goroutine.
	Run(e *Exchange)
	// Pipelined records that a request was begun beside earlier ones.
	Pipelined()
	// Closed records that the connection was closed for one of the reasons below.
	Closed(c *Conn, reason string)
	// Refused records that the head of a request was refused.
	Refused(c *Conn, reason string, status int)
	// Ended records that the connection has ended.
	Ended(c *Conn)
}

// Options are the settings and dependencies that all connections of a server share.
type Options struct {
	Server  Server
	Budget  *psbudget.Budget
	Handler http.Handler
	// Name names the listener in logs.
	Name   string
	Logger hclog.Logger
}

// Reasons for which connections are closed, besides the caller's own.
const (
	ReasonIdle        = "idle"
	ReasonDescriptors = "descriptors"
	ReasonMemory      = "memory"
	ReasonShutdown    = "shutdown"
)
