package pscredit

import (
	"context"
	"sync"
	"time"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/pspool"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

const (
	// settledAfter is when every loan of an earlier process has certainly run out.
	settledAfter = pspool.HoldTime + time.Second
	// inheritedAfter is when whatever an earlier process left to its guardian has too.
	inheritedAfter = pspool.BequestTerm + offerTime + settledAfter
)

// recover finds out what an earlier process of this VM lent, and then lets this process use
// its base slots. The dispatcher must have been blocked before it took requests.
func (b *Bank) recover(ctx context.Context) {
	began := b.config.Now()
	answered := make(map[psdoc.Name]bool)
	for !b.recovered(ctx, answered) && !b.outlived(answered, b.config.Now().Sub(began)) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(startInterval):
		}
	}
	b.config.Dispatcher.Unblock(b.config.Self)
	psevent.SlotsRecovered.Log(b.config.Logger, b.config.Now().Sub(began))
}

// outlived reports whether all that an earlier process gave away has run out: loans, and,
// unless the guardian answered, what was left to it.
func (b *Bank) outlived(answered map[psdoc.Name]bool, since time.Duration) bool {
	g := b.config.Fence.Guardian(b.config.Plans.Plan(), b.config.Self)
	if g != nil && answered[g.Name] {
		return since >= settledAfter
	}
	return since >= inheritedAfter
}

// recovered asks the VMs that did not answer yet and reports whether all have.
func (b *Bank) recovered(ctx context.Context, answered map[psdoc.Name]bool) bool {
	p := b.config.Plans.Plan()
	if p.Version == 0 || len(p.VMs) > maxAskedAtStart {
		return false
	}
	var mutex sync.Mutex
	var asking sync.WaitGroup
	for _, v := range p.VMs {
		mutex.Lock()
		done := answered[v.Name]
		mutex.Unlock()
		if done || v.Name == b.config.Self {
			continue
		}
		asking.Go(func() {
			if b.askHeld(ctx, v, p.Version) {
				mutex.Lock()
				defer mutex.Unlock()
				answered[v.Name] = true
			}
		})
	}
	asking.Wait()
	for _, v := range p.VMs {
		if v.Name != b.config.Self && !answered[v.Name] {
			return false
		}
	}
	return true
}

// askHeld enters what a VM holds and reports whether it certainly holds nothing more, and
// runs nothing on slots that an earlier version gave to it.
func (b *Bank) askHeld(ctx context.Context, v *psplan.VM, version uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	var out heldResponse
	err := b.config.Peers.Call(ctx, peerOf(v), methodHeld, struct{}{}, &out)
	if err != nil {
		return refusedConnection(err)
	}
	for _, h := range out.Held {
		b.config.Dispatcher.Reinstate(v.Name, h.Grant)
	}
	return out.Version >= version && out.Running == 0
}

// watchWhole lets this VM use the revocable part of its slots only while nobody else runs
// requests on it: after the fence came back, the guardian may still have some.
func (b *Bank) watchWhole(ctx context.Context) {
	var wholeSince time.Time
	cleared := false
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		switch now := b.config.Now(); {
		case !b.config.Fence.Whole():
			wholeSince = time.Time{}
			cleared = b.setCleared(cleared, false)
		case cleared:
		case wholeSince.IsZero():
			wholeSince = now
			cleared = b.setCleared(cleared, b.guardianIdle(ctx))
		default:
			late := now.Sub(wholeSince) > settledAfter
			cleared = b.setCleared(cleared, late || b.guardianIdle(ctx))
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (b *Bank) setCleared(old, cleared bool) bool {
	if old != cleared {
		b.config.Dispatcher.SetCleared(cleared)
	}
	return cleared
}

// guardianIdle asks the guardian whether it runs nothing on this VM's slots.
func (b *Bank) guardianIdle(ctx context.Context) bool {
	p := b.config.Plans.Plan()
	if p.Version == 0 {
		return false
	}
	g := b.config.Fence.Guardian(p, b.config.Self)
	if g == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	var out runningResponse
	err := b.config.Peers.Call(ctx, peerOf(g), methodRunning, struct{}{}, &out)
	if err != nil {
		return refusedConnection(err)
	}
	return out.Running == 0
}
