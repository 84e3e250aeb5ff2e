package psexperiment

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"persimmonstep/internal/process/pslimit"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/trial/psbehaviour"
	"persimmonstep/internal/trial/psguarantee"
	"persimmonstep/internal/trial/psnetwork"
	"persimmonstep/internal/trial/psscenario"
	"persimmonstep/platform/psstandin"
)

const (
	// slowFactor multiplies the service time of a slow backend server.
	slowFactor = 10
	// crashDowntime is how long a crashed backend server is down.
	crashDowntime = time.Second
	// unavailableStatus is the status of the store's responses during an outage.
	unavailableStatus = 503
	// pauseDuration is the length of the pause that a server requests.
	pauseDuration = 2 * time.Second
	// rewriteDelay is how long after a restore of the store servers and the operator rewrite their entries.
	rewriteDelay = time.Second
	// limitDuration is how long a server names each of several limits.
	limitDuration = time.Second
)

// runFaults injects the faults of the timetable and waits for all of them.
func (e *experiment) runFaults(ctx context.Context) {
	var running sync.WaitGroup
	for _, f := range e.scenario.Faults {
		running.Go(func() {
			if !sleepUntil(ctx, e.start.Add(f.At.Duration)) {
				return
			}
			e.startFault(ctx, f)
			if f.Until.Duration > 0 && sleepUntil(ctx, e.start.Add(f.Until.Duration)) {
				e.endFault(f)
			}
		})
	}
	running.Wait()
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(t)):
		return true
	}
}

// startFault injects a fault. Poison requests are part of the load and need nothing here.
func (e *experiment) startFault(ctx context.Context, f psscenario.Fault) {
	switch f.Kind {
	case psscenario.FaultKillVM:
		e.recordRestart(f.Target)
		e.system.Kill(f.Target)
	case psscenario.FaultStopVM:
		e.stopVM(f.Target)
	case psscenario.FaultKillRegion:
		e.killRegion(e.firm.Regions[f.Target])
	case psscenario.FaultPartitionRegion:
		e.partition(e.firm.Regions[f.Target], e.firm.Regions[f.Target])
	case psscenario.FaultPartitionAll:
		for i, v := range e.system.Ready.VMs {
			e.system.Network.SetPartition(v.Callers.Addr(), e.topology.VMs[i].Name)
		}
		e.setStoreFault(psstandin.Fault{Silent: true})
	case psscenario.FaultPlatformDown:
		e.setStoreFault(psstandin.Fault{Status: unavailableStatus})
	case psscenario.FaultSlowServer:
		e.changeBehaviour(f.Target, func(b *psbehaviour.Behaviour) { b.ServiceTime *= slowFactor })
	case psscenario.FaultKillServer:
		e.system.Servers[f.Target].Crash(-1)
	case psscenario.FaultDrain:
		e.drain(f.Target)
	case psscenario.FaultRevokeKey:
		e.revokeKey(f.Target)
	case psscenario.FaultLeave:
		e.recordDrain(f.Target)
		e.changeBehaviour(f.Target, func(b *psbehaviour.Behaviour) { b.Leaving = true })
	case psscenario.FaultPause:
		e.changeBehaviour(f.Target, func(b *psbehaviour.Behaviour) { b.Pause = pauseDuration })
	case psscenario.FaultRestore:
		e.snapshotStore(f)
	case psscenario.FaultLimit:
		e.nameLimits(ctx, f)
	case psscenario.FaultCutFromServers:
		e.cutFromServers(f)
	}
}

// endFault ends a partition, an outage, a changed behaviour or the downtime of a VM or a backend server, or restores
// the store. Other faults have no end.
func (e *experiment) endFault(f psscenario.Fault) {
	switch f.Kind {
	case psscenario.FaultKillVM, psscenario.FaultStopVM:
		e.recordRestart(f.Target)
		e.system.Start(f.Target)
	case psscenario.FaultLimit:
		e.setLimit(f, pslimit.Limit{})
	case psscenario.FaultCutFromServers:
		for i := range max(1, f.Count) {
			e.system.Network.SetServerLinks(e.system.Ready.VMs[f.Target+i].Callers.Addr(), psnetwork.LinksUp)
		}
	case psscenario.FaultPartitionRegion:
		e.partition(e.firm.Regions[f.Target], "")
	case psscenario.FaultPartitionAll:
		for _, v := range e.system.Ready.VMs {
			e.system.Network.SetPartition(v.Callers.Addr(), "")
		}
		e.setStoreFault(psstandin.Fault{})
	case psscenario.FaultPlatformDown:
		e.setStoreFault(psstandin.Fault{})
	case psscenario.FaultSlowServer:
		e.changeBehaviour(f.Target, func(b *psbehaviour.Behaviour) { b.ServiceTime /= slowFactor })
	case psscenario.FaultKillServer:
		e.system.Servers[f.Target].Start()
	case psscenario.FaultPause:
		e.changeBehaviour(f.Target, func(b *psbehaviour.Behaviour) { b.Pause = 0 })
	case psscenario.FaultRestore:
		e.restore(f)
	}
}

// nameLimits makes servers name the limits of a fault, until it ends.
func (e *experiment) nameLimits(ctx context.Context, f psscenario.Fault) {
	for i := 0; ; i++ {
		e.setLimit(f, pslimit.Limit{Named: true, PerSecond: f.Limits[i%len(f.Limits)]})
		next := f.At.Duration + time.Duration(i+1)*limitDuration
		if len(f.Limits) == 1 || f.Until.Duration > 0 && next >= f.Until.Duration || !sleepUntil(ctx, e.start.Add(next)) {
			return
		}
	}
}

func (e *experiment) setLimit(f psscenario.Fault, l pslimit.Limit) {
	for i := range max(1, f.Count) {
		e.changeBehaviour(f.Target+i, func(b *psbehaviour.Behaviour) { b.Limit = l })
	}
}

// recordRestart records that the process of a VM ends or starts.
func (e *experiment) recordRestart(vm int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	name := e.topology.VMs[vm].Name
	e.restarts[name] = append(e.restarts[name], time.Since(e.start))
}

// snapshotStore takes a snapshot of the store.
func (e *experiment) snapshotStore(f psscenario.Fault) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.snapshots[f.At.Duration] = e.system.Store.Snapshot()
}

// restore restores the store from a snapshot. Servers and the operator then rewrite what it lost.
func (e *experiment) restore(f psscenario.Fault) {
	e.mutex.Lock()
	snapshot := e.snapshots[f.At.Duration]
	drained := slices.Collect(maps.Keys(e.drained))
	e.mutex.Unlock()
	e.system.Store.Restore(snapshot)
	time.Sleep(rewriteDelay)
	for _, server := range drained {
		e.system.Register(server, psserver.Draining)
	}
	e.system.RewriteConfiguration()
}

// cutFromServers partitions VMs from all backend servers, and records when.
func (e *experiment) cutFromServers(f psscenario.Fault) {
	states := map[psscenario.CutKind]psnetwork.LinkState{
		psscenario.CutHang: psnetwork.LinksHang, psscenario.CutReset: psnetwork.LinksReset, psscenario.CutRefuse: psnetwork.LinksRefuse,
	}
	cut := psguarantee.ServerCut{From: f.At.Duration, Until: cmp.Or(f.Until.Duration, e.scenario.Span.Duration)}
	for i := range max(1, f.Count) {
		v := e.system.Ready.VMs[f.Target+i]
		cut.VMs = append(cut.VMs, v.Name)
		e.system.Network.SetServerLinks(v.Callers.Addr(), states[f.Cut])
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.serverCuts = append(e.serverCuts, cut)
}

// setStoreFault injects a fault of the store in all regions.
func (e *experiment) setStoreFault(f psstandin.Fault) {
	for _, d := range e.system.StoreEndpoints {
		d.SetFault(f)
	}
}

// stopVM shuts down a VM and records the time that it took.
func (e *experiment) stopVM(vm int) {
	e.recordRestart(vm)
	began := time.Now()
	e.mutex.Lock()
	e.stopped = append(e.stopped, e.topology.VMs[vm].Name)
	e.mutex.Unlock()
	e.system.Stop(vm)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.stopTime = max(e.stopTime, time.Since(began))
}

func (e *experiment) killRegion(region string) {
	for i, v := range e.topology.VMs {
		if v.Domain.Region == region {
			e.recordRestart(i)
			go e.system.Kill(i)
		}
	}
	for i, v := range e.topology.Servers {
		if v.Domain.Region == region {
			e.system.Servers[i].Crash(-1)
		}
	}
}

// partition moves the VMs of a region to a side of a network partition, without access to the store. An empty side ends
// the partition and restores the access.
func (e *experiment) partition(region, side string) {
	e.system.StoreEndpoints[region].SetFault(psstandin.Fault{Silent: side != ""})
	for _, v := range e.system.Ready.VMs {
		if v.Region == region {
			e.system.Network.SetPartition(v.Callers.Addr(), side)
		}
	}
}

// changeBehaviour changes the behaviour of a backend server stand-in.
func (e *experiment) changeBehaviour(server int, change func(*psbehaviour.Behaviour)) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	change(&e.behaviours[server])
	e.system.Servers[server].Set(e.behaviours[server])
}

// drain registers a backend server as draining.
func (e *experiment) drain(server int) {
	e.recordDrain(server)
	e.system.Register(server, psserver.Draining)
}

// recordDrain records that a server should get no new requests from now on.
func (e *experiment) recordDrain(server int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.drained[server] = time.Since(e.start)
}

// revokeKey revokes the key of a workspace.
func (e *experiment) revokeKey(workspace int) {
	name := e.system.Ready.Workspaces[workspace].Name
	e.system.RevokeKeys(name)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.revocations = append(e.revocations, revocation{workspace: name, at: time.Since(e.start)})
}

// hasFault reports whether the timetable has a fault of a kind.
func (e *experiment) hasFault(k psscenario.FaultKind) bool {
	return slices.ContainsFunc(e.scenario.Faults, func(f psscenario.Fault) bool { return f.Kind == k })
}
