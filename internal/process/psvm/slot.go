package psvm

import (
	"context"
	"time"

	"github.com/samber/do/v2"

	"persimmonstep/internal/connection/pspeer"
	"persimmonstep/internal/process/pscredit"
	"persimmonstep/internal/process/psfence"
	"persimmonstep/internal/process/pshealth"
	"persimmonstep/internal/process/psmember"
	"persimmonstep/internal/process/psmetric"
	"persimmonstep/internal/process/pspool"
	"persimmonstep/internal/request/pslink"
	"persimmonstep/internal/request/psshift"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
	"persimmonstep/internal/version/psversion"
)

// returnTimeout bounds the return of loans when the VM leaves.
const returnTimeout = time.Second

// provideSlots makes what hands out the slots of backend servers and moves them between VMs.
func provideSlots(i do.Injector, o Options, l *lifecycle) {
	self := o.Settings.Name
	do.Provide(i, func(i do.Injector) (*pslink.Meter, error) {
		return pslink.NewMeter(self, do.MustInvoke[*psversion.Follower](i), time.Now), nil
	})
	// The dispatcher reports hungry pools to the bank, which borrows for the dispatcher.
	var bank *pscredit.Bank
	do.Provide(i, func(i do.Injector) (*pspool.Dispatcher, error) {
		d := pspool.NewDispatcher(pspool.Config{
			Self:   self,
			Plans:  do.MustInvoke[*psversion.Follower](i),
			Health: do.MustInvoke[*pshealth.Tracker](i),
			Fence:  slotFence{do.MustInvoke[*psfence.Fence](i)},
			Shifts: do.MustInvoke[*psshift.Caps](i),
			Links:  do.MustInvoke[*pslink.Meter](i),
			Now:    time.Now,
			Hungry: func(pool psdoc.Name) { bank.Hungry(pool) },
		})
		d.Block(self)
		return d, nil
	})
	do.Provide(i, func(i do.Injector) (*pscredit.Bank, error) {
		hub := do.MustInvoke[*pspeer.Hub](i)
		bank = pscredit.New(pscredit.Config{
			Self: self, Incarnation: string(do.MustInvoke[psmember.Incarnation](i)),
			Plans: do.MustInvoke[*psversion.Follower](i), Fence: slotFence{do.MustInvoke[*psfence.Fence](i)},
			Dispatcher: do.MustInvoke[*pspool.Dispatcher](i), Peers: hub,
			Logger: o.Logger, Now: time.Now,
		})
		bank.Register(hub)
		pscredit.RegisterMetrics(do.MustInvoke[*psmetric.Metrics](i).Registry, bank, do.MustInvoke[*pspool.Dispatcher](i))
		l.task(bank.Run)
		l.onLeave(func() {
			ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
			defer cancel()
			bank.Leave(ctx)
		})
		l.onDrained(func() {
			ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
			defer cancel()
			bank.Bequeath(ctx)
		})
		return bank, nil
	})
}

// slotFence shows the fence as slots need it.
type slotFence struct {
	*psfence.Fence
}

// AdoptedSince returns since when this VM may use the revocable share of another VM.
func (f slotFence) AdoptedSince(vm psdoc.Name) (time.Time, bool) {
	for _, a := range f.Adopted() {
		if a.VM == vm {
			return a.Since, true
		}
	}
	return time.Time{}, false
}

// Guardian returns the VM that may adopt the share of another one; nil if there is none.
func (slotFence) Guardian(p *psplan.Plan, vm psdoc.Name) *psplan.VM {
	return psfence.Guardian(p, vm)
}
