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
	// to is the address of the VM that the clients connect to; empty for the one for callers.
	to string
}

// run connects all clients at once, lets them go on for a while and disconnects them.
func (p *process) run(crowd ...members) { p.runFor(crowdDuration, crowd...) }

func (p *process) runFor(d time.Duration, crowd ...members) {
	var wait sync.WaitGroup
	dialer := net.Dialer{Timeout: d, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	end := time.Now().Add(d)
	for _, m := range crowd {
		if m.to == "" {
			m.to = p.callers
		}
		for range m.count {
			wait.Go(func() {
				c, err := dialer.Dial("tcp", m.to) //nolint:noctx // a test's connection
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

// to returns the clients, connected to another address of the VM.
func to(address string, crowd ...members) []members {
	for i := range crowd {
		crowd[i].to = address
	}
	return crowd
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

// receives returns a client that sends a request and reads the response.
func receives(request string) client {
	return func(c net.Conn) {
		if _, err := io.WriteString(c, request); err == nil {
			_, _ = io.Copy(io.Discard, c)
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

// folded returns lines that continue the one before.
func folded(i int) string {
	if i == 0 {
		return "a:\r\n"
	}
	return " b\r\n"
}

func onlyColon(int) string { return ":\r\n" }

// shortLines are clients that send heads within the limit of very many lines.
func shortLines(n int) []members {
	return []members{
		{count: n, client: writes(head(headerBytes, sameName))},
		{count: n, client: writes(head(headerBytes, ownName))},
		{count: n, client: writes(head(headerBytes, oddName))},
	}
}

// oddLines are clients that send heads within the limit of folded lines, or of lines that are only a colon.
func oddLines(n int) []members {
	return []members{{count: n, client: writes(head(headerBytes, folded))}, {count: n, client: writes(head(headerBytes, onlyColon))}}
}

// oversized are clients that send heads over the limit, and heads without end, at once and slowly.
func oversized(n int) []members {
	start := "GET /orders/1 HTTP/1.1\r\n" + ordinaryLines
	return []members{
		{count: n, client: writes(head(4*headerBytes, ownName))},
		{count: n, client: repeats(start, strings.Repeat("a:\r\n", 1000), time.Millisecond)},
		{count: n, client: repeats(start, "a:\r\n", 50*time.Millisecond)},
		{count: n, client: repeats("GET /", strings.Repeat("x", 1000), 10*time.Millisecond)},
	}
}

// emptyLines are clients that send empty lines in place of a request, at once and slowly, also after a request.
func emptyLines(n int) []members {
	lines := strings.Repeat("\r\n", 2000)
	return []members{
		{count: n, client: repeats("", lines, time.Millisecond)},
		{count: n, client: repeats("", "\r\n", 50*time.Millisecond)},
		{count: n, client: repeats("POST /orders/1 HTTP/1.1\r\n"+ordinaryLines+"Content-Length: 0\r\n\r\n", lines, time.Millisecond)},
	}
}

// slowReaders are clients that ask for long responses and read them slowly or never.
func slowReaders(n int) []members {
	request := "GET /boards/1 HTTP/1.1\r\n" + ordinaryLines + "\r\n"
	return []members{
		{count: n, client: reads(request, 20*time.Millisecond)},
		{count: n, client: reads(request, time.Hour/1000)},
		{count: n, client: reads(strings.Repeat(request, 4), time.Hour/1000)},
	}
}

// unreadPipelines are clients that read nothing and send further requests behind a long response: later, without end, or
// one that runs alone.
func unreadPipelines(n int) []members {
	long := "GET /boards/1 HTTP/1.1\r\n" + ordinaryLines + "\r\n"
	once := "POST /orders/1 HTTP/1.1\r\n" + ordinaryLines + "Content-Length: 0\r\n\r\n"
	return []members{
		{count: n, client: repeats(long, long, 500*time.Millisecond)},
		{count: n, client: repeats(long, long, time.Millisecond)},
		{count: n, client: writes(strings.Repeat(long, 16) + once + long)},
	}
}

// idle are clients that connect and send nothing, or nothing after a request.
func idle(n int) []members {
	return []members{
		{count: n, client: func(net.Conn) {}},
		{count: n, client: writes("POST /orders/1 HTTP/1.1\r\n" + ordinaryLines + "Content-Length: 0\r\n\r\n")},
	}
}

// chunkedStart is the head of a request whose body is sent in chunks.
const chunkedStart = "POST /orders/1 HTTP/1.1\r\n" + ordinaryLines + "Transfer-Encoding: chunked\r\n\r\n"

// chunked are clients that send bodies of tiny chunks, with extensions without end, or of many chunks that don't end.
func chunked(n int) []members {
	body := strings.Repeat("10\r\n0123456789abcdef\r\n", 60000)
	return []members{
		{count: n, client: repeats(chunkedStart, strings.Repeat("1\r\nx\r\n", 500), 10*time.Millisecond)},
		{count: n, client: repeats(chunkedStart+"1", strings.Repeat(";x=y", 1000), time.Millisecond)},
		{count: n, client: repeats(chunkedStart, "1;"+strings.Repeat("x", 2000)+"\r\nx\r\n", 10*time.Millisecond)},
		{count: n, client: writes(chunkedStart + body)},
	}
}

// trailers are clients that send trailers without end, at once and slowly, after a short body and after one that is
// streamed to a server, and tiny chunks without end behind the part of a body that is buffered.
func trailers(n int) []members {
	short, long := chunkedStart+"1\r\nx\r\n0\r\n", chunkedStart+"120000\r\n"+strings.Repeat("x", 0x120000)+"\r\n"
	return []members{
		{count: n, client: repeats(short, strings.Repeat("a:\r\n", 1000), time.Millisecond)},
		{count: n, client: repeats(short, "a:\r\n", 50*time.Millisecond)},
		{count: n, client: repeats(long+"0\r\n", strings.Repeat("a:\r\n", 1000), 10*time.Millisecond)},
		{count: n, client: repeats(long, strings.Repeat("1\r\nx\r\n", 500), 10*time.Millisecond)},
	}
}

// hostileResponses are clients whose requests get responses that don't end, or that take much memory.
func hostileResponses(n int) []members {
	var crowd []members
	for kind := range hostileKinds {
		crowd = append(crowd, members{count: n, client: receives(fmt.Sprintf("GET /odd/%d HTTP/1.1\r\n%s\r\n", kind, ordinaryLines))})
	}
	return crowd
}

// strangers are clients of an address that isn't for callers: they send heads of many lines, of legal size and without end,
// read responses never, or send nothing.
func strangers(n int, path string) []members {
	request := "GET " + path + " HTTP/1.1\r\n" + ordinaryLines
	short := request + strings.Repeat("a:\r\n", 1900)
	return []members{
		{count: n, client: writes(short + "\r\n")},
		{count: n, client: writes(short)},
		{count: n, client: repeats(request, strings.Repeat("a:\r\n", 1000), time.Millisecond)},
		{count: n, client: repeats(request, "a:\r\n", 50*time.Millisecond)},
		{count: n, client: repeats(request+"\r\n", request+"\r\n", time.Millisecond)},
		{count: n, client: func(net.Conn) {}},
	}
}

// TestHeadsOfManyShortLines covers heads of legal size that take many times their size once they are parsed.
func TestHeadsOfManyShortLines(t *testing.T) {
	p := startVM(t)
	p.run(shortLines(150)...)
	p.check(t)
}

// TestHeadsOfOddLines covers heads of legal size whose lines are folded, or only a colon.
func TestHeadsOfOddLines(t *testing.T) {
	p := startVM(t)
	p.run(oddLines(300)...)
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
	p.run(emptyLines(200)...)
	p.check(t)
}

// TestLongResponsesReadSlowly covers long responses that many callers read slowly or never.
func TestLongResponsesReadSlowly(t *testing.T) {
	p := startVM(t)
	p.run(slowReaders(150)...)
	p.check(t)
}

// TestUnreadResponsesAheadOfPipeline covers callers that read nothing and send further requests behind a long response.
func TestUnreadResponsesAheadOfPipeline(t *testing.T) {
	p := startVM(t)
	p.run(unreadPipelines(100)...)
	p.check(t)
}

// TestIdleConnections covers more idle connections than the VM has descriptors.
func TestIdleConnections(t *testing.T) {
	p := startVM(t)
	p.run(idle(300)...)
	p.check(t)
}

// TestIdleConnectionsAgainAndAgain covers more idle connections than the VM has descriptors, at all of its addresses, five
// times in a row: each time, an ordinary request is served afterwards.
func TestIdleConnectionsAgainAndAgain(t *testing.T) {
	p := startVM(t)
	for range 5 {
		crowd := idle(150)
		for _, a := range p.others() {
			crowd = append(crowd, to(a, idle(60)...)...)
		}
		p.runFor(crowdDuration/4, crowd...)
		p.check(t)
	}
}

// TestChunkedBodies covers chunked bodies whose framing is much longer than their content, and that don't end.
func TestChunkedBodies(t *testing.T) {
	p := startVM(t)
	p.run(chunked(100)...)
	p.check(t)
}

// TestTrailersWithoutEnd covers chunked bodies whose trailers don't end.
func TestTrailersWithoutEnd(t *testing.T) {
	p := startVM(t)
	p.run(trailers(60)...)
	p.check(t)
}

// TestResponsesWithoutEnd covers servers whose heads, interim responses, bodies and trailers don't end.
func TestResponsesWithoutEnd(t *testing.T) {
	p := startVM(t)
	p.run(hostileResponses(40)...)
	p.check(t)
}

// TestStrangersAtOtherAddresses covers clients of the addresses that other VMs, the readiness check, operators and
// callers that look for VMs connect to.
func TestStrangersAtOtherAddresses(t *testing.T) {
	p := startVM(t)
	var crowd []members
	for path, a := range p.others() {
		crowd = append(crowd, to(a, strangers(40, path)...)...)
	}
	p.run(crowd...)
	p.check(t)
}

// TestDatagramsWithoutEnd covers datagrams of other VMs that don't end: unreadable ones, ones that take many times their size
// once they are decoded, and reports of ever other VMs.
func TestDatagramsWithoutEnd(t *testing.T) {
	p := startVM(t)
	p.flood(t, crowdDuration)
	p.check(t)
}

// storeCalls is the number of calls that get each kind of response.
const storeCalls = 3

// TestStoreWithoutEnd covers a store whose responses don't end or take many times their size once they are decoded, each
// a few times. The VM serves on with what it has read before.
func TestStoreWithoutEnd(t *testing.T) {
	p := startVM(t)
	for kind := range storeKinds {
		p.store.kind.Store(int32(kind + 1))
		calls := p.store.calls.Load()
		await(t, "the store is called", func() bool { return p.store.calls.Load() >= calls+storeCalls })
	}
	p.check(t)
}

// manyDescriptors are more than the connections that find room in the memory of the VM need, so that only the memory budget
// bounds what a crowd takes.
const manyDescriptors = 4096

// TestMemoryOfManyConnections covers clients that take much memory, at a VM with many descriptors.
func TestMemoryOfManyConnections(t *testing.T) {
	for name, crowd := range map[string][]members{
		"short lines": shortLines(200), "slow readers": slowReaders(200), "chunked bodies": chunked(150), "trailers": trailers(150),
		"responses without end": hostileResponses(75),
	} {
		t.Run(name, func(t *testing.T) {
			p := startVMWith(t, manyDescriptors)
			p.run(crowd...)
			p.check(t)
		})
	}
}

// TestMemoryOfUnreadPipelines covers callers that read nothing and send further requests, at a VM with many descriptors.
func TestMemoryOfUnreadPipelines(t *testing.T) {
	p := startVMWith(t, manyDescriptors)
	p.run(unreadPipelines(200)...)
	p.check(t)
}

// TestMixedCrowd covers all of these clients at once, beside ordinary callers: what is refused as not run isn't run.
func TestMixedCrowd(t *testing.T) {
	p := startVM(t)
	var crowd []members
	for _, m := range [][]members{
		shortLines(40), oversized(20), emptyLines(10), slowReaders(40), idle(60), chunked(20), oddLines(10), unreadPipelines(20), trailers(10),
		hostileResponses(5),
	} {
		crowd = append(crowd, m...)
	}
	for path, a := range p.others() {
		crowd = append(crowd, to(a, strangers(10, path)...)...)
	}
	var wait sync.WaitGroup
	wait.Go(func() { p.flood(t, crowdDuration) })
	wait.Go(func() { p.callOrdinarily(t, crowdDuration) })
	p.run(crowd...)
	wait.Wait()
	p.check(t)
}
