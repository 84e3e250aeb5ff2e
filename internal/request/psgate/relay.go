package psgate

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/request/psproblem"
)

const (
	// prefetchBytes is how much of an idempotent request's answer is held back, so that a
	// truncated answer can be tried again while the caller has seen nothing of it.
	prefetchBytes = 64 << 10
	copyBytes     = 32 << 10
	// callerTimeout bounds the wait for a caller to take a part of its answer.
	callerTimeout = 30 * time.Second
	headerTrailer = "Trailer"
)

// runLookup sends an idempotent request and relays its answer.
func (x *exchange) runLookup() error {
	ctx, cancel := x.deadline(x.request.Context())
	defer cancel()
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
	head := prefetch(a.response)
	n, whole, err := readHead(body, head)
	if err != nil {
		if x.again(ctx) {
			return true, nil
		}
		if ctx.Err() != nil {
			return false, psproblem.Unknown(http.StatusGatewayTimeout, "timeout", "the backend server's answer did not end in time")
		}
		return false, psproblem.Unknown(http.StatusBadGateway, "truncated", "the backend server's answer broke off")
	}
	if whole {
		// A caller that is slow to take its answer occupies no slot.
		a.close()
	}
	x.writeHeader(a.response)
	if n > 0 {
		if _, err := x.writer.Write(head[:n]); err != nil {
			return false, nil
		}
	}
	if whole {
		x.writeTrailer(a.response)
		return false, nil
	}
	x.copyRest(body)
	x.writeTrailer(a.response)
	return false, nil
}

// prefetch makes the buffer for the answer's first part.
func prefetch(r *http.Response) []byte {
	if n := r.ContentLength; n >= 0 && n < prefetchBytes {
		// One byte more lets the reader meet the end.
		return make([]byte, n+1)
	}
	return make([]byte, prefetchBytes)
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
	for n := range r.Trailer {
		if !dropped(n) {
			h.Add(headerTrailer, n)
		}
	}
	h.Set(headerRequestID, x.id)
	x.status = r.StatusCode
	x.allowWrite(callerTimeout)
	x.writer.WriteHeader(r.StatusCode)
}

// writeTrailer passes on the trailers, which are known when the body was read to its end.
func (x *exchange) writeTrailer(r *http.Response) {
	if x.broken {
		return
	}
	announced := x.writer.Header()[headerTrailer]
	for n, v := range r.Trailer {
		if dropped(n) {
			continue
		}
		if !slices.ContainsFunc(announced, func(a string) bool { return strings.EqualFold(a, n) }) {
			n = http.TrailerPrefix + n
		}
		x.writer.Header()[n] = v
	}
}

// copyRest streams the rest of an answer. Where it breaks off, the exchange is broken: the
// caller's connection is aborted, so that the answer cannot pass for whole.
func (x *exchange) copyRest(body io.Reader) {
	buffer := make([]byte, copyBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			x.allowWrite(callerTimeout)
			if _, werr := x.writer.Write(buffer[:n]); werr != nil {
				x.broken = true
				return
			}
			_ = x.controller.Flush()
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			x.broken = true
			return
		}
	}
}

// allowWrite gives the caller a time to take what is written next. Writers without
// deadlines, which only tests have, go without.
func (x *exchange) allowWrite(d time.Duration) {
	_ = x.controller.SetWriteDeadline(time.Now().Add(d))
}
