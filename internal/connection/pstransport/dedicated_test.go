package pstransport_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/connection/pstransport"
)

// idleTimeout is the time after which the server of these tests closes an idle connection.
const idleTimeout = 4 * time.Millisecond

func startServer(tb testing.TB, idle time.Duration) netip.AddrPort {
	tb.Helper()
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	qt.Assert(tb, err, qt.IsNil)
	s := &http.Server{IdleTimeout: idle, ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Serve(l)
	}()
	tb.Cleanup(func() {
		_ = s.Close()
		<-ended
	})
	return netip.MustParseAddrPort(l.Addr().String())
}

func send(t *pstransport.Transport, to netip.AddrPort, dedicated bool) error {
	body := []byte("tray")
	r := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: to.String(), Path: "/"}, Header: http.Header{},
		Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)), Close: dedicated,
	}
	result, err := t.Send(context.Background(), to, 4, r)
	if err != nil {
		return err
	}
	defer result.Response.Body.Close() //nolint:errcheck // the body was read
	_, err = io.ReadAll(result.Response.Body)
	return err
}

// TestDedicatedConnectionAvoidsIdleCloseRace sends requests at the moment when the server closes idle connections. A
// request on a reused connection may fail then, and it is unknown whether it was executed. A request on a dedicated
// connection must not fail.
func TestDedicatedConnectionAvoidsIdleCloseRace(t *testing.T) {
	c := qt.New(t)
	to := startServer(t, idleTimeout)
	transport, clean := pstransport.New()
	defer clean()
	failed := map[bool]int{}
	const count = 400
	for n := range count {
		for _, dedicated := range []bool{false, true} {
			if send(transport, to, dedicated) != nil {
				failed[dedicated]++
			}
		}
		time.Sleep(idleTimeout - 200*time.Microsecond + time.Duration(n%20)*20*time.Microsecond)
	}
	t.Logf("%d requests each: %d failed on reused connections, %d on dedicated ones", count, failed[false], failed[true])
	c.Assert(failed[true], qt.Equals, 0)
}

func BenchmarkReusedAndDedicated(b *testing.B) {
	for name, dedicated := range map[string]bool{"reused": false, "dedicated": true} {
		b.Run(name, func(b *testing.B) {
			to := startServer(b, time.Minute)
			transport, clean := pstransport.New()
			defer clean()
			for b.Loop() {
				if err := send(transport, to, dedicated); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
