// Package pshead reads the head of a request or response up to its empty line, before it is parsed.
//
// It answers this load: heads of very many short lines, whose parsed form takes many times their size, heads without end,
// and empty lines without end before a request. The head is bounded in bytes, and an account of [psbudget] is charged for
// its bytes and the estimated size of its parsed form before it is parsed. The time is bounded by the deadline of the
// connection that is read.
package pshead

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"os"

	"github.com/pkg/errors"

	"persimmonstep/internal/connection/psbudget"
)

const (
	// bufferSize is the size of the read buffer of a connection, in bytes. It holds the head of nearly any request.
	bufferSize = 4 << 10
	// maxEmptyBytes bounds the empty lines before a request, in bytes. Some clients send one after a body.
	maxEmptyBytes = 16
	// lineBytes is what a header line takes once it is parsed and copied for the server, besides its text, and
	// textCopies is how often its text is held. A parsed header of short lines takes 70 to 100 bytes a line.
	lineBytes  = 200
	textCopies = 3
)

// Kind is the reason why a head can't be read.
type Kind uint8

const (
	// Closed connections end before a complete head.
	Closed Kind = iota
	// TooLarge heads are over the limit.
	TooLarge
	// Malformed heads can't be parsed.
	Malformed
	// Timeout heads didn't arrive by the deadline of the connection.
	Timeout
	// NoMemory heads don't fit into the memory budget.
	NoMemory
)

// String returns the kind's name for logs and metrics.
func (k Kind) String() string {
	return [...]string{"closed", "tooLarge", "malformed", "timeout", "noMemory"}[k]
}

// Status returns the status of a response to a request with such a head; 0 if there is nobody to respond to.
func (k Kind) Status() int {
	return [...]int{
		0, http.StatusRequestHeaderFieldsTooLarge, http.StatusBadRequest, http.StatusRequestTimeout, http.StatusServiceUnavailable,
	}[k]
}

// Error reports a head that can't be read.
type Error struct {
	Kind  Kind
	Cause error
}

func (e *Error) Error() string { return "read head: " + e.Cause.Error() }

func (e *Error) Unwrap() error { return e.Cause }

var (
	errTooLarge   = errors.New("length exceeds the limit")
	errEmptyLines = errors.New("too many empty lines")
	errNoMemory   = errors.New("memory budget exhausted")
	errIncomplete = errors.New("empty line missing")
)

// Source reads heads from a connection. What follows a head is read from [Source.Buffer].
type Source struct {
	conn   io.Reader
	buffer *bufio.Reader
	// account is charged for a buffer that has grown. charged is in bytes.
	account *psbudget.Account
	charged int64
	// parsing is set while a head is parsed, which must not read from the connection.
	parsing bool
}

// NewSource returns a source for a connection. The account may be nil.
func NewSource(conn io.Reader, a *psbudget.Account) *Source {
	s := &Source{conn: conn, account: a}
	s.buffer = bufio.NewReaderSize(s, bufferSize)
	return s
}

// Read reads from the connection into the buffer.
func (s *Source) Read(p []byte) (int, error) {
	if s.parsing {
		return 0, errIncomplete
	}
	return s.conn.Read(p)
}

// Buffer returns the reader of what follows the last head. It changes when the next head is read.
func (s *Source) Buffer() *bufio.Reader { return s.buffer }

// Head is a complete head in the buffer.
type Head struct {
	// Bytes is its length, and Lines the number of its lines without the empty one.
	Bytes, Lines int
}

// cost returns the estimated size of the parsed head, in bytes.
func (h Head) cost() int64 { return int64(h.Lines)*lineBytes + int64(h.Bytes)*textCopies }

// ReadRequest reads a request. Its body is read from the buffer. It returns what the account was charged for the parsed
// head, in bytes, which the caller gives back once the request has ended. limit bounds the first line and the other lines,
// each in bytes. Errors are [Error].
func (s *Source) ReadRequest(limit int) (*http.Request, int64, error) {
	if err := s.skipEmptyLines(); err != nil {
		return nil, 0, err
	}
	var request *http.Request
	cost, err := s.parse(limit, func(head []byte) (err error) {
		if err = checkFraming(head); err != nil {
			return err
		}
		if request, err = http.ReadRequest(s.buffer); err != nil {
			return err
		}
		return check(request)
	})
	if err != nil {
		return nil, 0, err
	}
	return request, cost, nil
}

// ReadResponse reads the response to a request, like [Source.ReadRequest].
func (s *Source) ReadResponse(limit int, r *http.Request) (*http.Response, int64, error) {
	var response *http.Response
	cost, err := s.parse(limit, func([]byte) (err error) {
		response, err = http.ReadResponse(s.buffer, r) //nolint:bodyclose // the caller closes it
		return err
	})
	return response, cost, err
}

// parse collects a head, charges the account and parses the head.
func (s *Source) parse(limit int, parse func(head []byte) error) (int64, error) {
	s.Shrink()
	h, err := s.collect(limit)
	if err != nil {
		return 0, err
	}
	if !s.account.Take(h.cost()) {
		return 0, &Error{NoMemory, errNoMemory}
	}
	s.parsing = true
	head, _ := s.buffer.Peek(h.Bytes)
	err = parse(head)
	s.parsing = false
	if err != nil {
		s.account.Return(h.cost())
		return 0, &Error{Malformed, err}
	}
	return h.cost(), nil
}

// Complete reports whether the buffer contains a complete head, so that reading it doesn't wait. Empty lines before it don't
// count as its end.
func (s *Source) Complete() bool {
	b, _ := s.buffer.Peek(s.buffer.Buffered())
	return bytes.Contains(bytes.TrimLeft(b, "\r\n"), []byte("\r\n\r\n"))
}

func (s *Source) skipEmptyLines() error {
	for range maxEmptyBytes {
		b, err := s.buffer.Peek(1)
		switch {
		case err != nil:
			return readError(err)
		case b[0] != '\r' && b[0] != '\n':
			return nil
		}
		_, _ = s.buffer.Discard(1)
	}
	return &Error{Malformed, errEmptyLines}
}

// collect reads until the buffer contains a complete head.
func (s *Source) collect(limit int) (Head, error) {
	var h Head
	// scanned bytes were searched for line ends. first is the length of the first line.
	scanned, lineStart, first := 0, 0, 0
	for {
		b, _ := s.buffer.Peek(s.buffer.Buffered())
		for scanned < len(b) {
			i := bytes.IndexByte(b[scanned:], '\n')
			if i < 0 {
				scanned = len(b)
				break
			}
			scanned += i + 1
			empty := len(bytes.TrimSuffix(b[lineStart:scanned-1], []byte("\r"))) == 0
			lineStart = scanned
			if h.Lines == 0 {
				first = scanned
			}
			if first > limit || scanned-first > limit+len("\r\n") {
				return Head{}, &Error{TooLarge, errTooLarge}
			}
			if empty {
				h.Bytes = scanned
				return h, nil
			}
			h.Lines++
		}
		if scanned-first > limit+len("\r\n") {
			return Head{}, &Error{TooLarge, errTooLarge}
		}
		if err := s.fill(); err != nil {
			return Head{}, err
		}
	}
}

// fill reads at least one further byte into the buffer, which grows if it is full.
func (s *Source) fill() error {
	n := s.buffer.Buffered()
	if n == s.buffer.Size() {
		if !s.account.Take(int64(n)) {
			return &Error{NoMemory, errNoMemory}
		}
		s.charged += int64(n)
		s.resize(2 * n)
	}
	if _, err := s.buffer.Peek(n + 1); err != nil {
		return readError(err)
	}
	return nil
}

// Shrink gives a grown buffer back if little is in it. The body of the last request must have been read.
func (s *Source) Shrink() {
	if s.buffer.Size() > bufferSize && s.buffer.Buffered() <= bufferSize {
		s.resize(bufferSize)
		s.account.Return(s.charged)
		s.charged = 0
	}
}

// resize replaces the buffer. Its bytes move to the new one.
func (s *Source) resize(size int) {
	b, _ := s.buffer.Peek(s.buffer.Buffered())
	rest := bytes.NewReader(bytes.Clone(b))
	larger := bufio.NewReaderSize(&joined{rest, s}, size)
	_, _ = larger.Peek(len(b))
	s.buffer = larger
}

// joined reads the bytes of an earlier buffer and then from the source.
type joined struct {
	first  *bytes.Reader
	source *Source
}

func (j *joined) Read(p []byte) (int, error) {
	if j.first != nil && j.first.Len() > 0 {
		return j.first.Read(p)
	}
	j.first = nil
	return j.source.Read(p)
}

// readError returns the error of a connection that doesn't deliver a complete head.
func readError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &Error{Timeout, err}
	}
	return &Error{Closed, err}
}
