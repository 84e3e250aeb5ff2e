// Package pscrowd_test runs the process of a VM with low limits and lets a small crowd of clients that the operator
// doesn't control connect to it. Each test checks only what doesn't depend on the speed of the machine: the process lives,
// stays within the memory and the descriptors of its settings, and serves an ordinary request afterwards. The tests
// run one at a time.
package pscrowd_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// crowdDuration is how long clients hold their connections.
const crowdDuration = 4 * time.Second

// receiveBuffer is the size of the receive buffer of a client that reads slowly, in bytes. What it doesn't hold stays with
// the VM.
const receiveBuffer = 4 << 10

// client is how one client uses its connection until the crowd ends, which closes the connection.
type client func(c net.Conn)

// members are clients of one kind.
type members struct {
	count  int
	client client
}

// run connects all clients at once, lets them go on for a while and disconnects them.
func (p *process) run(crowd ...members) {
	var wait sync.WaitGroup
	dialer := net.Dialer{Timeout: crowdDuration, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	end := time.Now().Add(crowdDuration)
	for _, m := range crowd {
		for range m.count {
			wait.Go(func() {
				c, err := dialer.Dial("tcp", p.callers) //nolint:noctx // a test's connection
				if err != nil {
					return
				}
				defer c.Close() //nolint:errcheck // nothing is left to do
				_ = c.SetDeadline(end)
				m.client(c)
				time.Sleep(time.Until(end))
			})
		}
	}
	wait.Wait()
}

const (
	// ordinaryLines are the header lines that a request needs.
	ordinaryLines = "Host: eggs.test\r\nRequest-Id: id-2\r\nDeadline-Ms: 9000\r\n"
	// unsentBody declares a body that is never sent, so that the VM holds the head until the deadline.
	unsentBody = "Content-Length: 10\r\n"
)

// writes returns a client that sends a text at once.
func writes(text string) client {
	return func(c net.Conn) { _, _ = io.WriteString(c, text) }
}

// repeats returns a client that sends a text and then another one again and again, with a pause in between.
func repeats(first, text string, pause time.Duration) client {
	return func(c net.Conn) {
		_, err := io.WriteString(c, first)
		for err == nil {
			_, err = io.WriteString(c, text)
			time.Sleep(pause)
		}
	}
}

// reads returns a client that sends a request and reads a byte of the response from time to time, or nothing.
func reads(request string, pause time.Duration) client {
	return func(c net.Conn) {
		_, err := io.WriteString(c, request)
		var b [1]byte
		for err == nil {
			time.Sleep(pause)
			_, err = c.Read(b[:])
		}
	}
}

// head returns a request of nearly the given length, whose header is filled with the lines that a function returns.
func head(length int, line func(i int) string) string {
	var b bytes.Buffer
	b.WriteString("POST /orders/1 HTTP/1.1\r\n" + ordinaryLines + unsentBody)
	for i := 0; ; i++ {
		l := line(i)
		if b.Len()+len(l)+2 > length {
			return b.String() + "\r\n"
		}
		b.WriteString(l)
	}
}

func sameName(int) string { return "a:\r\n" }

func ownName(i int) string { return fmt.Sprintf("%x:\r\n", i) }

func oddName(i int) string { return fmt.Sprintf("!#$%%&'*+-.^_`|~%x:\t\r\n", i%7) }

// shortLines are clients that send heads within the limit of very many lines.
func shortLines(n int) []members {
	return []members{
		{n, writes(head(headerBytes, sameName))}, {n, writes(head(headerBytes, ownName))}, {n, writes(head(headerBytes, oddName))},
	}
}

// oversized are clients that send heads over the limit, and heads without end, at once and slowly.
func oversized(n int) []members {
	start := "GET /orders/1 HTTP/1.1\r\n" + ordinaryLines
	return []members{
		{n, writes(head(4*headerBytes, ownName))},
		{n, repeats(start, strings.Repeat("a:\r\n", 1000), time.Millisecond)},
		{n, repeats(start, "a:\r\n", 50*time.Millisecond)},
		{n, repeats("GET /", strings.Repeat("x", 1000), 10*time.Millisecond)},
	}
}

// emptyLines are clients that send empty lines in place of a request, at once and slowly, also after a request.
func emptyLines(n int) []members {
	lines := strings.Repeat("\r\n", 2000)
	return []members{
		{n, repeats("", lines, time.Millisecond)},
		{n, repeats("", "\r\n", 50*time.Millisecond)},
		{n, repeats("POST /orders/1 HTTP/1.1\r\n"+ordinaryLines+"Content-Length: 0\r\n\r\n", lines, time.Millisecond)},
	}
}

// slowReaders are clients that ask for long responses and read them slowly or never.
func slowReaders(n int) []members {
	request := "GET /boards/1 HTTP/1.1\r\n" + ordinaryLines + "\r\n"
	return []members{{n, reads(request, 20*time.Millisecond)}, {n, reads(request, time.Hour/1000)}, {n, reads(strings.Repeat(request, 4), time.Hour/1000)}}
}

// idle are clients that connect and send nothing, or nothing after a request.
func idle(n int) []members {
	return []members{{n, func(net.Conn) {}}, {n, writes("POST /orders/1 HTTP/1.1\r\n" + ordinaryLines + "Content-Length: 0\r\n\r\n")}}
}

// chunked are clients that send bodies of tiny chunks, with extensions without end, or of many chunks that don't end.
func chunked(n int) []members {
	start := "POST /orders/1 HTTP/1.1\r\n" + ordinaryLines + "Transfer-Encoding: chunked\r\n\r\n"
	body := strings.Repeat("10\r\n0123456789abcdef\r\n", 60000)
	return []members{
		{n, repeats(start, strings.Repeat("1\r\nx\r\n", 500), 10*time.Millisecond)},
		{n, repeats(start+"1", strings.Repeat(";x=y", 1000), time.Millisecond)},
		{n, repeats(start, "1;"+strings.Repeat("x", 2000)+"\r\nx\r\n", 10*time.Millisecond)},
		{n, writes(start + body)},
	}
}

// TestHeadsOfManyShortLines covers heads of legal size that take many times their size once they are parsed.
func TestHeadsOfManyShortLines(t *testing.T) {
	p := startVM(t)
	p.run(shortLines(150)...)
	p.check(t)
}

// TestHeadsOverTheLimit covers heads that are longer than the limit, and heads without end.
func TestHeadsOverTheLimit(t *testing.T) {
	p := startVM(t)
	p.run(oversized(75)...)
	p.check(t)
}

// TestEmptyLinesBeforeRequest covers empty lines without end before a request.
func TestEmptyLinesBeforeRequest(t *testing.T) {
	p := startVM(t)
	p.run(emptyLines(50)...)
	p.check(t)
}

// TestLongResponsesReadSlowly covers long responses that many callers read slowly or never.
func TestLongResponsesReadSlowly(t *testing.T) {
	p := startVM(t)
	p.run(slowReaders(150)...)
	p.check(t)
}

// TestIdleConnections covers more idle connections than the VM has descriptors.
func TestIdleConnections(t *testing.T) {
	p := startVM(t)
	p.run(idle(300)...)
	p.check(t)
}

// TestChunkedBodies covers chunked bodies whose framing is much longer than their content, and that don't end.
func TestChunkedBodies(t *testing.T) {
	p := startVM(t)
	p.run(chunked(100)...)
	p.check(t)
}

// TestMixedCrowd covers all of these clients at once.
func TestMixedCrowd(t *testing.T) {
	p := startVM(t)
	var crowd []members
	for _, m := range [][]members{shortLines(40), oversized(20), emptyLines(10), slowReaders(40), idle(60), chunked(20)} {
		crowd = append(crowd, m...)
	}
	p.run(crowd...)
	p.check(t)
}
