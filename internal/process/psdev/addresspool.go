package psdev

import (
	"net"
	"net/netip"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

const (
	// firstPort is the first port for backend servers. All lie below those that the system
	// gives to outgoing connections, so that one that restarts finds its own free.
	firstPort = 20000
	// blockPorts is the number of ports of a process, and blocks the number of processes that
	// may run at the same time.
	blockPorts = 500
	blocks     = 24
	// firstLock is the first of the ports whose datagram sockets mark a block as taken.
	firstLock = 19900
	// firstNetwork is the second byte of the first block's loopback addresses for VMs.
	firstVMNetwork = 64
	// networkVMs bounds the VMs that have the third byte of their addresses in common.
	vmsPerNetwork = 250
)

// loopback is an address whose port the system chooses.
func loopback() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
}

// ports hands out the addresses of one process. No other process gets them, and none is handed
// out again before all others were, so that a stopped VM or server finds its own free.
type addressPool struct {
	mutex sync.Mutex
	// lock is held until the process ends; nil before a block was taken.
	lock       net.PacketConn
	block      int
	nextServer int
	nextVM     int
}

// own are the addresses of this process.
var processAddresses addressPool

// take returns the next address for a backend server.
func (p *addressPool) serverAddress() (netip.AddrPort, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err := p.lockBlock(); err != nil {
		return netip.AddrPort{}, err
	}
	port := firstPort + p.block*blockPorts + p.nextServer%blockPorts
	p.nextServer++
	return netip.AddrPortFrom(loopback().Addr(), uint16(port)), nil
}

// takeVM returns the next address for a VM, all of whose ports are free.
func (p *addressPool) vmAddress() (netip.Addr, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err := p.lockBlock(); err != nil {
		return netip.Addr{}, err
	}
	n := p.nextVM
	p.nextVM++
	return netip.AddrFrom4([4]byte{127, byte(firstVMNetwork + p.block), byte(n / vmsPerNetwork), byte(1 + n%vmsPerNetwork)}), nil
}

// lockBlock takes a block, unless there is one. The mutex is held.
func (p *addressPool) lockBlock() error {
	if p.lock != nil {
		return nil
	}
	for i := range blocks {
		c, err := net.ListenPacket("udp4", net.JoinHostPort("127.0.0.1", strconv.Itoa(firstLock+i)))
		if err == nil {
			p.lock, p.block = c, i
			return nil
		}
	}
	return errors.Errorf("%d processes hold all ports", blocks)
}
