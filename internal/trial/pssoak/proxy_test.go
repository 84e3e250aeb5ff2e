package pssoak_test

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// mode is how a proxy treats its connections.
type mode int

const (
	pass mode = iota
	// delayed delays each chunk by proxyDelay.
	delayed
	// reset resets all connections and rejects new ones.
	reset
	// blackholed drops all data and leaves the connections open.
	blackholed
	// responsesDropped forwards requests and drops the responses.
	responsesDropped
)

const proxyDelay = 60 * time.Millisecond

// proxy is a TCP proxy that injects network faults between a process and its target.
type proxy struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

func startProxy(t *testing.T, target string) *proxy {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	t.Cleanup(func() {
		_ = l.Close()
		p.set(reset)
	})
	go p.accept()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the mode of open and new connections.
func (p *proxy) set(m mode) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.mode = m
	if m != reset {
		return
	}
	for c := range p.conns {
		if tcp, found := c.(*net.TCPConn); found {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) currentMode() mode {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.mode
}

func (p *proxy) trackConnection(c net.Conn, open bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if open {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	p.trackConnection(c, true)
	defer p.trackConnection(c, false)
	if p.currentMode() == reset {
		return
	}
	out, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	p.trackConnection(out, true)
	defer p.trackConnection(out, false)
	done := make(chan struct{}, 2)
	go p.copy(out, c, done, false)
	go p.copy(c, out, done, true)
	<-done
}

// copy forwards data in one direction.
func (p *proxy) copy(to io.Writer, from io.Reader, done chan<- struct{}, responses bool) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		m := p.currentMode()
		if m == delayed {
			time.Sleep(proxyDelay)
		}
		for m == blackholed || m == responsesDropped && responses {
			time.Sleep(proxyDelay)
			m = p.currentMode()
			if m != blackholed && m != responsesDropped {
				// Dropped data can't be sent later, so the connection ends.
				return
			}
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
