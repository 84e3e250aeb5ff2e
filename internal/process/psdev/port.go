package psdev

import (
	"net"
	"net/netip"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

const (
	// firstPort is the first port for VMs and backend servers. All lie below those that the
	// system gives to outgoing connections, so that one that restarts finds its own free.
	firstPort = 20000
	// blockPorts is the number of ports of a process, and blocks the number of processes that
	// may run at the same time.
	blockPorts = 500
	blocks     = 24
	// firstLock is the first of the ports whose datagram sockets mark a block as taken.
	firstLock = 19900
)

// ports hands out the ports of one process. No other process gets them, and none is handed out
// again before all others were, so that a stopped VM finds its own free.
type ports struct {
	mutex sync.Mutex
	// lock is held until the process ends; nil before a block was taken.
	lock  net.PacketConn
	first int
	next  int
}

// own are the ports of this process.
var own ports

// take returns the next address.
func (p *ports) take() (netip.AddrPort, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.lock == nil {
		if err := p.takeBlock(); err != nil {
			return netip.AddrPort{}, err
		}
	}
	port := p.first + p.next%blockPorts
	p.next++
	return netip.AddrPortFrom(loopback().Addr(), uint16(port)), nil
}

func (p *ports) takeBlock() error {
	for i := range blocks {
		c, err := net.ListenPacket("udp4", net.JoinHostPort("127.0.0.1", strconv.Itoa(firstLock+i)))
		if err == nil {
			p.lock, p.first = c, firstPort+i*blockPorts
			return nil
		}
	}
	return errors.Errorf("%d processes hold all ports", blocks)
}
