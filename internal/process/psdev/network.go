package psdev

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"persimmonstep/internal/connection/psreport"
	"persimmonstep/internal/process/pssteer"
)

// Links are the ways between VMs. They can be cut, and count what is sent.
type Network struct {
	sentBytes atomic.Int64

	mutex sync.Mutex
	// sides names the side of a cut that a VM is on. VMs of the same side reach each other.
	partitions map[netip.Addr]string
}

// Cut puts a VM on a side. VMs that are on no side reach each other.
func (l *Network) SetPartition(vm netip.Addr, side string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.partitions == nil {
		l.partitions = make(map[netip.Addr]string)
	}
	l.partitions[vm] = side
}

// Bytes returns the number of bytes of all reports that VMs sent.
func (l *Network) SentBytes() int64 { return l.sentBytes.Load() }

func (l *Network) separated(a, b netip.Addr) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.partitions[a] != l.partitions[b]
}

// network returns how a VM at an address reaches others.
func (l *Network) forVM(at netip.Addr) pssteer.Network {
	return pssteer.Network{
		Source: at,
		Listen: func(ctx context.Context, address netip.AddrPort) (psreport.Socket, error) {
			s, err := psreport.Listen(ctx, address)
			return &socket{Socket: s, network: l, from: at}, err
		},
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			to, err := netip.ParseAddrPort(address)
			if err != nil {
				return nil, errors.Wrap(err, "connect to a VM")
			}
			if l.separated(at, to.Addr()) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return (&net.Dialer{}).DialContext(ctx, network, address)
		},
	}
}

// socket loses what is sent over a cut link.
type socket struct {
	psreport.Socket
	network *Network
	from    netip.Addr
}

// WriteToUDPAddrPort sends a datagram, unless its link is cut.
func (s *socket) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	if s.network.separated(s.from, to.Addr()) {
		return len(b), nil
	}
	s.network.sentBytes.Add(int64(len(b)))
	return s.Socket.WriteToUDPAddrPort(b, to)
}
