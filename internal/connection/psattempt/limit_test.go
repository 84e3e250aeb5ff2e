package psattempt_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/connection/psattempt"
	"persimmonstep/internal/connection/pstransport"
	"persimmonstep/internal/process/pssnapshot"
	"persimmonstep/internal/version/psconfig"
)

const (
	fleetSize = 84
	// callersPerVM send requests to the server at the same time, of which each second one is given up early.
	callersPerVM = 8
	fleetTime    = 700 * time.Millisecond
	// serverTime is how long the server works on a request, and noticeTime when it learns meanwhile that the connection was
	// closed. Network delay isn't modeled: it is the same for the close of a connection and the opening of the next one.
	serverTime = 40 * time.Millisecond
	noticeTime = 30 * time.Millisecond
)

// countingServer is a server in memory that counts its connections.
type countingServer struct {
	open, most atomic.Int64
}

// dial opens a connection to the server.
func (s *countingServer) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	c := &countedConn{Conn: near, server: s}
	n := s.open.Add(1)
	m := s.most.Load()
	for n > m && !s.most.CompareAndSwap(m, n) {
		m = s.most.Load()
	}
	go func() {
		defer far.Close() //nolint:errcheck // the test is over with it
		r := bufio.NewReader(far)
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, q.Body)
			c.working.Store(true)
			time.Sleep(serverTime)
			c.working.Store(false)
			if _, err := io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
				return
			}
		}
	}()
	return c, nil
}

// countedConn is a connection to the server.
type countedConn struct {
	net.Conn
	server  *countingServer
	working atomic.Bool
	closed  sync.Once
}

// Close closes the connection. A server that works on a request learns of it later.
func (c *countedConn) Close() error {
	c.closed.Do(func() {
		if c.working.Load() {
			time.AfterFunc(noticeTime, func() { c.server.open.Add(-1) })
			return
		}
		c.server.open.Add(-1)
	})
	return c.Conn.Close()
}

// TestFleetStaysWithinConnectionsOfServer covers a fleet of 84 VMs whose requests are given up while the server works on them,
// and which probe the server meanwhile: the connections of all VMs together stay within what the server accepts.
func TestFleetStaysWithinConnectionsOfServer(t *testing.T) {
	for _, accepted := range []int{2 * fleetSize, 4 * fleetSize, 5 * fleetSize, 20 * fleetSize} {
		t.Run(fmt.Sprint(accepted), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := psconfig.Configuration{Services: []psconfig.Service{{Name: "prices", MaxConnections: accepted}}}
				limit := psattempt.ConnectionLimit(&pssnapshot.Snapshot{Index: psconfig.NewIndex(&c), FleetSize: fleetSize}, "prices")
				s := &countingServer{}
				// The server ends its work after all connections were closed.
				defer time.Sleep(serverTime + noticeTime)
				ctx, stop := context.WithTimeout(t.Context(), fleetTime)
				defer stop()
				var served atomic.Int64
				var sending sync.WaitGroup
				for range fleetSize {
					transport, clean := pstransport.New()
					defer clean()
					transport.Dial = s.dial
					for i := range callersPerVM + 1 {
						sending.Go(func() {
							for ctx.Err() == nil {
								if sendOnce(ctx, transport, limit, i) {
									served.Add(1)
								}
							}
						})
					}
				}
				sending.Wait()
				t.Logf("limit %d of each VM: at most %d connections of %d, %d requests served", limit, s.most.Load(), accepted, served.Load())
				qt.Assert(t, s.most.Load() <= int64(accepted), qt.IsTrue, qt.Commentf("%d connections", s.most.Load()))
				qt.Assert(t, served.Load() > 0, qt.IsTrue)
			})
		})
	}
}

// sendOnce sends a request as one of the callers of a VM. The one with the number 0 sends probes, and each second one gives up
// early.
func sendOnce(ctx context.Context, transport *pstransport.Transport, limit, caller int) bool {
	patience := 4 * serverTime
	if caller%2 == 1 {
		patience = serverTime / 2
	}
	ctx, stop := context.WithTimeout(ctx, patience)
	defer stop()
	address := netip.MustParseAddrPort("10.0.0.1:80")
	r := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: address.String(), Path: "/"}, Header: http.Header{},
		Body: io.NopCloser(bytes.NewReader([]byte("x"))), ContentLength: 1, Close: caller == 0,
	}
	result, err := transport.Send(ctx, address, limit, r)
	if err != nil {
		return false
	}
	defer result.Response.Body.Close() //nolint:errcheck // the body was read
	_, err = io.Copy(io.Discard, result.Response.Body)
	return err == nil
}
