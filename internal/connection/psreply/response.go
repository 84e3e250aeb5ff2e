// Package psreply writes the response to a request of a caller, as an [http.ResponseWriter].
//
// It frames the response, waits until earlier responses on the connection are written, and draws what it holds from the
// connection's account.
package psreply

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/connection/psbudget"
)

const (
	// writerSize is the size of the buffer of a response in bytes, and pendingBytes the length up to which a response of
	// undeclared length is held so that it gets a length.
	writerSize   = 4 << 10
	pendingBytes = 2 << 10
	// pieceBytes is how much of a response is written at a time, so that a caller that reads slowly makes progress.
	pieceBytes = 64 << 10
	// refusalTime bounds the time to write a refusal.
	refusalTime = time.Second
)

var errNoTurn = errors.New("write response: connection closes with an earlier response")

// undeclared is the length of a body whose length the handler hasn't declared.
const undeclared = -1

// Exchange is the request on its connection.
type Exchange interface {
	// BeginResponse reports whether the connection closes with the response, whose turn it is. must states that it has to,
	// and whenLast that it closes if no further request has begun.
	BeginResponse(must, whenLast bool) bool
	// BodyRead records that the body was read to its end.
	BodyRead()
	// SetReadDeadline sets the deadline for the body, while it is read.
	SetReadDeadline(t time.Time) error
	// Wait records whether the caller has to send or read something.
	Wait(forCaller bool)
	// Break resets the connection.
	Break()
}

// Options are the request and its connection.
type Options struct {
	Exchange Exchange
	Conn     net.Conn
	Account  *psbudget.Account
	Request  *http.Request
	// Turn is closed when earlier responses are written; nil if there were none.
	Turn <-chan struct{}
}

// Response is the response to a request, as an [http.ResponseWriter].
type Response struct {
	Options
	body   *body
	header http.Header
	status int
	// length is the declared length of the body, and written what the handler has written of it, in bytes.
	length, written int64
	// pending holds the beginning of a body of undeclared length until the header is written.
	pending []byte
	out     *bufio.Writer
	// closes is set if the connection closes with this response.
	closes    bool
	chunked   bool
	whenLast  bool
	err       error
	headMutex sync.Mutex
	// headWritten is set once the status line and the header are written.
	headWritten atomic.Bool
}

// New returns the response to a request, whose body it replaces by one that is read as the handler asks for it.
func New(o Options) *Response {
	w := &Response{Options: o, header: make(http.Header, 8), length: undeclared}
	if o.Request.Body != http.NoBody {
		w.body = &body{source: o.Request.Body, response: w}
		o.Request.Body = w.body
	}
	return w
}

// Fault is a panic of a handler.
type Fault struct {
	Value any
	Stack string
}

// Serve runs a handler and completes the response. It returns the panic of the handler, unless that only gives up the
// response; nil without one.
func (w *Response) Serve(h http.Handler) *Fault {
	defer func() {
		if w.out != nil {
			returnWriter(w.out)
		}
	}()
	if expect := w.Request.Header.Get("Expect"); expect != "" && !strings.EqualFold(expect, "100-continue") {
		w.WriteHeader(http.StatusExpectationFailed)
	} else if completed, fault := w.handle(h); !completed {
		w.abort()
		return fault
	}
	w.finish()
	return nil
}

// handle runs the handler. It returns false if the handler gives up the response, and its panic if that is a fault.
func (w *Response) handle(h http.Handler) (completed bool, fault *Fault) {
	defer func() {
		if v := recover(); v != nil && v != http.ErrAbortHandler { //nolint:errorlint // panics aren't wrapped
			fault = &Fault{v, string(debug.Stack())}
		}
	}()
	h.ServeHTTP(w, w.Request)
	return true, nil
}

// Header implements [http.ResponseWriter].
func (w *Response) Header() http.Header { return w.header }

// WriteHeader implements [http.ResponseWriter].
func (w *Response) WriteHeader(status int) {
	if status < 100 || status > 999 {
		panic(errors.Errorf("write response: invalid status %d", status))
	}
	if w.status != 0 || status < 200 {
		return
	}
	w.status = status
	if text := w.header.Get("Content-Length"); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 0 {
			w.header.Del("Content-Length")
			return
		}
		w.length = n
	}
}

// bodyAllowed reports whether the response may have a body.
func (w *Response) bodyAllowed() bool {
	return w.status != http.StatusNoContent && w.status != http.StatusNotModified
}

// Write implements [http.ResponseWriter]. It waits for the turn of the response.
func (w *Response) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	switch {
	case w.err != nil:
		return 0, w.err
	case len(p) == 0:
		return 0, nil
	case !w.bodyAllowed():
		return 0, http.ErrBodyNotAllowed
	case w.length != undeclared && w.written+int64(len(p)) > w.length:
		return 0, http.ErrContentLength
	}
	w.written += int64(len(p))
	if !w.headWritten.Load() && w.length == undeclared && len(w.pending)+len(p) <= pendingBytes {
		w.pending = append(w.pending, p...)
		return len(p), nil
	}
	if w.err = w.writeHead(p, false); w.err == nil {
		w.err = w.writeBody(p)
	}
	if w.err != nil {
		return 0, w.err
	}
	return len(p), nil
}

// awaitTurn waits until all earlier responses are written.
func (w *Response) awaitTurn() error {
	if w.Turn == nil {
		return nil
	}
	select {
	case <-w.Turn:
		return nil
	case <-w.Request.Context().Done():
		return errNoTurn
	}
}

// writeHead writes the status line and the header, unless they are written. body is the first part of the body that
// isn't pending, and complete states that the body ends with it.
func (w *Response) writeHead(body []byte, complete bool) error {
	if w.headWritten.Load() {
		return nil
	}
	if err := w.awaitTurn(); err != nil {
		return err
	}
	w.headMutex.Lock()
	defer w.headMutex.Unlock()
	w.out = takeWriter(callerWriter{w})
	w.complete(body, complete)
	w.headWritten.Store(true)
	return w.writeBody(w.pending)
}

// complete writes the status line and the header with the fields that the protocol needs.
func (w *Response) complete(body []byte, complete bool) {
	h, atLeast11 := w.header, w.Request.ProtoAtLeast(1, 1)
	head := w.Request.Method == http.MethodHead
	h.Del("Transfer-Encoding")
	if !w.bodyAllowed() {
		h.Del("Content-Length")
	}
	if w.status == http.StatusNotModified {
		h.Del("Content-Type")
	}
	if complete && w.length == undeclared && w.bodyAllowed() && (!head || w.written > 0) {
		w.length = w.written
		h.Set("Content-Length", strconv.FormatInt(w.length, 10))
	}
	endless := w.length == undeclared && w.bodyAllowed() && !head
	w.chunked = endless && atLeast11
	if w.chunked {
		h.Set("Transfer-Encoding", "chunked")
	}
	if _, found := h["Content-Type"]; !found && w.bodyAllowed() && w.written > 0 && h.Get("Content-Encoding") == "" {
		h.Set("Content-Type", sniff(w.pending, body))
	}
	must := w.Request.Close || endless && !atLeast11 || w.body != nil && !w.body.done.Load() || hasToken(h["Connection"], "close")
	w.closes = w.Exchange.BeginResponse(must, w.whenLast)
	switch {
	case w.closes:
		h.Set("Connection", "close")
	case !atLeast11:
		h.Set("Connection", "keep-alive")
	default:
		delete(h, "Connection")
	}
	protocol := "HTTP/1.1 "
	if !atLeast11 {
		protocol = "HTTP/1.0 "
	}
	_, _ = w.out.WriteString(protocol)
	_, _ = w.out.Write(strconv.AppendInt(w.out.AvailableBuffer(), int64(w.status), 10))
	_ = w.out.WriteByte(' ')
	_, _ = w.out.WriteString(statusText(w.status))
	_, _ = w.out.WriteString("\r\n")
	if _, found := h["Date"]; !found {
		_, _ = w.out.WriteString("Date: ")
		_, _ = w.out.WriteString(date(time.Now()))
		_, _ = w.out.WriteString("\r\n")
	}
	// Errors stay in the writer until it is flushed.
	_ = h.Write(w.out)
	_, _ = w.out.WriteString("\r\n")
}

// sniff guesses the type of a body from its beginning, as the server of net/http does.
func sniff(pending, rest []byte) string {
	if len(pending) == 0 {
		return http.DetectContentType(rest)
	}
	return http.DetectContentType(pending)
}

// writeBody writes a part of the body.
func (w *Response) writeBody(p []byte) error {
	if len(p) == 0 || w.Request.Method == http.MethodHead {
		return nil
	}
	if w.chunked {
		_, _ = w.out.Write(strconv.AppendInt(w.out.AvailableBuffer(), int64(len(p)), 16))
		_, _ = w.out.WriteString("\r\n")
	}
	_, err := w.out.Write(p)
	if w.chunked {
		_, err = w.out.WriteString("\r\n")
	}
	return err
}

// finish completes the response after the handler has returned.
func (w *Response) finish() {
	if w.body != nil && !w.body.done.Load() {
		// A goroutine of the handler may still read the body.
		_ = w.Exchange.SetReadDeadline(time.Now())
		w.body.end()
	}
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if w.err == nil {
		w.err = w.writeHead(nil, true)
	}
	if w.err == nil && w.chunked {
		_, w.err = w.out.WriteString("0\r\n\r\n")
	}
	if w.err == nil {
		w.err = w.out.Flush()
	}
	short := w.bodyAllowed() && w.Request.Method != http.MethodHead && w.length != undeclared && w.written != w.length
	if w.err != nil || short {
		w.abort()
	}
}

// abort gives up the response. If a part of it was written, the connection is reset, so that it doesn't look complete.
// Otherwise, the connection closes after the earlier responses.
func (w *Response) abort() {
	if w.body != nil {
		_ = w.Exchange.SetReadDeadline(time.Now())
		w.body.end()
	}
	if !w.headWritten.Load() && w.awaitTurn() == nil {
		w.Exchange.BeginResponse(true, false)
		return
	}
	if w.headWritten.Load() {
		w.Exchange.Break()
	}
}

// Flush implements [http.Flusher].
func (w *Response) Flush() { _ = w.FlushError() }

// FlushError sends what was written, for [http.ResponseController].
func (w *Response) FlushError() error {
	if w.status == 0 {
		w.WriteHeader(http.StatusOK)
	}
	if w.err == nil {
		w.err = w.writeHead(nil, false)
	}
	if w.err == nil {
		w.err = w.out.Flush()
	}
	return w.err
}

// EnableFullDuplex implements the method of [http.ResponseController]. A response never waits for the body.
func (w *Response) EnableFullDuplex() error { return nil }

// SetReadDeadline sets the deadline for the body, for [http.ResponseController]. It has no effect on a request without a
// body or after its end.
func (w *Response) SetReadDeadline(t time.Time) error {
	if w.body == nil {
		return nil
	}
	return w.Exchange.SetReadDeadline(t)
}

// SetWriteDeadline sets the deadline for the response, for [http.ResponseController].
func (w *Response) SetWriteDeadline(t time.Time) error { return w.Conn.SetWriteDeadline(t) }

// CloseWhenLast closes the connection with this response if no further request has begun. A VM that shuts down so keeps
// its word to requests that it has read.
func (w *Response) CloseWhenLast() { w.whenLast = true }

// writeContinue lets the caller send the body if it waits for that.
func (w *Response) writeContinue() error {
	if !expectsContinue(w.Request) {
		return nil
	}
	w.headMutex.Lock()
	defer w.headMutex.Unlock()
	if w.headWritten.Load() {
		return nil
	}
	_, err := io.WriteString(w.Conn, "HTTP/1.1 100 Continue\r\n\r\n")
	return err
}

// callerWriter writes responses to the caller.
type callerWriter struct{ response *Response }

func (c callerWriter) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		c.response.Exchange.Wait(true)
		n, err := c.response.Conn.Write(p[written:min(len(p), written+pieceBytes)])
		c.response.Exchange.Wait(false)
		written += n
		if err != nil {
			return written, err
		}
		c.response.Account.Progress()
	}
	return written, nil
}

// WriteRefusal responds to a head that can't be read, with further headers. The connection must be closed after it.
func WriteRefusal(c net.Conn, status int, h http.Header) {
	out := takeWriter(c)
	defer returnWriter(out)
	text := http.StatusText(status) + "\n"
	_, _ = fmt.Fprintf(out, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: %d\r\n",
		status, http.StatusText(status), len(text))
	_ = h.Write(out)
	_, _ = io.WriteString(out, "\r\n"+text)
	_ = c.SetWriteDeadline(time.Now().Add(refusalTime))
	_ = out.Flush()
}

// writers holds buffers of responses.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writerSize) }}

func takeWriter(to io.Writer) *bufio.Writer {
	w := writers.Get().(*bufio.Writer) //nolint:revive,forcetypeassert // the pool holds nothing else
	w.Reset(to)
	return w
}

func returnWriter(w *bufio.Writer) {
	w.Reset(nil)
	writers.Put(w)
}

// statusText returns the text of a status line.
func statusText(status int) string {
	if text := http.StatusText(status); text != "" {
		return text
	}
	return "status code " + strconv.Itoa(status)
}

// hasToken reports whether a list of values, separated by commas, contains a token.
func hasToken(values []string, token string) bool {
	return slices.ContainsFunc(values, func(v string) bool {
		for part := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
		return false
	})
}

// datedAt is a formatted date.
type datedAt struct {
	second int64
	text   string
}

var lastDate atomic.Pointer[datedAt]

// date returns the value of the header Date. It is formatted once a second.
func date(now time.Time) string {
	if d := lastDate.Load(); d != nil && d.second == now.Unix() {
		return d.text
	}
	d := &datedAt{now.Unix(), now.UTC().Format(http.TimeFormat)}
	lastDate.Store(d)
	return d.text
}
