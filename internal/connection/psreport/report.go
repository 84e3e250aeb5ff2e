// Package psreport carries the reports of VMs to each other.
//
// A report is a JSON-RPC notification in one datagram. A datagram that is lost is replaced
// by the next one, and a VM that can't be reached holds nothing up.
package psreport

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"persimmonstep/internal/process/psfleet"
)

const (
	method = "report"
	// maxDatagramBytes bounds a report.
	maxDatagramBytes = 32 << 10
)

// Link sends and receives reports.
type Link struct {
	socket *net.UDPConn
}

// Listen opens a link at an address. The clean-up function closes it.
func Listen(ctx context.Context, address netip.AddrPort) (*Link, func(), error) {
	c, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp4", address.String())
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen for reports")
	}
	u, found := c.(*net.UDPConn)
	if !found {
		return nil, nil, errors.Errorf("a datagram socket is a %T", c)
	}
	return &Link{socket: u}, func() { _ = u.Close() }, nil
}

// Encode returns the datagram of a report.
func Encode(r *psfleet.Report) ([]byte, error) {
	n := &jsonrpc2.Request{Method: method, Notif: true}
	if err := n.SetParams(r); err != nil {
		return nil, errors.Wrap(err, "encode a report")
	}
	data, err := json.Marshal(n)
	return data, errors.Wrap(err, "encode a report")
}

// Decode reads a datagram.
func Decode(data []byte) (*psfleet.Report, error) {
	var n jsonrpc2.Request
	if err := json.Unmarshal(data, &n); err != nil {
		return nil, errors.Wrap(err, "decode a report")
	}
	if n.Method != method || n.Params == nil {
		return nil, errors.Errorf("the method %q is unknown", n.Method)
	}
	r := &psfleet.Report{}
	if err := json.Unmarshal(*n.Params, r); err != nil {
		return nil, errors.Wrap(err, "decode a report")
	}
	return r, r.Check()
}

// Send sends a datagram to a VM.
func (l *Link) Send(data []byte, to netip.AddrPort) error {
	_, err := l.socket.WriteToUDPAddrPort(data, to)
	return errors.Wrap(err, "send a report")
}

// Receive passes on reports until the link is closed. Datagrams that can't be read go to unread.
func (l *Link) Receive(take func(*psfleet.Report), unread func(netip.AddrPort, error)) error {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := l.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "receive reports")
		}
		r, err := Decode(buffer[:n])
		if err != nil {
			unread(from, err)
			continue
		}
		take(r)
	}
}
