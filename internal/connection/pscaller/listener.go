// Package pscaller prepares the connections of callers.
//
// The HTTP server answers calls that it cannot read (a malformed request, a header that is
// too large) by itself, in plain text. Connections of this package turn these answers into
// problem details, so that a caller reads every refusal in the same way. None of these
// calls has reached a handler, so none of them ran.
package pscaller

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"strconv"

	"persimmonstep/internal/request/psproblem"
)

const (
	// protocol begins each answer of the server.
	protocol = "HTTP/1.1 "
	// plainHeader follows the status line of answers that no handler made; those of
	// handlers have at least a date.
	plainHeader = "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"
	// identifierBytes is the entropy of a request id.
	identifierBytes = 12
)

// Listener returns a listener whose connections answer unreadable calls with problems.
func Listener(l net.Listener) net.Listener {
	return listener{l}
}

type listener struct {
	net.Listener
}

// Accept waits for the next connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{c}, nil
}

// conn is a caller's connection.
type conn struct {
	net.Conn
}

// Write writes to the caller, a problem in place of a plain text of the server.
func (c *conn) Write(b []byte) (int, error) {
	status, found := plainStatus(b)
	if !found {
		return c.Conn.Write(b)
	}
	if _, err := c.Conn.Write(problem(status)); err != nil {
		return 0, err
	}
	return len(b), nil
}

// CloseWrite lets the server close its side first, so that the caller can read the answer.
func (c *conn) CloseWrite() error {
	if w, found := c.Conn.(interface{ CloseWrite() error }); found {
		return w.CloseWrite()
	}
	return c.Close()
}

// plainStatus finds the status of an answer that no handler made.
func plainStatus(b []byte) (int, bool) {
	rest, found := bytes.CutPrefix(b, []byte(protocol))
	if !found {
		return 0, false
	}
	end := bytes.Index(rest, []byte("\r\n"))
	if end < 0 || !bytes.HasPrefix(rest[end:], []byte(plainHeader)) {
		return 0, false
	}
	code, _, _ := bytes.Cut(rest[:end], []byte(" "))
	status, err := strconv.Atoi(string(code))
	return status, err == nil && status >= http.StatusBadRequest
}

func problem(status int) []byte {
	code, detail := "malformed", "the request could not be read"
	if status == http.StatusRequestHeaderFieldsTooLarge {
		code, detail = "headerTooLarge", "the request's header is larger than the VM allows"
	}
	body := psproblem.New(status, code, detail).Body()
	var id [identifierBytes]byte
	_, _ = rand.Read(id[:])
	return fmt.Appendf(nil, "%s%d %s\r\nContent-Type: application/problem+json\r\nContent-Length: %d\r\n%s: no\r\nX-Request-Id: %s\r\nConnection: close\r\n\r\n%s",
		protocol, status, http.StatusText(status), len(body), psproblem.HeaderRan, hex.EncodeToString(id[:]), body)
}
