package psfront

import (
	"io"
	"net/http"
	"strconv"

	"persimmonstep/internal/connection/psanswer"
)

// write passes an answer on to the caller.
func (c *call) write(a *psanswer.Answer) {
	h := c.writer.Header()
	for name, values := range psanswer.Forwardable(a.Header) {
		h[name] = values
	}
	if len(h["Content-Type"]) == 0 {
		// net/http guesses one otherwise.
		h["Content-Type"] = nil
	}
	if a.Rest == nil && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	c.closeIfLeaving()
	c.writer.WriteHeader(a.Status)
	if _, err := c.writer.Write(a.Body); err != nil {
		a.Close()
		return
	}
	if a.Rest != nil {
		c.stream(a)
	}
}

// stream passes on the rest of a long answer. One that breaks off takes the caller's connection along.
func (c *call) stream(a *psanswer.Answer) {
	defer a.Close()
	if _, err := io.Copy(c.writer, a.Rest); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// closeIfLeaving announces that the connection ends with this answer.
func (c *call) closeIfLeaving() {
	if c.gate.isLeaving() {
		c.writer.Header().Set("Connection", "close")
	}
}
