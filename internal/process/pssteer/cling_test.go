package pssteer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/pssteer"
	"persimmonstep/platform/psheader"
	"persimmonstep/platform/psstandin"
)

// stopGrace is the grace period of the VM that stops.
const stopGrace = 4 * time.Second

// clingingCaller sends requests to one VM, one after the other, for as long as it accepts connections.
type clingingCaller struct {
	answered, refused, closing, cut atomic.Int64
}

// run sends requests over kept connections, and over a new one where the VM closes or fresh is set.
func (c *clingingCaller) run(address string, fresh bool) {
	for {
		conn, err := net.Dial("tcp", address) //nolint:noctx // a test's connection
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		usable := true
		for usable {
			usable = c.send(conn, reader) && !fresh
		}
		_ = conn.Close()
	}
}

// send sends a request and reads the response. It returns false if the connection can't be used again.
func (c *clingingCaller) send(conn net.Conn, reader *bufio.Reader) bool {
	r, err := http.NewRequest(http.MethodGet, "http://eggs.test/orders/1", nil) //nolint:noctx // written by hand
	if err != nil {
		return false
	}
	psstandin.WriteRequestHeaders(r.Header, psheader.Request{ID: "id-1", Left: 2 * time.Second})
	if r.Write(conn) != nil {
		return false
	}
	response, err := http.ReadResponse(reader, r)
	if err != nil {
		c.cut.Add(1)
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	switch {
	case err != nil:
		c.cut.Add(1)
		return false
	case response.StatusCode == http.StatusOK:
		c.answered.Add(1)
	default:
		c.refused.Add(1)
	}
	if response.Close {
		c.closing.Add(1)
	}
	return !response.Close
}

// TestCallersThatClingAreCutOff covers callers that keep coming to a VM that stops, on kept connections and new ones, until
// its end. Others never finish a request, and one never sends any. Another VM joins meanwhile.
func TestCallersThatClingAreCutOff(t *testing.T) {
	t.Parallel()
	s := startStore(t, startBackend(t, 20*time.Millisecond))
	v := startVMWithGrace(t, "vm-1", ownAddress(), s.Address(), pssteer.Network{}, stopGrace)
	eventually(t, "the VM is ready", func() bool { return isReady(v) })
	var c clingingCaller
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Go(func() { c.run(v.callers, i%2 == 0) })
	}
	for _, beginning := range []string{"", "POST /orders/1 HTTP/1.1\r\nHost: eggs.test\r\n", "POST /orders/1 HTTP/1.1\r\nHost: eggs.test\r\nContent-Length: 100\r\n\r\nx"} {
		conn, err := net.Dial("tcp", v.callers) //nolint:noctx // a test's connection
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, beginning)
		qt.Assert(t, err, qt.IsNil)
	}
	time.Sleep(200 * time.Millisecond)
	before := c.answered.Load()
	stoppedAt := time.Now()
	v.stop()
	joining := startVM(t, "vm-2", s)
	qt.Assert(t, <-v.ended, qt.IsNil)
	took := time.Since(stoppedAt)
	callers.Wait()
	qt.Check(t, took < stopGrace, qt.IsTrue, qt.Commentf("the VM ended after %s", took))
	qt.Check(t, c.cut.Load(), qt.Equals, int64(0))
	qt.Check(t, c.answered.Load() > before, qt.IsTrue)
	qt.Check(t, c.closing.Load() > 0, qt.IsTrue)
	eventually(t, "the joining VM serves", func() bool { return status(joining) == http.StatusOK })
	t.Logf("%d answered, %d refused, the VM ended after %s", c.answered.Load(), c.refused.Load(), took)
}
