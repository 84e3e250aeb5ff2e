package psvm

import (
	"time"

	"github.com/samber/do/v2"

	"persimmonstep/internal/connection/psfanout"
	"persimmonstep/internal/connection/pspeer"
	"persimmonstep/internal/process/psmember"
	"persimmonstep/internal/process/psplatform"
	"persimmonstep/internal/process/pswithdrawal"
	"persimmonstep/internal/request/psgate"
	"persimmonstep/internal/version/psversion"
)

// provideState makes what outlives the VM or spreads between VMs: versions, withdrawals,
// membership and claims.
func provideState(i do.Injector, o Options, l *lifecycle) {
	self := o.Settings.Name
	do.ProvideValue(i, psmember.NewIncarnation())
	do.ProvideValue(i, &fleetSize{})
	do.ProvideValue(i, &pswithdrawal.Set{})
	do.Provide(i, func(i do.Injector) (*psfanout.Fanout, error) {
		return psfanout.New(self, do.MustInvoke[*psversion.Follower](i), do.MustInvoke[*pspeer.Hub](i)), nil
	})
	do.Provide(i, func(i do.Injector) (*pswithdrawal.Spreader, error) {
		s := &pswithdrawal.Spreader{
			Set:    do.MustInvoke[*pswithdrawal.Set](i),
			Plans:  do.MustInvoke[*psversion.Follower](i),
			Peers:  do.MustInvoke[*pspeer.Hub](i),
			Fanout: do.MustInvoke[*psfanout.Fanout](i),
			First:  do.MustInvoke[*psmember.View](i).First,
			Table:  do.MustInvoke[*psplatform.Guard](i),
			Logger: o.Logger,
		}
		s.Start()
		l.task(s.Run)
		return s, nil
	})
	do.Provide(i, func(i do.Injector) (*psmember.View, error) {
		return &psmember.View{
			Self: self, Incarnation: do.MustInvoke[psmember.Incarnation](i),
			Plans: do.MustInvoke[*psversion.Follower](i), Now: time.Now,
			Heard: do.MustInvoke[*psplatform.Guard](i).Heard,
		}, nil
	})
	do.Provide(i, func(i do.Injector) (*psversion.Store, error) {
		return &psversion.Store{Platform: do.MustInvoke[*psplatform.Guard](i), Now: time.Now}, nil
	})
	do.Provide(i, func(i do.Injector) (*psversion.Follower, error) {
		f := psversion.NewFollower(do.MustInvoke[*psversion.Store](i), o.Logger)
		l.task(f.Run)
		return f, nil
	})
	do.Provide(i, func(i do.Injector) (*confirmer, error) {
		return newConfirmer(self, do.MustInvoke[*psversion.Follower](i), do.MustInvoke[*psfanout.Fanout](i)), nil
	})
	do.Provide(i, func(i do.Injector) (psgate.Claims, error) { return newClaims(i, o, l), nil })
}
