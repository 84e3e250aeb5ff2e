// Package psreport carries what VMs say to each other.
//
// Each message is a JSON-RPC message in one datagram. A report is a notification; one that is
// lost is replaced by the next one. A question has an answer; one that is lost is asked
// again. A VM that can't be reached holds nothing up.
package psreport

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"persimmonstep/internal/process/psfleet"
)

const (
	methodReport = "report"
	methodNotice = "notice"
	methodDigest = "digest"
	methodTake   = "take"
	// maxDatagramBytes bounds a message.
	maxDatagramBytes = 32 << 10
	// asks is how often a question is sent.
	asks = 2
)

// ErrSilent says that a question has no answer.
var ErrSilent = errors.New("the VM does not answer")

// Handler takes what other VMs say.
type Handler interface {
	// Heard takes a report.
	Heard(r *psfleet.Report)
	// Noticed takes a notice.
	Noticed(n *psfleet.Notice)
	// Digested takes a digest.
	Digested(d *psfleet.Digest)
	// Lend answers a question for a token of a workspace.
	Lend(t psfleet.TokenRequest) psfleet.TokenResponse
	// Unread takes a datagram that can't be read.
	Unread(from netip.AddrPort, err error)
}

// Socket sends and receives datagrams.
type Socket interface {
	ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// Link sends and receives messages. It is safe for concurrent use.
type Link struct {
	socket Socket
	packer packer

	mutex   sync.Mutex
	last    uint64
	waiting map[uint64]chan psfleet.TokenResponse
	delays  delays
	// answers are those that were given lately. They belong to the goroutine that receives.
	answers answers
}

// Listen opens a socket at an address.
func Listen(ctx context.Context, address netip.AddrPort) (Socket, error) {
	c, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp4", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for reports")
	}
	u, found := c.(*net.UDPConn)
	if !found {
		return nil, errors.Errorf("a datagram socket is a %T", c)
	}
	return u, nil
}

// New returns a link over a socket. The clean-up function closes both.
func New(s Socket) (*Link, func()) {
	// A restarted VM must not get the answers to the questions of its last process.
	return &Link{socket: s, last: rand.Uint64(), waiting: make(map[uint64]chan psfleet.TokenResponse)}, func() { _ = s.Close() }
}

// Report sends a report to each of the VMs. One that can't be reached is shown by its silence.
func (l *Link) Report(r *psfleet.Report, to []psfleet.Identity) error {
	return l.notify(methodReport, r, to)
}

// Notice sends a notice to each of the VMs.
func (l *Link) Notice(n *psfleet.Notice, to []psfleet.Identity) error {
	return l.notify(methodNotice, n, to)
}

func (l *Link) notify(method string, params any, to []psfleet.Identity) error {
	n := &jsonrpc2.Request{Method: method, Notif: true}
	if err := n.SetParams(params); err != nil {
		return errors.Wrapf(err, "encode a %s", method)
	}
	data, err := json.Marshal(n)
	if err != nil {
		return errors.Wrapf(err, "encode a %s", method)
	}
	for _, i := range to {
		if _, failed := l.socket.WriteToUDPAddrPort(data, i.PeerAddress); failed != nil {
			err = errors.Wrapf(failed, "send a %s to %s", method, i.VM)
		}
	}
	return err
}

// Take asks a VM for a token of a workspace.
func (l *Link) Take(ctx context.Context, to netip.AddrPort, t psfleet.TokenRequest) (psfleet.TokenResponse, error) {
	id, answer := l.open()
	defer l.close(id)
	q := &jsonrpc2.Request{Method: methodTake, ID: jsonrpc2.ID{Num: id}}
	if err := q.SetParams(t); err != nil {
		return psfleet.TokenResponse{}, errors.Wrap(err, "encode a question")
	}
	data, err := json.Marshal(q)
	if err != nil {
		return psfleet.TokenResponse{}, errors.Wrap(err, "encode a question")
	}
	for range asks {
		begun := time.Now()
		if _, err := l.socket.WriteToUDPAddrPort(data, to); err != nil {
			return psfleet.TokenResponse{}, errors.Wrap(err, "ask")
		}
		select {
		case g := <-answer:
			l.delays.observe(to, time.Since(begun))
			return g, nil
		case <-ctx.Done():
			return psfleet.TokenResponse{}, ctx.Err()
		case <-time.After(l.delays.timeout(to)):
		}
	}
	return psfleet.TokenResponse{}, ErrSilent
}

func (l *Link) open() (uint64, chan psfleet.TokenResponse) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.last++
	c := make(chan psfleet.TokenResponse, 1)
	l.waiting[l.last] = c
	return l.last, c
}

func (l *Link) close(id uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.waiting, id)
}

// message is any JSON-RPC message.
type message struct {
	Method string           `json:"method"`
	ID     jsonrpc2.ID      `json:"id"`
	Params *json.RawMessage `json:"params"`
	Result *json.RawMessage `json:"result"`
}

// Receive passes on messages until the link is closed.
func (l *Link) Receive(h Handler) error {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := l.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "receive")
		}
		if err := l.take(h, buffer[:n], from); err != nil {
			h.Unread(from, err)
		}
	}
}

// take handles one datagram.
func (l *Link) take(h Handler, data []byte, from netip.AddrPort) error {
	var m message
	if err := json.Unmarshal(data, &m); err != nil {
		return errors.Wrap(err, "decode a message")
	}
	switch {
	case m.Method == methodReport && m.Params != nil:
		return takeReport(h, *m.Params)
	case m.Method == methodNotice && m.Params != nil:
		return takeNotice(h, *m.Params)
	case m.Method == methodDigest && m.Params != nil:
		return l.takeDigest(h, *m.Params)
	case m.Method == methodTake && m.Params != nil:
		return l.answer(h, m, from)
	case m.Method == "" && m.Result != nil:
		return l.answered(m)
	}
	return errors.Errorf("the method %q is unknown", m.Method)
}

func takeReport(h Handler, params []byte) error {
	r := &psfleet.Report{}
	if err := json.Unmarshal(params, r); err != nil {
		return errors.Wrap(err, "decode a report")
	}
	if err := r.Check(); err != nil {
		return err
	}
	h.Heard(r)
	return nil
}

func takeNotice(h Handler, params []byte) error {
	n := &psfleet.Notice{}
	if err := json.Unmarshal(params, n); err != nil {
		return errors.Wrap(err, "decode a notice")
	}
	if err := n.Check(); err != nil {
		return err
	}
	h.Noticed(n)
	return nil
}

func (l *Link) answer(h Handler, m message, from netip.AddrPort) error {
	k := question{from, m.ID.Num}
	data, found := l.answers.get(k)
	if !found {
		var err error
		if data, err = lend(h, m); err != nil {
			return err
		}
		l.answers.put(k, data)
	}
	_, err := l.socket.WriteToUDPAddrPort(data, from)
	return errors.Wrap(err, "answer")
}

// lend makes the answer to a question.
func lend(h Handler, m message) ([]byte, error) {
	var t psfleet.TokenRequest
	if err := json.Unmarshal(*m.Params, &t); err != nil {
		return nil, errors.Wrap(err, "decode a question")
	}
	a := &jsonrpc2.Response{ID: m.ID}
	if err := a.SetResult(h.Lend(t)); err != nil {
		return nil, errors.Wrap(err, "encode an answer")
	}
	data, err := json.Marshal(a)
	return data, errors.Wrap(err, "encode an answer")
}

func (l *Link) answered(m message) error {
	var g psfleet.TokenResponse
	if err := json.Unmarshal(*m.Result, &g); err != nil {
		return errors.Wrap(err, "decode an answer")
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if c, found := l.waiting[m.ID.Num]; found {
		delete(l.waiting, m.ID.Num)
		c <- g
	}
	return nil
}
