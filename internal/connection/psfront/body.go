package psfront

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"persimmonstep/internal/connection/pstransport"
)

const (
	// maxHeldBytes is the length up to which a body is held in memory, so that it can be sent again.
	maxHeldBytes = 1 << 20
	// maxMemoryBytes bounds all held bodies together.
	maxMemoryBytes = 64 << 20
)

// memoryBudget bounds the memory of held bodies. The zero value is unused.
type memoryBudget struct {
	mutex sync.Mutex
	used  int64
}

func (m *memoryBudget) take(n int64) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.used+n > maxMemoryBytes {
		return false
	}
	m.used += n
	return true
}

func (m *memoryBudget) giveBack(n int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.used -= n
}

// body is the body of a caller's request.
type body struct {
	// held is the whole body, if it is short.
	held []byte
	// rest follows what is held of a long body, which can be sent once only.
	rest io.Reader
	// length is -1 where it is unknown.
	length int64
	memory int64
}

// open returns a reader for one try.
func (b *body) open() io.ReadCloser {
	if b.rest == nil {
		return pstransport.Body(b.held)
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.held), b.rest))
}

// readBody holds the body of a call, or the beginning of a long one.
func (c *call) readBody() outcome {
	r := c.request
	c.body.length = r.ContentLength
	if limit := c.snapshot.Index.Configuration.Limits.MaxBodyBytes; limit > 0 {
		if r.ContentLength > limit {
			return rejected{http.StatusRequestEntityTooLarge, "bodyTooLarge", 0}
		}
		r.Body = http.MaxBytesReader(c.writer, r.Body, limit)
	}
	if r.ContentLength == 0 {
		return nil
	}
	if r.ContentLength > maxHeldBytes {
		c.body.rest = r.Body
		return nil
	}
	want := r.ContentLength
	if want < 0 {
		want = maxHeldBytes
	}
	if !c.gate.memory.take(want) {
		return rejected{http.StatusServiceUnavailable, "noMemory", unreadyAfter}
	}
	c.body.memory = want
	return c.hold()
}

func (c *call) hold() outcome {
	held, err := io.ReadAll(io.LimitReader(c.request.Body, maxHeldBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return rejected{http.StatusRequestEntityTooLarge, "bodyTooLarge", 0}
	case err != nil && c.request.Context().Err() == nil:
		return rejected{http.StatusBadRequest, "bodyBroken", 0}
	case err != nil:
		return left{}
	}
	c.body.held = held
	if len(held) == maxHeldBytes && c.body.length < 0 {
		c.body.rest = c.request.Body
		return nil
	}
	c.body.length = int64(len(held))
	return nil
}
