// Package psbody buffers the bodies of callers' requests, so that a request can be sent again on a retry.
//
// A short body is buffered in memory, which is drawn from the account of the caller's connection, so that memory is bounded
// when many callers send bodies at once. A long body is streamed from the caller while it is sent to a server, which is
// possible only once.
package psbody

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"

	"persimmonstep/internal/connection/psbudget"
	"persimmonstep/internal/connection/pstransport"
)

const (
	// maxBufferedBytes is the length up to which a body is buffered in memory.
	maxBufferedBytes = 1 << 20
	// firstBytes is what is drawn from the budget at first for a body of unknown length. It doubles when it is full.
	firstBytes = 4 << 10
)

var (
	// ErrTooLarge reports that a body exceeds the limit passed to [Body.Read].
	ErrTooLarge = errors.New("read request body: length exceeds the limit")
	// ErrNoMemory reports that the memory budget has no room for the body.
	ErrNoMemory = errors.New("buffer request body: memory budget exhausted")
)

// Body is the body of a caller's request. The zero value is an empty body.
type Body struct {
	// Buffered is the complete body if it is short. Of a long body of unknown length it is the first part.
	Buffered []byte
	// remainder reads what follows Buffered in a long body; nil for a short one.
	remainder io.Reader
	// length is the body's length in bytes; -1 if unknown.
	length int64
	// account is that of the caller's connection, and held the number of bytes drawn from it.
	account *psbudget.Account
	held    int64
	// consumed is set once the body was read to its end.
	consumed atomic.Bool
}

// Read buffers the body of a request if it is short. A long body is left to be streamed; only if its length is
// unknown is its first part buffered. The limit is in bytes, and 0 allows any length.
func (b *Body) Read(w http.ResponseWriter, r *http.Request, limit int64) error {
	b.account = psbudget.Of(r.Context())
	b.length = r.ContentLength
	b.consumed.Store(r.ContentLength == 0)
	if limit > 0 {
		if r.ContentLength > limit {
			return ErrTooLarge
		}
		r.Body = http.MaxBytesReader(w, r.Body, limit)
	}
	switch {
	case r.ContentLength == 0:
		return nil
	case r.ContentLength > maxBufferedBytes:
		b.remainder = &eofReader{r.Body, &b.consumed}
		return nil
	}
	size := r.ContentLength
	if size < 0 {
		size = firstBytes
	}
	return b.buffer(r, size)
}

// buffer reads up to maxBufferedBytes. size is the expected length.
func (b *Body) buffer(r *http.Request, size int64) error {
	data, err := b.readAll(r.Body, size)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return ErrTooLarge
	case errors.Is(err, ErrNoMemory):
		return ErrNoMemory
	case err != nil:
		return errors.Wrap(err, "read request body")
	}
	b.Buffered = data
	if len(data) == maxBufferedBytes && b.length < 0 {
		b.remainder = &eofReader{r.Body, &b.consumed}
		return nil
	}
	b.consumed.Store(true)
	b.length = int64(len(data))
	return nil
}

// readAll reads up to maxBufferedBytes into a buffer, for which memory is drawn before it is allocated. size is the
// expected length, which is at least 1.
func (b *Body) readAll(source io.Reader, size int64) ([]byte, error) {
	var data []byte
	for {
		if !b.account.Take(size) {
			return nil, ErrNoMemory
		}
		larger := make([]byte, len(data), size)
		copy(larger, data)
		b.account.Return(b.held)
		data, b.held = larger, size
		for len(data) < cap(data) {
			n, err := source.Read(data[len(data):cap(data)])
			data = data[:len(data)+n]
			if err == io.EOF { //nolint:errorlint // io.EOF is never wrapped
				return data, nil
			}
			if err != nil {
				return nil, err
			}
		}
		if size == b.length {
			return data, b.readEnd(source)
		}
		if size == maxBufferedBytes {
			return data, nil
		}
		size = min(2*size, maxBufferedBytes)
	}
}

// readEnd reads the end of a body of known length, all of which was read.
func (b *Body) readEnd(source io.Reader) error {
	var extra [1]byte
	if _, err := source.Read(extra[:]); err != io.EOF { //nolint:errorlint // io.EOF is never wrapped
		return err
	}
	return nil
}

// Open returns a reader of the body for one attempt, and the length in bytes, which is -1 if unknown.
func (b *Body) Open() (io.ReadCloser, int64) {
	if b.remainder == nil {
		return pstransport.MemoryBody(b.Buffered), b.length
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.Buffered), b.remainder)), b.length
}

// Consumed reports whether the body was read to its end. An empty body always is.
func (b *Body) Consumed() bool { return b.consumed.Load() }

// eofReader records that its source was read to the end.
type eofReader struct {
	source     io.Reader
	reachedEOF *atomic.Bool
}

func (r *eofReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if err == io.EOF { //nolint:errorlint // io.EOF is never wrapped
		r.reachedEOF.Store(true)
	}
	return n, err
}

// SingleUse reports whether the body can be sent only once.
func (b *Body) SingleUse() bool { return b.remainder != nil }

// Close gives the body's memory back.
func (b *Body) Close() {
	b.account.Return(b.held)
	b.held = 0
}
