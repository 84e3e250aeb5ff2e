package pspeer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	// maxMessageBytes bounds one message; a whole configuration fits.
	maxMessageBytes = 64 << 20
	// idleTimeout closes a connection on which nothing arrives; heartbeats come more often.
	idleTimeout = 10 * time.Second
	// writeTimeout closes a connection that takes nothing.
	writeTimeout = 2 * time.Second
)

// errTooLarge says that a message is larger than any that a VM sends.
var errTooLarge = errors.New("the message is too large")

// codec writes messages with their length in front. Unlike the library's it bounds them,
// and it takes exactly one message out of the stream.
type codec struct {
	jsonrpc2.VarintObjectCodec
}

// ReadObject reads one message.
func (codec) ReadObject(r *bufio.Reader, v any) error {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if n > maxMessageBytes {
		return errTooLarge
	}
	// The buffer grows with what arrives, not with what was announced.
	var b bytes.Buffer
	if _, err := io.CopyN(&b, r, int64(n)); err != nil {
		return err
	}
	return json.Unmarshal(b.Bytes(), v)
}

// watched is a connection that ends when it stalls, and knows when something last arrived.
type watched struct {
	net.Conn
	heard atomic.Int64
}

func watch(c net.Conn) *watched {
	w := &watched{Conn: c}
	w.heard.Store(time.Now().UnixNano())
	return w
}

// Read reads what arrives before the idle timeout.
func (w *watched) Read(b []byte) (int, error) {
	_ = w.SetReadDeadline(time.Now().Add(idleTimeout))
	n, err := w.Conn.Read(b)
	if n > 0 {
		w.heard.Store(time.Now().UnixNano())
	}
	return n, err
}

// Write writes what is taken before the write timeout.
func (w *watched) Write(b []byte) (int, error) {
	_ = w.SetWriteDeadline(time.Now().Add(writeTimeout))
	return w.Conn.Write(b)
}

// silentSince returns when something last arrived.
func (w *watched) silentSince() time.Time {
	return time.Unix(0, w.heard.Load())
}

// discard takes the library's log lines: the failures that they tell of reach the callers.
type discard struct{}

// Printf does nothing.
func (discard) Printf(string, ...any) {}

func newStream(c net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(c, codec{})
}
