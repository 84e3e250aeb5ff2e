package psdev

import (
	"context"
	"net/netip"
	"sync"

	"persimmonstep/internal/process/pssteer"
)

// vm is a VM that can be started, stopped and killed.
type vm struct {
	name     string
	address  netip.Addr
	settings string

	mutex sync.Mutex
	run   *run
	// failed receives the error of the latest run.
	failed chan error
}

// run is one run of a VM, from its start to its end.
type run struct {
	stop  context.CancelFunc
	kill  chan struct{}
	ended chan struct{}
}

func (v *vm) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(v.address, port) }

// Start starts the VM with an index. It does nothing if the VM was started and not stopped or killed since.
func (s *System) Start(index int) {
	v := s.vms[index]
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.run != nil {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	r := &run{stop: stop, kill: make(chan struct{}), ended: make(chan struct{})}
	v.run, v.failed = r, make(chan error, 1)
	o := pssteer.Options{SettingsPath: v.settings, Output: s.logOutput(v.name), Kill: r.kill, Network: s.Network.ForVM(v.address)}
	failed := v.failed
	go func() {
		defer close(r.ended)
		if err := pssteer.Run(ctx, o); err != nil {
			failed <- err
		}
	}()
}

// failures returns the channel that receives the error of the latest run.
func (v *vm) failures() <-chan error {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.failed
}

// takeRun removes and returns the current run, so that only one caller ends it; nil if there is none.
func (v *vm) takeRun() *run {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	r := v.run
	v.run = nil
	return r
}

// Stop shuts the VM with an index down gracefully and waits for its end.
func (s *System) Stop(index int) {
	if r := s.vms[index].takeRun(); r != nil {
		r.stop()
		<-r.ended
	}
}

// Kill ends the VM with an index at once, like a crash, and waits for its end.
func (s *System) Kill(index int) {
	if r := s.vms[index].takeRun(); r != nil {
		close(r.kill)
		<-r.ended
		r.stop()
	}
}
