package psdev

import (
	"net"
	"net/netip"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

const (
	// firstPort is the first port of backend servers. All their ports are below the ephemeral range, so that no
	// outgoing connection occupies the port of a server that restarts.
	firstPort = 20000
	// blockPorts is the number of ports in the block of one process, and blocks the number of processes that can
	// run at the same time.
	blockPorts = 500
	blocks     = 24
	// firstLock is the first of the lock ports. A process that uses a block holds a UDP socket on its lock port.
	firstLock = 19900
	// firstVMNetwork is the second byte of the loopback addresses of VMs in the first block.
	firstVMNetwork = 64
	// vmsPerNetwork is the number of VMs whose addresses share the third byte.
	vmsPerNetwork = 250
)

// loopback returns a loopback address whose port the operating system chooses.
func loopback() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
}

// addressPool allocates the addresses of one process. Pools of different processes are disjoint, and an address is
// reused only after all others. So a VM or server that restarts finds its own address free.
type addressPool struct {
	mutex sync.Mutex
	// lock reserves the block until the process ends; nil before a block is reserved.
	lock       net.PacketConn
	block      int
	nextServer int
	nextVM     int
}

// processAddresses is the address pool of this process.
var processAddresses addressPool

// serverAddress returns the next address for a backend server.
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

// vmAddress returns the next address for a VM. All ports of the address are free.
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

// lockBlock reserves a block for the process, unless it has one. The caller must hold the mutex.
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
	return errors.Errorf("reserve block of ports: all %d blocks are in use", blocks)
}
