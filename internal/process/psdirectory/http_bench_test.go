package psdirectory

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
)

// BenchmarkAnswerOverHTTP is the processor time of one look-up with the HTTP server around
// it. The caller sends batches over one connection and only counts bytes, so that nearly
// all of the time is the server's.
func BenchmarkAnswerOverHTTP(b *testing.B) {
	const batch = 32
	d := &Directory{Plans: &fixedPlan{plan: network(b, 1, 26, 25, 8000)}, Members: downList{}, Locator: BlockLocator{}, Logger: hclog.NewNullLogger()}
	s := httptest.NewServer(http.HandlerFunc(d.ServeHTTP))
	defer s.Close()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	qt.Assert(b, err, qt.IsNil)
	defer c.Close() //nolint:errcheck // the benchmark ends
	request := []byte("GET /.well-known/persimmonstep/vms?workspace=w7 HTTP/1.1\r\nHost: vm\r\n\r\n")
	length := answerLength(b, c, request)
	requests, answers := bytes.Repeat(request, batch), make([]byte, length*batch)
	before := processorTime()
	for b.Loop() {
		_, err := c.Write(requests)
		qt.Assert(b, err, qt.IsNil)
		_, err = io.ReadFull(c, answers)
		qt.Assert(b, err, qt.IsNil)
	}
	b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(b.N*batch), "cpu-us/answer")
	b.ReportMetric(float64(length), "B/answer")
	b.ReportMetric(0, "ns/op")
}

// answerLength returns the number of bytes of one whole answer.
func answerLength(b *testing.B, c net.Conn, request []byte) int {
	_, err := c.Write(request)
	qt.Assert(b, err, qt.IsNil)
	var seen bytes.Buffer
	a, err := http.ReadResponse(bufio.NewReader(io.TeeReader(c, &seen)), nil)
	qt.Assert(b, err, qt.IsNil)
	_, err = io.Copy(io.Discard, a.Body)
	qt.Assert(b, err, qt.IsNil)
	_ = a.Body.Close()
	return seen.Len()
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
