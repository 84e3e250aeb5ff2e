package psgate

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/request/psproblem"
	"persimmonstep/internal/version/psdoc"
)

const (
	// prefetchBytes is how much of an idempotent request's answer is held back, so that a
	// truncated answer can be tried again while the caller has seen nothing of it.
	prefetchBytes = 64 << 10
	copyBytes     = 32 << 10
)

// runPlain sends a request that needs no claim and relays its answer.
func (x *exchange) runPlain() error {
	ctx, cancel := x.deadline(x.request.Context())
	defer cancel()
	if x.route.Kind == psdoc.KindUpload {
		x.request.Body = watch(x.request.Body, x.route.Deadline, cancel)
	}
	for {
		a, err := x.send(ctx)
		if err != nil {
			return err
		}
		again, err := x.relay(ctx, a)
		a.close()
		if !again {
			return err
		}
	}
}

// relay copies an answer to the caller. It reports true if the answer broke off before the
// caller saw any of it and another try is allowed.
func (x *exchange) relay(ctx context.Context, a *attempt) (bool, error) {
	body := a.response.Body
	if x.route.Kind == psdoc.KindUpload {
		body = watch(body, x.route.Deadline, func() { _ = a.response.Body.Close() })
	}
	head := make([]byte, prefetchBytes)
	n, whole, err := readHead(body, head)
	if err != nil {
		if x.again(ctx) {
			return true, nil
		}
		return false, psproblem.Unknown(http.StatusBadGateway, "truncated", "the backend server's answer broke off")
	}
	x.writeHeader(a.response)
	if _, err := x.writer.Write(head[:n]); err != nil || whole {
		return false, nil
	}
	x.copyRest(body)
	return false, nil
}

// readHead fills the buffer or reads to the body's end, and reports whether it met the end.
// It can't be io.ReadFull, which takes a short body and a broken one for the same.
func readHead(body io.Reader, buffer []byte) (int, bool, error) {
	n := 0
	for n < len(buffer) {
		m, err := body.Read(buffer[n:])
		n += m
		if errors.Is(err, io.EOF) {
			return n, true, nil
		}
		if err != nil {
			return n, false, err
		}
	}
	return n, false, nil
}

func (x *exchange) writeHeader(r *http.Response) {
	h := x.writer.Header()
	for k, v := range endToEnd(r.Header) {
		h[k] = v
	}
	h.Set(headerRequestID, x.id)
	x.status = r.StatusCode
	x.writer.WriteHeader(r.StatusCode)
}

// copyRest streams the rest of an answer. Where it breaks off, the caller's connection is
// aborted, so that the answer cannot pass for whole.
func (x *exchange) copyRest(body io.Reader) {
	flusher := http.NewResponseController(x.writer)
	buffer := make([]byte, copyBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, werr := x.writer.Write(buffer[:n]); werr != nil {
				return
			}
			_ = flusher.Flush()
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// progressReader calls stop when no byte came for a span.
type progressReader struct {
	io.ReadCloser
	timer *time.Timer
	span  time.Duration
}

// watch bounds the time between two reads that bring something.
func watch(r io.ReadCloser, span time.Duration, stop func()) io.ReadCloser {
	return &progressReader{ReadCloser: r, timer: time.AfterFunc(span, stop), span: span}
}

// Read reads and starts the span anew.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.ReadCloser.Read(b)
	switch {
	case err != nil:
		p.timer.Stop()
	case n > 0:
		p.timer.Reset(p.span)
	}
	return n, err
}

// Close ends the watch.
func (p *progressReader) Close() error {
	p.timer.Stop()
	return p.ReadCloser.Close()
}
