package pstransport

import (
	"bufio"
	"bytes"
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

// receivedHead is a header that was received and can be parsed from a reader.
type receivedHead struct {
	// reader is another one than before if its buffer was too small.
	reader *bufio.Reader
	// buffer is what was drawn for the larger buffer in bytes, and parsed what was drawn for the parsed header.
	buffer, parsed int64
}

// receiveHead receives a header into the reader's buffer without consuming it, and draws what it will take when parsed
// from an account. It fails, with nothing drawn, if the header is too large or the account grants nothing.
func receiveHead(r *bufio.Reader, a *psbudget.Account) (h receivedHead, err error) {
	h.reader = r
	defer func() {
		if err != nil {
			a.Return(h.buffer)
		}
	}()
	var s headSize
	for !s.ended {
		// This returns as soon as any further byte is received.
		b, err := h.reader.Peek(s.length + 1)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && h.buffer > 0:
			return h, errHeaderSize
		case errors.Is(err, bufio.ErrBufferFull):
			if !a.Take(maxHeaderBytes) {
				return h, errHeaderMemory
			}
			h.buffer = maxHeaderBytes
			h.reader = bufio.NewReaderSize(r, maxHeaderBytes+1)
			continue
		case errors.Is(err, io.EOF):
			return h, io.ErrUnexpectedEOF
		case err != nil:
			return h, err
		}
		if b, err = h.reader.Peek(h.reader.Buffered()); err != nil {
			return h, err
		}
		s.scan(b)
		switch {
		case s.parsed > maxParsedBytes:
			return h, errHeaderSize
		case s.ended && hasOldChunks(b[:s.length]):
			return h, errOldChunks
		}
	}
	if s.parsed > freeParsedBytes {
		if !a.Take(s.parsed) {
			return h, errHeaderMemory
		}
		h.parsed = s.parsed
	}
	return h, nil
}

// hasOldChunks reports whether a header of HTTP/1.0 has a Transfer-Encoding, which that version doesn't have (RFC 9112, section
// 6.1). net/http ignores it, so that the chunk sizes would become part of a body that ends with the connection.
func hasOldChunks(head []byte) bool {
	return bytes.HasPrefix(head, []byte("HTTP/1.0")) && bytes.Contains(bytes.ToLower(head), []byte("\ntransfer-encoding:"))
}
