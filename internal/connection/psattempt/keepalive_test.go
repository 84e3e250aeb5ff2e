package psattempt_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/connection/psattempt"
	"persimmonstep/internal/connection/psbody"
	"persimmonstep/internal/connection/pstransport"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/platform/psheader"
	"persimmonstep/platform/psstandin"
)

// TestConnectionsAreReusedAsServersState covers a server with a request every three seconds: a request that may run only once used
// a new connection each time, although the server keeps idle ones for ten seconds.
func TestConnectionsAreReusedAsServersState(t *testing.T) {
	for stated, dials := range map[string]int{"": 4, "Keep-Alive: timeout=10\r\n": 1} {
		synctest.Test(t, func(t *testing.T) {
			transport, clean := pstransport.New()
			defer clean()
			opened := 0
			transport.Dial = func(context.Context, string, string) (net.Conn, error) {
				opened++
				own, other := net.Pipe()
				go respondAll(other, stated)
				return own, nil
			}
			s := psattempt.Sender{Transport: transport, Now: time.Now}
			for range 4 {
				r, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://eggs.test/", nil)
				out := s.Send(t.Context(), psattempt.Request{
					Caller: r, Body: &psbody.Body{}, ID: "id-1", Deadline: time.Now().Add(time.Second), MaxConnections: 4,
					Server:  psserver.Entry{ID: "i-1", Service: "eggs", Address: netip.MustParseAddrPort("127.0.0.1:1")},
					MaySend: func() bool { return true }, HeaderRead: func(psheader.Response) {},
				})
				qt.Check(t, out.Result, qt.Equals, psattempt.Answered)
				time.Sleep(3 * time.Second)
			}
			qt.Check(t, opened, qt.Equals, dials)
		})
	}
}

// respondAll responds to each request on a connection.
func respondAll(c net.Conn, lines string) {
	b := make([]byte, 4096)
	for {
		if _, err := c.Read(b); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+psstandin.SignedLines("id-1")+lines+"Content-Length: 0\r\n\r\n")
	}
}
