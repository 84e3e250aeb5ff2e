package psfront

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"persimmonstep/platform"
)

// maxAnswerBytes is the length up to which an answer is read whole before any of it is passed on.
const maxAnswerBytes = 512 << 10

// answer is a backend server's answer.
type answer struct {
	status int
	header http.Header
	said   platform.Answer
	body   []byte
	// rest follows the body of a long answer.
	rest io.ReadCloser
}

// read reads an answer and says what it is worth.
func (c *call) read(r *http.Response) (*answer, ending) {
	a := &answer{status: r.StatusCode, header: r.Header, said: platform.ReadAnswer(r.StatusCode, r.Header)}
	var b bytes.Buffer
	_, err := io.Copy(&b, io.LimitReader(r.Body, maxAnswerBytes))
	a.body = b.Bytes()
	if err == nil && len(a.body) == maxAnswerBytes {
		a.rest = r.Body
	} else {
		// The end of the body ended the exchange; closing it again does nothing.
		_ = r.Body.Close()
	}
	if err != nil {
		return nil, c.brokenAnswer()
	}
	return a, worth(a)
}

// brokenAnswer sorts an answer that ended early.
func (c *call) brokenAnswer() ending {
	switch {
	case c.request.Context().Err() != nil:
		return endLeft
	case !c.gate.options.Now().Before(c.deadline):
		return endTimeout
	}
	return endLost
}

// worth sorts a whole answer.
func worth(a *answer) ending {
	switch {
	case a.status == http.StatusMisdirectedRequest:
		return endMoved
	case a.said.NotRun:
		return endShed
	case !a.said.Signed && a.status < http.StatusInternalServerError:
		return endSpoilt
	case a.status >= http.StatusInternalServerError:
		return endError
	}
	return endAnswered
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forwardable copies the headers that don't concern one connection only.
func forwardable(h http.Header) http.Header {
	out := make(http.Header, len(h))
	named := strings.Split(strings.Join(h["Connection"], ","), ",")
	for i := range named {
		named[i] = http.CanonicalHeaderKey(strings.TrimSpace(named[i]))
	}
	for name, values := range h {
		if !slices.Contains(hopHeaders, name) && !slices.Contains(named, name) {
			out[name] = slices.Clone(values)
		}
	}
	return out
}

// write passes an answer on to the caller.
func (c *call) write(a *answer) {
	h := c.writer.Header()
	for name, values := range forwardable(a.header) {
		h[name] = values
	}
	if len(h["Content-Type"]) == 0 {
		// net/http guesses one otherwise.
		h["Content-Type"] = nil
	}
	if a.rest == nil && a.status != http.StatusNoContent && a.status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	c.closeIfLeaving()
	c.writer.WriteHeader(a.status)
	if _, err := c.writer.Write(a.body); err != nil {
		c.dropRest(a)
		return
	}
	if a.rest != nil {
		c.stream(a)
	}
}

// stream passes on the rest of a long answer. One that breaks off takes the caller's connection along.
func (c *call) stream(a *answer) {
	defer c.dropRest(a)
	if _, err := io.Copy(c.writer, a.rest); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (c *call) dropRest(a *answer) {
	if a.rest != nil {
		_ = a.rest.Close()
	}
}

// closeIfLeaving announces that the connection ends with this answer.
func (c *call) closeIfLeaving() {
	if c.gate.isLeaving() {
		c.writer.Header().Set("Connection", "close")
	}
}
