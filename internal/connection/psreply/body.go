package psreply

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
)

// body is the body of a request, which is read from the connection.
type body struct {
	source   io.ReadCloser
	response *Response
	done     atomic.Bool

	// mutex excludes reads from a goroutine that the handler has left behind.
	mutex     sync.Mutex
	continued bool
	closed    bool
}

// Read implements [io.Reader].
func (b *body) Read(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.done.Load() {
		return 0, io.EOF
	}
	if b.closed {
		return 0, http.ErrBodyReadAfterClose
	}
	w := b.response
	n, err := b.readSource(p)
	if n > 0 {
		w.Account.Progress()
	}
	if err == io.EOF { //nolint:errorlint // io.EOF is never wrapped
		b.done.Store(true)
		w.Exchange.BodyRead()
	}
	return n, err
}

// readSource reads from the connection. Before the first byte, it lets the caller send the body if it waits for that.
func (b *body) readSource(p []byte) (int, error) {
	b.response.Exchange.Wait(true)
	defer b.response.Exchange.Wait(false)
	if !b.continued {
		b.continued = true
		if err := b.response.writeContinue(); err != nil {
			return 0, err
		}
	}
	return b.source.Read(p)
}

// Close implements [io.Closer]. The connection closes with the response if the body wasn't read to its end.
func (b *body) Close() error { return nil }

// end ends reads after the handler has returned. It waits for one that is under way, whose deadline has passed or whose
// connection is closed.
func (b *body) end() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.closed = true
}

// expectsContinue reports whether the caller waits for a response before it sends the body.
func expectsContinue(r *http.Request) bool {
	return r.ProtoAtLeast(1, 1) && strings.EqualFold(r.Header.Get("Expect"), "100-continue")
}
