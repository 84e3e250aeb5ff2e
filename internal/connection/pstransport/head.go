package pstransport

import (
	"bufio"
	"io"

	"github.com/pkg/errors"

	"persimmonstep/internal/connection/psbudget"
)

const (
	// maxHeaderBytes bounds a response header as it is received, and maxParsedBytes what it may take in memory.
	maxHeaderBytes = 64 << 10
	maxParsedBytes = 512 << 10
	// headerLineBytes is what a header line takes in memory besides twice its bytes: an entry of a map, a list of values,
	// and the same again for the copy that is forwarded.
	headerLineBytes = 256
	// freeParsedBytes is the size up to which nothing is drawn for a header. An ordinary response, of a request that may
	// have been executed, must not fail because others hold all memory, and its header is small beside its connection.
	freeParsedBytes = 8 << 10
)

// headSize is what a header takes. The zero value is that of no header.
type headSize struct {
	// length is the number of bytes up to and including the empty line.
	length int
	// parsed is the estimated number of bytes that the parsed header takes.
	parsed int64
	// lines is the number of complete lines, and lineStart the offset of the line that follows them.
	lines, lineStart int
	ended            bool
}

// scan continues with the bytes of a header, which begin with those of earlier calls. It stops after the empty line. The
// first line is the status line, also if it is empty.
func (s *headSize) scan(head []byte) {
	for i := s.length; i < len(head) && !s.ended; i++ {
		s.length++
		if head[i] != '\n' {
			continue
		}
		line := i - s.lineStart
		if line > 0 && head[i-1] == '\r' {
			line--
		}
		s.ended = line == 0 && s.lines > 0
		s.lines++
		s.lineStart = i + 1
		s.parsed += headerLineBytes + 2*int64(line)
	}
}

// receiveHead receives a header into the reader's buffer without consuming it, and draws what it will take when parsed
// from an account. It returns the reader from which to parse it, which is another one if the buffer is too small, and
// how much was drawn. It fails, with nothing drawn, if the header is too large or the account grants nothing.
func receiveHead(r *bufio.Reader, a *psbudget.Account) (*bufio.Reader, int64, error) {
	var drawn int64
	var s headSize
	for {
		// This returns as soon as any further byte is received.
		b, err := r.Peek(s.length + 1)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && drawn > 0:
			a.Return(drawn)
			return nil, 0, errHeaderSize
		case errors.Is(err, bufio.ErrBufferFull):
			if !a.Take(maxHeaderBytes) {
				return nil, 0, errHeaderMemory
			}
			drawn = maxHeaderBytes
			r = bufio.NewReaderSize(r, maxHeaderBytes+1)
			continue
		case errors.Is(err, io.EOF):
			err = io.ErrUnexpectedEOF
			fallthrough
		case err != nil:
			a.Return(drawn)
			return nil, 0, err
		}
		if b, err = r.Peek(r.Buffered()); err != nil {
			a.Return(drawn)
			return nil, 0, err
		}
		s.scan(b)
		if s.parsed > maxParsedBytes {
			a.Return(drawn)
			return nil, 0, errHeaderSize
		}
		if s.ended {
			break
		}
	}
	if s.parsed <= freeParsedBytes {
		return r, drawn, nil
	}
	if !a.Take(s.parsed) {
		a.Return(drawn)
		return nil, 0, errHeaderMemory
	}
	return r, drawn + s.parsed, nil
}
