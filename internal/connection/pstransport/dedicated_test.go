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

// idleTimeout is how soon the server of these tests closes an idle connection.
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

func send(t *pstransport.Transports, to netip.AddrPort, own bool) error {
	body := []byte("tray")
	r := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: to.String(), Path: "/"}, Header: http.Header{},
		Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body)), Close: own,
	}
	v, err := t.Send(context.Background(), to, 4, r)
	if err != nil {
		return err
	}
	defer v.Response.Body.Close() //nolint:errcheck // the body was read
	_, err = io.ReadAll(v.Response.Body)
	return err
}

// TestOwnConnectionMeetsNoIdleClose sends requests just as the server closes connections
// that were idle. A kept connection may fail then, and nobody can tell whether the request
// ran; a connection of its own never does.
func TestOwnConnectionMeetsNoIdleClose(t *testing.T) {
	c := qt.New(t)
	to := startServer(t, idleTimeout)
	transports, clean := pstransport.New()
	defer clean()
	failed := map[bool]int{}
	const count = 400
	for n := range count {
		for _, own := range []bool{false, true} {
			if send(transports, to, own) != nil {
				failed[own]++
			}
		}
		time.Sleep(idleTimeout - 200*time.Microsecond + time.Duration(n%20)*20*time.Microsecond)
	}
	t.Logf("%d requests each: %d failed on kept connections, %d on their own", count, failed[false], failed[true])
	c.Assert(failed[true], qt.Equals, 0)
}

func BenchmarkKeptAndOwn(b *testing.B) {
	for name, own := range map[string]bool{"kept": false, "own": true} {
		b.Run(name, func(b *testing.B) {
			to := startServer(b, time.Minute)
			transports, clean := pstransport.New()
			defer clean()
			for b.Loop() {
				if err := send(transports, to, own); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
