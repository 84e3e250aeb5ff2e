package psserve_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"persimmonstep/internal/connection/psbudget"
	"persimmonstep/internal/connection/pslistener"
	"persimmonstep/internal/connection/psserve"
	"persimmonstep/internal/version/psconfig"
)

// benchmarkHandler sends a small response, as most requests have.
var benchmarkHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "5")
	w.Header().Set("Content-Type", "text/plain")
	_, _ = io.WriteString(w, "hello")
})

// BenchmarkKeepAlive compares the server with that of net/http: a small response on a kept connection.
func BenchmarkKeepAlive(b *testing.B) {
	b.Run("psserve", func(b *testing.B) {
		s := psserve.New(psserve.Options{
			Handler: benchmarkHandler, Budget: psbudget.New(64<<20, time.Now), MaxConnections: 100, Limits: func() psconfig.Limits { return psconfig.Limits{} },
		})
		benchmark(b, s)
	})
	b.Run("net-http", func(b *testing.B) {
		benchmark(b, &http.Server{Handler: benchmarkHandler, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute})
	})
}

func benchmark(b *testing.B, s interface {
	Serve(l net.Listener) error
	Close() error
},
) {
	l, err := pslistener.Listen(context.Background(), netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	defer s.Close()                              //nolint:errcheck // nothing is left to do
	c, err := net.Dial("tcp", l.Addr().String()) //nolint:noctx // a test's connection
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close() //nolint:errcheck // nothing is left to do
	request := []byte("GET /boards/1 HTTP/1.1\r\nHost: eggs.test\r\nRequest-Id: id-1\r\nDeadline-Ms: 1000\r\nAffinity-Key: o-1\r\nAuthorization: Bearer k\r\n\r\n")
	reader := bufio.NewReader(c)
	b.ReportAllocs()
	before, calls := processorTime(), systemCalls()
	defer func() {
		b.ReportMetric(float64(processorTime()-before)/float64(b.N), "cpu-ns/op")
		b.ReportMetric(float64(systemCalls()-calls)/float64(b.N), "calls/op")
	}()
	for b.Loop() {
		if _, err := c.Write(request); err != nil {
			b.Fatal(err)
		}
		for {
			line, err := reader.ReadSlice('\n')
			if err != nil {
				b.Fatal(err)
			}
			if len(line) == 2 {
				break
			}
		}
		if _, err := reader.Discard(len("hello")); err != nil {
			b.Fatal(err)
		}
	}
}

// processorTime returns the processor time of the process, which the load of others on the machine hardly changes.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// systemCalls returns the number of reads and writes of the process.
func systemCalls() int {
	text, _ := os.ReadFile("/proc/self/io")
	n := 0
	for line := range strings.Lines(string(text)) {
		if name, value, _ := strings.Cut(line, ": "); name == "syscr" || name == "syscw" {
			v, _ := strconv.Atoi(strings.TrimSpace(value))
			n += v
		}
	}
	return n
}
