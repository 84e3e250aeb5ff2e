// Package psnetwork emulates the network between VMs and between VMs and backend servers, over loopback.
//
// VMs can be partitioned from each other, and each VM's links to all backend servers can fail, so that open connections
// hang, are reset, or live on while new ones are refused.
package psnetwork

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/connection/pspeer"
	"persimmonstep/internal/process/pssteer"
)

// Network is an emulated network. It also counts the bytes of the datagrams that VMs send.
type Network struct {
	sentBytes atomic.Int64

	mutex sync.Mutex
	// partitions holds the name of each VM's partition. Only VMs of the same partition reach each other. VMs
	// without an entry are in the partition named by the empty string.
	partitions map[netip.Addr]string
	// latency returns the time that a datagram takes from one VM to another; nil if there is none.
	latency func(from, to netip.Addr) time.Duration
	// serverLinks holds the links of each VM to the backend servers.
	serverLinks map[netip.Addr]*serverLinks
}

// SetPartition moves a VM to a partition. All VMs start in the partition named by the empty string.
func (n *Network) SetPartition(vm netip.Addr, partition string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.partitions == nil {
		n.partitions = make(map[netip.Addr]string)
	}
	n.partitions[vm] = partition
}

// SetLatency sets the time that a datagram takes from one VM to another.
func (n *Network) SetLatency(f func(from, to netip.Addr) time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.latency = f
}

func (n *Network) latencyBetween(from, to netip.Addr) time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.latency == nil {
		return 0
	}
	return n.latency(from, to)
}

// SentBytes returns the number of bytes of all datagrams between VMs, without those that were dropped.
func (n *Network) SentBytes() int64 { return n.sentBytes.Load() }

func (n *Network) separated(a, b netip.Addr) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.partitions[a] != n.partitions[b]
}

// ForVM returns the connection of the VM at an address to the network.
func (n *Network) ForVM(at netip.Addr) pssteer.Network {
	return pssteer.Network{
		Source: at,
		Listen: func(ctx context.Context, address netip.AddrPort) (pspeer.Socket, error) {
			s, err := pspeer.Listen(ctx, address)
			return &socket{Socket: s, network: n, from: at}, err
		},
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			to, err := netip.ParseAddrPort(address)
			if err != nil {
				return nil, errors.Wrap(err, "dial VM")
			}
			if n.separated(at, to.Addr()) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			d := &net.Dialer{LocalAddr: &net.TCPAddr{IP: at.AsSlice()}}
			return d.DialContext(ctx, network, address)
		},
		DialServer: n.linksOf(at).dial,
	}
}

// socket is the UDP socket of a VM. It drops datagrams to other partitions and counts the bytes of the others.
type socket struct {
	pspeer.Socket
	network *Network
	from    netip.Addr
}

// WriteToUDPAddrPort sends a datagram. It drops datagrams to another partition, without an error as on a real network.
func (s *socket) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	if s.network.separated(s.from, to.Addr()) {
		return len(b), nil
	}
	s.network.sentBytes.Add(int64(len(b)))
	if d := s.network.latencyBetween(s.from, to.Addr()); d > 0 {
		sent := bytes.Clone(b)
		// An error that comes later, such as that of a closed socket, means a lost datagram.
		time.AfterFunc(d, func() { _, _ = s.Socket.WriteToUDPAddrPort(sent, to) })
		return len(b), nil
	}
	return s.Socket.WriteToUDPAddrPort(b, to)
}
