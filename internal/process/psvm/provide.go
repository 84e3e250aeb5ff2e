package psvm

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/do/v2"

	"persimmonstep/internal/connection/pspeer"
	"persimmonstep/internal/connection/pstransport"
	"persimmonstep/internal/process/psadmin"
	"persimmonstep/internal/process/psbudget"
	"persimmonstep/internal/process/psdirectory"
	"persimmonstep/internal/process/pshealth"
	"persimmonstep/internal/process/psmember"
	"persimmonstep/internal/process/psmetric"
	"persimmonstep/internal/process/psplatform"
	"persimmonstep/internal/process/pspool"
	"persimmonstep/internal/process/pswithdrawal"
	"persimmonstep/internal/request/psgate"
	"persimmonstep/internal/version/psversion"
)

// provide tells the injector how each part is made.
func provide(ctx context.Context, i do.Injector, o Options, token string, c *cleaner) {
	self := o.Settings.Name
	do.ProvideValue(i, &pswithdrawal.Set{})
	do.ProvideValue(i, &psmember.View{})
	do.ProvideValue(i, pshealth.NewTracker())
	do.ProvideValue(i, psmetric.New())
	do.ProvideValue(i, psbudget.NewBook(self, time.Now))
	do.Provide(i, func(do.Injector) (*psplatform.Client, error) {
		p, clean := psplatform.NewClient(o.Settings.Platform)
		c.add(clean)
		return p, nil
	})
	do.Provide(i, func(do.Injector) (*pstransport.Transports, error) {
		t, clean := pstransport.New()
		c.add(clean)
		return t, nil
	})
	do.Provide(i, func(do.Injector) (*pspeer.Hub, error) {
		h, clean := pspeer.New(ctx, self, pspeer.Plain{})
		c.add(clean)
		return h, nil
	})
	do.Provide(i, func(i do.Injector) (*psversion.Store, error) {
		return &psversion.Store{Platform: do.MustInvoke[*psplatform.Client](i), Now: time.Now}, nil
	})
	do.Provide(i, func(i do.Injector) (*psversion.Follower, error) {
		return psversion.NewFollower(do.MustInvoke[*psversion.Store](i), o.Logger), nil
	})
	do.Provide(i, func(i do.Injector) (*pspool.Dispatcher, error) {
		g := ownedSlots{self: self, plans: do.MustInvoke[*psversion.Follower](i)}
		return pspool.NewDispatcher(g, do.MustInvoke[*pshealth.Tracker](i)), nil
	})
	do.Provide(i, func(i do.Injector) (*confirmer, error) {
		return newConfirmer(self, do.MustInvoke[*psversion.Follower](i), do.MustInvoke[*pspeer.Hub](i)), nil
	})
	do.Provide(i, func(i do.Injector) (*psdirectory.Directory, error) {
		return &psdirectory.Directory{
			Plans:   do.MustInvoke[*psversion.Follower](i),
			Members: do.MustInvoke[*psmember.View](i),
			Locator: psdirectory.BlockLocator{Self: self},
			Logger:  o.Logger,
		}, nil
	})
	do.Provide(i, func(i do.Injector) (*psgate.Gate, error) { return newGate(i, o), nil })
	do.Provide(i, func(i do.Injector) (*psadmin.API, error) { return newAdmin(i, o, token), nil })
}

func newGate(i do.Injector, o Options) *psgate.Gate {
	return &psgate.Gate{
		Self:        o.Settings.Name,
		Plans:       do.MustInvoke[*psversion.Follower](i),
		Withdrawals: do.MustInvoke[*pswithdrawal.Set](i),
		Limiter:     do.MustInvoke[*psbudget.Book](i),
		Slots:       do.MustInvoke[*pspool.Dispatcher](i),
		Claims:      unclaimed{},
		Observer:    do.MustInvoke[*pshealth.Tracker](i),
		Homes:       psdirectory.BlockLocator{Self: o.Settings.Name},
		Transports:  do.MustInvoke[*pstransport.Transports](i),
		Directory:   do.MustInvoke[*psdirectory.Directory](i),
		Metrics:     do.MustInvoke[*psmetric.Metrics](i),
		Logger:      o.Logger,
	}
}

func newAdmin(i do.Injector, o Options, token string) *psadmin.API {
	return &psadmin.API{
		Self:      o.Settings.Name,
		Token:     token,
		Plans:     do.MustInvoke[*psversion.Follower](i),
		Versions:  do.MustInvoke[*psversion.Store](i),
		Confirmer: do.MustInvoke[*confirmer](i),
		Registry:  do.MustInvoke[*psmetric.Metrics](i).Registry,
		Logger:    o.Logger,
	}
}

// invoke makes the parts.
func invoke(i do.Injector) (parts, error) {
	var p parts
	gate, err := do.Invoke[*psgate.Gate](i)
	if err != nil {
		return p, errors.Wrap(err, "make the request path")
	}
	admin, err := do.Invoke[*psadmin.API](i)
	if err != nil {
		return p, errors.Wrap(err, "make the administration API")
	}
	return parts{
		follower: do.MustInvoke[*psversion.Follower](i),
		hub:      do.MustInvoke[*pspeer.Hub](i),
		members:  do.MustInvoke[*psmember.View](i),
		slots:    do.MustInvoke[*pspool.Dispatcher](i),
		gate:     gate,
		admin:    admin,
	}, nil
}
