// Package psattempt sends a caller's request to one backend server and classifies how that ended.
//
// The result says whether the server may have executed the request, on which it depends whether the request may be sent
// to another server and what the caller can be told.
package psattempt

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/connection/psbody"
	"persimmonstep/internal/connection/psbudget"
	"persimmonstep/internal/connection/pspool"
	"persimmonstep/internal/connection/psresponse"
	"persimmonstep/internal/connection/pstransport"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/request/pskeepalive"
	"persimmonstep/platform/psheader"
)

// Request is a request of a caller to be sent to one server.
type Request struct {
	// Caller is the caller's request, and Body its body.
	Caller *http.Request
	Body   *psbody.Body
	// ID is the id of the request, and Workspace the workspace of the caller's key; empty on a route without keys.
	ID, Workspace string
	// Repeatable states that the request may run more than once.
	Repeatable bool
	// Deadline is when the response is due.
	Deadline time.Time
	Server   psserver.Entry
	// MaxConnections bounds the connections to the server.
	MaxConnections int
	// MaySend is called once a connection is available and reports whether the request may still be sent.
	MaySend func() bool
	// HeaderRead is called when the header of the response was read. At the end of the response the connection passes
	// to the next request, which must already take into account what the server announces.
	HeaderRead func(psheader.Response)
}

// Outcome is how an attempt ended.
type Outcome struct {
	Result Result
	// Response is the response of the server; nil if there is none that is complete.
	Response *psresponse.Response
	// DialTime is how long opening the connection took; 0 if one was reused.
	DialTime time.Duration
	// Invalid is set if the server sent what is no response; empty otherwise.
	Invalid pstransport.InvalidResponseError
}

// Sender sends requests to servers.
type Sender struct {
	Transport *pstransport.Transport
	// Now returns the current time with a monotonic reading.
	Now func() time.Time

	keepAlives keepAlives
}

// Send sends a request to its server and reads the response.
func (s *Sender) Send(ctx context.Context, r Request) Outcome {
	reply, err := s.exchange(ctx, r)
	out := Outcome{DialTime: reply.DialTime}
	if err != nil {
		_ = errors.As(err, &out.Invalid)
		out.Result = ResultOfError(ctx, r.Caller, reply.Sent, err)
		s.recordKeepAlive(r, reply, out.Result == Lost && out.Invalid == "")
		return out
	}
	s.recordKeepAlive(r, reply, false)
	out.Response, out.Result = s.readResponse(ctx, r, reply)
	if out.Response != nil && out.Result != Answered && out.Result != ServerError {
		out.Response.Close()
	}
	return out
}

func (s *Sender) exchange(ctx context.Context, r Request) (pstransport.Result, error) {
	matches := func(raw *http.Response, reused bool) bool {
		h := psheader.ReadResponse(raw.StatusCode, raw.Header)
		if !Belongs(h.ID, r.ID, reused) {
			return false
		}
		s.keepAlives.with(r.Server.Service, func(v *pskeepalive.History) { v.RecordStated(readKeepAlive(raw.Header)) })
		// A response of another server at the same address does not describe this one.
		if raw.StatusCode != http.StatusMisdirectedRequest {
			r.HeaderRead(h)
		}
		return true
	}
	maxIdle := s.keepAlives.maxIdle(r.Server.Service, r.Repeatable, s.Now())
	options := pstransport.Options{MaxIdle: maxIdle, AcceptCloseDelimited: true, MaySend: r.MaySend, Matches: matches}
	return s.Transport.SendWith(ctx, r.Server.Address, r.MaxConnections, s.upstreamRequest(r), options)
}

// recordKeepAlive records whether a request was lost, on a reused or a new connection.
func (s *Sender) recordKeepAlive(r Request, reply pstransport.Result, lost bool) {
	if reply.Sent {
		s.keepAlives.with(r.Server.Service, func(h *pskeepalive.History) { h.Record(reply.IdleTime, lost, s.Now()) })
	}
}

// Belongs reports whether a response with an id, or without one, is that to a request. Without an id it may be an earlier
// response that the server sends again, if the connection has served other requests.
func Belongs(response, request string, reused bool) bool {
	if response == "" {
		return !reused || request == ""
	}
	return response == request
}

// upstreamRequest returns the request as it is sent to the server.
func (s *Sender) upstreamRequest(r Request) *http.Request {
	header := psresponse.EndToEndHeaders(r.Caller.Header)
	psheader.WriteForward(header, psheader.Forward{Server: r.Server.ID, Workspace: r.Workspace, Left: r.Deadline.Sub(s.Now())})
	return NewRequest(r.Caller, r.Body, header, r.Server.Address)
}

// NewRequest returns a caller's request with other headers, to be sent to an address.
func NewRequest(caller *http.Request, body *psbody.Body, header http.Header, address netip.AddrPort) *http.Request {
	if header.Get("User-Agent") == "" {
		// Without this, net/http adds a User-Agent of its own.
		header["User-Agent"] = []string{""}
	}
	reader, length := body.Open()
	from := caller.URL
	to := &url.URL{
		Scheme: "http", Host: address.String(), Path: from.Path, RawPath: from.RawPath,
		RawQuery: from.RawQuery, ForceQuery: from.ForceQuery,
	}
	return &http.Request{
		Method: caller.Method, URL: to, Host: caller.Host, Header: header, Body: reader, ContentLength: length,
	}
}

// readResponse reads a response and returns the result of the attempt.
func (s *Sender) readResponse(ctx context.Context, r Request, reply pstransport.Result) (*psresponse.Response, Result) {
	response, err := psresponse.Read(reply.Response, psbudget.Of(ctx), reply.Held)
	if err == nil {
		return response, resultOf(response.Class())
	}
	switch {
	case r.Caller.Context().Err() != nil:
		return nil, Canceled
	case !s.Now().Before(r.Deadline):
		return nil, Timeout
	}
	return nil, Lost
}

// ResultOfError returns the result of an attempt that has no response: the attempt's context has ended, the caller has
// disconnected or the exchange has failed. sent says that at least one byte may have arrived.
func ResultOfError(ctx context.Context, caller *http.Request, sent bool, err error) Result {
	var body *pstransport.BodyError
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return TooLarge
	case errors.Is(err, pstransport.ErrMayNotSend), noDescriptors(err):
		return Unsent
	case caller.Context().Err() != nil || errors.As(err, &body):
		return Canceled
	case ctx.Err() != nil && sent:
		return Timeout
	case ctx.Err() != nil:
		return Unsent
	case !sent:
		return Unreachable
	}
	return Lost
}

// noDescriptors reports whether a connection was not opened because this VM has too many, which is no failure of the server.
func noDescriptors(err error) bool {
	return errors.Is(err, pspool.ErrNoDescriptors) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
