package pscontrol

import (
	"fmt"
	"time"

	"persimmonstep/internal/process/psdesiredstate"
	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/psregistry"
	"persimmonstep/internal/process/pssync"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/platform"
)

// StateTag returns a tag that changes whenever the VM's state changes, and the age of the state; false before the
// VM has a configuration and servers.
func (c *Controller) StateTag() (tag string, age time.Duration, found bool) {
	s := c.Snapshot()
	tag = fmt.Sprintf("%d-%d-%v", c.options.Identity.Incarnation, s.Changes, s.DesiredStateRevision)
	return tag, c.options.Now().Sub(s.ServersReadAt), s.CanServe()
}

// ControlState returns this VM's state for other VMs; false before it has a configuration and servers.
func (c *Controller) ControlState() (psmessage.ControlState, bool) {
	s := c.Snapshot()
	if !s.CanServe() {
		return psmessage.ControlState{}, false
	}
	state := s.ControlState(c.options.Now())
	state.ReadsStore = !c.watcher.Lost()
	return state, true
}

// ApplyPeerDesiredState processes the operator's desired state from another VM.
func (c *Controller) ApplyPeerDesiredState(state psmessage.ControlState) {
	c.enqueue(desiredStateEvent{desiredStateOf(state), psdesiredstate.ReadInfo{Full: true}})
}

// ApplyPeerConfiguration processes a newer configuration from another VM.
func (c *Controller) ApplyPeerConfiguration(v *psconfig.Configuration) {
	c.enqueue(configurationEvent{v})
}

// ApplyPeerState processes the state of a VM that reads the store.
func (c *Controller) ApplyPeerState(s pssync.PeerState) { c.enqueue(peerStateEvent{s}) }

// applyPeerState applies the state of a VM that reads the store. Except at the start, it is ignored once this VM
// can read the store again.
func (c *Controller) applyPeerState(e peerStateEvent, now time.Time) {
	if !e.Bootstrap && !c.watcher.Lost() {
		return
	}
	if e.Unchanged {
		c.servers.ReadAt = now.Add(-e.State.Age)
		return
	}
	before := c.servers.Len()
	c.applyDesiredState(desiredStateOf(e.State), psdesiredstate.ReadInfo{Full: true}, now)
	c.servers.Apply(platform.Servers{Entries: e.State.Servers, Revision: e.State.ServersRevision}, psregistry.UpdateInfo{Full: true, Age: e.State.Age, FromPeer: true}, now)
	if before == 0 {
		psevent.ControlStateApplied.Log(c.options.Logger, e.VM, e.State.Configuration.Version, len(e.State.Servers), e.State.Age.String())
	}
}

func desiredStateOf(state psmessage.ControlState) platform.DesiredState {
	return platform.DesiredState{Configuration: state.Configuration, Evacuated: state.Evacuated, Revision: state.DesiredStateRevision, LastChange: state.DesiredStateRevision}
}
