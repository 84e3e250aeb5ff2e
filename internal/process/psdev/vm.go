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
	// failed holds the error that ended a life before it was stopped.
	failed chan error
}

// life is one run of a VM.
type run struct {
	stop  context.CancelFunc
	kill  chan struct{}
	ended chan struct{}
}

func (v *vm) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(v.address, port) }

// Start runs the VM of a position, unless it runs.
func (s *System) Start(position int) {
	v := s.vms[position]
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.run != nil {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	l := &run{stop: stop, kill: make(chan struct{}), ended: make(chan struct{})}
	v.run, v.failed = l, make(chan error, 1)
	o := pssteer.Options{SettingsPath: v.settings, Output: s.logOutput(v.name), Kill: l.kill, Network: s.Network.forVM(v.address)}
	failed := v.failed
	go func() {
		defer close(l.ended)
		if err := pssteer.Run(ctx, o); err != nil {
			failed <- err
		}
	}()
}

// failures returns the channel that gets the error of the latest run.
func (v *vm) failures() <-chan error {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.failed
}

// end takes the run of a VM away, so that it can be ended once.
func (v *vm) takeRun() *run {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	l := v.run
	v.run = nil
	return l
}

// Stop ends the VM of a position gracefully.
func (s *System) Stop(position int) {
	if l := s.vms[position].takeRun(); l != nil {
		l.stop()
		<-l.ended
	}
}

// Kill ends the VM of a position as a crash would.
func (s *System) Kill(position int) {
	if l := s.vms[position].takeRun(); l != nil {
		close(l.kill)
		<-l.ended
		l.stop()
	}
}
