package psdev

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestAddressPoolsOfProcessesAreDisjoint allocates ports like two processes that run at the same time. It guards
// against a process that takes the port of a VM or server that another process is restarting.
func TestAddressPoolsOfProcessesAreDisjoint(t *testing.T) {
	var a, b addressPool
	t.Cleanup(func() {
		qt.Check(t, a.lock.Close(), qt.IsNil)
		qt.Check(t, b.lock.Close(), qt.IsNil)
	})
	taken := map[uint16]bool{}
	for range blockPorts {
		for _, p := range []*addressPool{&a, &b} {
			address, err := p.serverAddress()
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, taken[address.Port()], qt.IsFalse)
			taken[address.Port()] = true
		}
	}
}
