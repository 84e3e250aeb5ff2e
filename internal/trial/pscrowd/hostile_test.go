package pscrowd_test

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/base64"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/connection/pspeerstate"
	"persimmonstep/internal/process/psadmin"
	"persimmonstep/platform"
	"persimmonstep/platform/psstandin"
)

// piecePause is the pause between two pieces of a response without end.
const piecePause = 5 * time.Millisecond

// endless is a response that begins with a head and goes on with a piece again and again.
type endless struct{ head, piece string }

// write writes a response until the connection is closed.
func (e endless) write(c net.Conn) {
	_, err := io.WriteString(c, e.head)
	for err == nil {
		time.Sleep(piecePause)
		_, err = io.WriteString(c, e.piece)
	}
}

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"

var (
	manyLines = strings.Repeat("a:\r\n", 1000)
	filler    = strings.Repeat("x", 32<<10)
)

// hostileKinds are the responses of the hostile backend server, without the lines of its signature.
var hostileKinds = []endless{
	{"HTTP/1.1 200 OK\r\n", manyLines},
	{"HTTP/1.1 200 OK\r\nX: ", filler},
	{"", "HTTP/1.1 103 Early Hints\r\n" + manyLines + "\r\n"},
	{"HTTP/1.1 200 OK\r\nSIGNED\r\n", filler},
	{chunkedHead + "SIGNED\r\n", "8000\r\n" + filler + "\r\n"},
	{chunkedHead + "SIGNED\r\n", "1;" + filler[:3000] + "\r\nx\r\n"},
	{chunkedHead + "SIGNED\r\n", strings.Repeat("1\r\nx\r\n", 500)},
	{chunkedHead + "SIGNED\r\n1\r\nx\r\n0\r\n", manyLines},
}

// startHostileBackend starts a backend server whose responses don't end. The last part of a request's path is the kind.
func startHostileBackend(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // a test's listener
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveHostile(c)
		}
	}()
	return l.Addr().String()
}

func serveHostile(c net.Conn) {
	defer c.Close() //nolint:errcheck // nothing is left to do
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	kind, err := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/odd/"))
	if err != nil {
		h := http.Header{}
		psstandin.WriteHealth(h, "i-2", 0)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n")
		_ = h.Write(c)
		_, _ = io.WriteString(c, "\r\n")
		return
	}
	e := hostileKinds[kind]
	e.head = strings.Replace(e.head, "SIGNED\r\n", psstandin.SignedLines(psstandin.ReadForwardHeaders(r.Header).ID), 1)
	e.write(c)
}

// faultyStore passes calls to a store, or responds to them without end.
type faultyStore struct {
	address netip.AddrPort
	// kind is 0 or the number of a kind of storeKinds, from 1, and calls counts the calls with such a response.
	kind, calls atomic.Int32
}

// denseRows is a page whose decoded form takes many times its length.
var denseRows = `{"ver":1,"rows":[` + strings.Repeat("{},", 1<<20) + `{}]}`

// storeKinds are the responses of a faulty store to a call.
var storeKinds = []func(r *http.Request) endless{
	func(*http.Request) endless { return endless{"HTTP/1.1 200 OK\r\n", manyLines} },
	func(*http.Request) endless { return endless{"HTTP/1.1 200 OK\r\n\r\n", filler} },
	func(*http.Request) endless { return endless{"", "HTTP/1.1 103 Early Hints\r\n" + manyLines + "\r\n"} },
	func(*http.Request) endless { return endless{chunkedHead + "\r\n", "1;" + filler[:3000] + "\r\nx\r\n"} },
	func(*http.Request) endless { return endless{chunkedHead + "\r\n1\r\nx\r\n0\r\n", manyLines} },
	func(*http.Request) endless { return page(denseRows) },
	// Rows that take nearly what a page may, without end.
	func(r *http.Request) endless {
		return page(`{"ver":1,"has_more":true,"rows":[` + strings.Repeat("{},", 40000) + `{"key":"` + r.URL.Query().Get("from") + `a"}]}`)
	},
	// Long values, without end.
	func(r *http.Request) endless {
		value := strings.Repeat("x", 2<<20)
		return page(`{"ver":1,"has_more":true,"rows":[{"key":"` + r.URL.Query().Get("from") + `a","value":"` + value + `"}]}`)
	},
}

// page returns the complete response of a store.
func page(text string) endless {
	return endless{"HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text, ""}
}

// startFaultyStore starts a store that passes calls to the one at an address until its kind is set.
func startFaultyStore(t *testing.T, to netip.AddrPort) *faultyStore {
	t.Helper()
	f := &faultyStore{}
	forward := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: to.String()})
	// A call that the VM abandons isn't worth a line.
	forward.ErrorLog = log.New(io.Discard, "", 0)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		kind := f.kind.Load()
		if kind == 0 {
			forward.ServeHTTP(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close() //nolint:errcheck // nothing is left to do
		f.calls.Add(1)
		storeKinds[kind-1](r).write(c)
	}))
	t.Cleanup(s.Close)
	f.address = netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
	return f
}

// others returns the addresses of the VM that aren't for callers, by a path that is served there.
func (p *process) others() map[string]string {
	return map[string]string{
		platform.PathReady: p.ready, platform.PathDirectory: p.directory.String(), pspeerstate.Path: p.peers.String(), psadmin.PathState: p.operator.String(),
		// Requests of other VMs.
		"/orders/1": netip.AddrPortFrom(p.peers.Addr(), p.peers.Port()+2).String(),
	}
}

const (
	// datagramPause is the pause after each round of datagrams.
	datagramPause = 500 * time.Microsecond
	// denseRounds is the number of rounds between datagrams that take long to decode, so that the others aren't lost.
	denseRounds = 100
)

// flood sends datagrams to the VM as other VMs do.
func (p *process) flood(t *testing.T, d time.Duration) {
	t.Helper()
	bomb := func(text string) string {
		var b bytes.Buffer
		z := gzip.NewWriter(&b)
		_, _ = io.WriteString(z, text)
		_ = z.Close()
		return `{"method":"digest","params":{"digest":"` + base64.StdEncoding.EncodeToString(b.Bytes()) + `"}}`
	}
	dense := []string{
		filler[:30000], strings.Repeat("[", 30000), `{"method":"report","params":[` + strings.Repeat("{},", 9000) + `{}]}`,
		`{"method":"report","params":{"vm":"a","incarnation":1,"demands":{` + strings.Repeat(`"":1,`, 5000) + `"":1}}}`,
		bomb(strings.Repeat(" ", 12<<20)), bomb(`{"reports":[` + strings.Repeat("{},", 300000) + `{}]}`),
	}
	for round, end := 0, time.Now().Add(d); time.Now().Before(end); round++ {
		// Each round has an address of its own.
		c, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(p.peers))
		qt.Assert(t, err, qt.IsNil)
		datagrams := []string{fmt.Sprintf(`{"method":"take","id":"%d%s","params":{"workspace":"w"}}`, round, filler[:20000])}
		for vm := range 4 {
			datagrams = append(datagrams, fmt.Sprintf(`{"method":"report","params":{"vm":"other-%d-%d","failureDomain":"north-a","region":"north",`+
				`"callers":"127.0.0.9:1","peers":"127.0.0.9:1","incarnation":1,"sequence":1,"failed":["%s"]}}`, round, vm, filler[:20000]))
		}
		if round%denseRounds == 0 {
			datagrams = append(datagrams, dense...)
		}
		for _, text := range datagrams {
			// A datagram that finds no room is lost.
			_, _ = c.Write([]byte(text))
		}
		_ = c.Close()
		time.Sleep(datagramPause)
	}
}

// ordinaryCallers is the number of callers that send one request after the other.
const ordinaryCallers = 8

// callOrdinarily sends ordinary requests for a while. It checks that none was run that was refused as not run.
func (p *process) callOrdinarily(t *testing.T, d time.Duration) {
	t.Helper()
	var wait sync.WaitGroup
	var mutex sync.Mutex
	statuses := map[int]int{}
	var refused []string
	for caller := range ordinaryCallers {
		wait.Go(func() {
			for n, end := 0, time.Now().Add(d); time.Now().Before(end); n++ {
				id := fmt.Sprintf("ordinary-%d-%d", caller, n)
				status := getAs("http://"+p.callers+"/orders/1", id)
				mutex.Lock()
				statuses[status]++
				switch status {
				case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
					refused = append(refused, id)
				}
				mutex.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	t.Logf("ordinary requests by status: %v", statuses)
	for _, id := range refused {
		_, found := p.ran.Load(id)
		qt.Check(t, found, qt.IsFalse, qt.Commentf("%s was refused as not run, and ran", id))
	}
}
