package psserve_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/version/psconfig"
)

// TestSlowHeadBehindEmptyLinesIsCutOff covers a caller that sends empty lines and then a head that doesn't end, or nothing: the
// connection must not stay open. The empty lines look like the end of a head.
func TestSlowHeadBehindEmptyLinesIsCutOff(t *testing.T) {
	s := start(t, func(http.ResponseWriter, *http.Request) { t.Error("an incomplete request ran") },
		psconfig.Limits{HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 100 * time.Millisecond}, 10)
	for _, text := range []string{"\r\n\r\n", "\n\n\r\n\r\n", "\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n"} {
		c := s.dial(t)
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		c.send(t, text)
		r, _ := c.receive(t, "GET")
		qt.Check(t, r.StatusCode, qt.Equals, http.StatusRequestTimeout)
		c.ends(t)
	}
}

// TestUnreadResponseAheadOfRequestIsEvicted covers a caller that reads nothing and sends a further request behind a long response.
// Its connection must count as blocked: it makes room for other connections.
func TestUnreadResponseAheadOfRequestIsEvicted(t *testing.T) {
	piece := strings.Repeat("x", 64<<10)
	var begun, written atomic.Int32
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/safe/long" {
			begun.Add(1)
			for range 80 {
				if _, err := io.WriteString(w, piece); err != nil {
					return
				}
				written.Add(1)
			}
		}
	}, psconfig.Limits{}, 2)
	for range 2 {
		stuck := s.dial(t)
		qt.Assert(t, stuck.Conn.(*net.TCPConn).SetReadBuffer(4096), qt.IsNil)
		stuck.send(t, get("/safe/long"))
		eventually(t, "the response is stuck", func() bool {
			before := written.Load()
			time.Sleep(300 * time.Millisecond)
			return before > 0 && written.Load() == before
		})
		stuck.send(t, get("/safe/long"))
	}
	eventually(t, "all requests have begun", func() bool { return begun.Load() == 4 })
	eventually(t, "another caller is served", func() bool {
		c := s.dial(t)
		_, _ = io.WriteString(c, get("/safe/short"))
		r, err := http.ReadResponse(c.reader, nil) //nolint:bodyclose // it is empty
		return err == nil && r.StatusCode == http.StatusOK
	})
}

// TestIdleConnectionHoldsNothing covers a connection that is idle after a long head: the larger buffer for it is given back.
func TestIdleConnectionHoldsNothing(t *testing.T) {
	s := start(t, func(http.ResponseWriter, *http.Request) {}, psconfig.Limits{}, 10)
	c := s.dial(t)
	c.send(t, "GET / HTTP/1.1\r\nHost: a\r\na: "+strings.Repeat("x", 16000)+"\r\n\r\n")
	_, _ = c.receive(t, "GET")
	eventually(t, "nothing is held", func() bool { u := s.budget.Usage(); return u.Used == 0 && u.Accounts == 1 })
	c.send(t, get("/"))
	_, _ = c.receive(t, "GET")
}

// TestPipelineWithoutEndDoesNotDelayShutdown covers a caller that always has further requests on the way: a planned shutdown
// answers those that have begun and closes the connection.
func TestPipelineWithoutEndDoesNotDelayShutdown(t *testing.T) {
	s := start(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(w, "ok")
	}, psconfig.Limits{}, 10)
	c := s.dial(t)
	go func() {
		for {
			if _, err := io.WriteString(c, strings.Repeat(get("/safe/1"), 20)); err != nil {
				return
			}
		}
	}()
	go func() {
		time.Sleep(200 * time.Millisecond)
		ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
		defer stop()
		qt.Check(t, s.server.Shutdown(ctx), qt.IsNil)
	}()
	for {
		r, body := c.receive(t, "GET")
		qt.Assert(t, body, qt.Equals, "ok")
		if r.Close {
			break
		}
	}
	c.ends(t)
	_ = c.Close()
}
