package psdev

import (
	"net"
	"sync"
	"sync/atomic"

	"persimmonstep/internal/version/psdoc"
)

// Links can cut the links that lead to VMs, and counts the bytes on them.
type Links struct {
	bytes atomic.Int64
	mutex sync.Mutex
	cut   map[psdoc.Name]bool
	open  map[*linkConn]struct{}
}

func newLinks() *Links {
	return &Links{cut: make(map[psdoc.Name]bool), open: make(map[*linkConn]struct{})}
}

// Cut closes the links that lead to the VM and refuses new ones until [Links.Mend].
func (l *Links) Cut(vm psdoc.Name) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cut[vm] = true
	for c := range l.open {
		if c.to == vm {
			_ = c.Conn.Close()
		}
	}
}

// Mend admits links to the VM again.
func (l *Links) Mend(vm psdoc.Name) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.cut, vm)
}

// Bytes returns the number of bytes that passed between VMs, in both directions.
func (l *Links) Bytes() int64 {
	return l.bytes.Load()
}

// wrap puts the links that a listener of the VM accepts under control.
func (l *Links) wrap(vm psdoc.Name, inner net.Listener) net.Listener {
	return &linkListener{Listener: inner, links: l, vm: vm}
}

// enter registers a connection and reports whether its link is open.
func (l *Links) enter(c *linkConn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.cut[c.to] {
		return false
	}
	l.open[c] = struct{}{}
	return true
}

func (l *Links) leave(c *linkConn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.open, c)
}

// linkListener accepts the links that lead to one VM.
type linkListener struct {
	net.Listener
	links *Links
	vm    psdoc.Name
}

// Accept returns the next connection over an open link.
func (l *linkListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &linkConn{Conn: inner, links: l.links, to: l.vm}
		if l.links.enter(c) {
			return c, nil
		}
		_ = inner.Close()
	}
}

// linkConn is one accepted connection.
type linkConn struct {
	net.Conn
	links *Links
	to    psdoc.Name
}

// Read counts what it reads.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.links.bytes.Add(int64(n))
	return n, err
}

// Write counts what it writes.
func (c *linkConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.links.bytes.Add(int64(n))
	return n, err
}

// Close closes the connection and forgets it.
func (c *linkConn) Close() error {
	c.links.leave(c)
	return c.Conn.Close()
}
