// Package psbody buffers the bodies of callers' requests, so that a request can be sent again on a retry.
//
// A short body is buffered in memory, within a budget that all requests share and that bounds memory when many
// callers send bodies at once. A long body is streamed from the caller while it is sent to a server, which is
// possible only once.
package psbody

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"persimmonstep/internal/connection/pstransport"
)

const (
	// maxBufferedBytes is the length up to which a body is buffered in memory.
	maxBufferedBytes = 1 << 20
	// maxTotalBytes bounds all buffered bodies together.
	maxTotalBytes = 64 << 20
)

var (
	// ErrTooLarge reports that a body exceeds the limit passed to [Body.Read].
	ErrTooLarge = errors.New("read request body: length exceeds the limit")
	// ErrNoMemory reports that the memory budget has no room for the body.
	ErrNoMemory = errors.New("buffer request body: memory budget exhausted")
)

// MemoryBudget bounds the memory of buffered bodies. The zero value has nothing reserved.
type MemoryBudget struct {
	mutex sync.Mutex
	used  int64
}

func (m *MemoryBudget) reserve(n int64) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.used+n > maxTotalBytes {
		return false
	}
	m.used += n
	return true
}

func (m *MemoryBudget) release(n int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.used -= n
}

// Body is the body of a caller's request. The zero value is an empty body.
type Body struct {
	// Buffered is the complete body if it is short. Of a long body of unknown length it is the first part.
	Buffered []byte
	// remainder reads what follows Buffered in a long body; nil for a short one.
	remainder io.Reader
	// length is the body's length in bytes; -1 if unknown.
	length int64
	// reserved is the number of bytes that are reserved in the budget.
	reserved int64
	// consumed is set once the body was read to its end.
	consumed atomic.Bool
}

// Read buffers the body of a request if it is short. A long body is left to be streamed; only if its length is
// unknown is its first part buffered. The limit is in bytes, and 0 allows any length.
func (b *Body) Read(w http.ResponseWriter, r *http.Request, limit int64, m *MemoryBudget) error {
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
		size = maxBufferedBytes
	}
	if !m.reserve(size) {
		return ErrNoMemory
	}
	b.reserved = size
	return b.buffer(r)
}

func (b *Body) buffer(r *http.Request) error {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return ErrTooLarge
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

// Close releases the body's memory to the budget.
func (b *Body) Close(m *MemoryBudget) { m.release(b.reserved) }
