package psvm

import (
	"context"

	"github.com/pkg/errors"
	"github.com/samber/do/v2"

	"persimmonstep/internal/connection/psheartbeat"
	"persimmonstep/internal/connection/pspeer"
	"persimmonstep/internal/connection/pstransport"
	"persimmonstep/internal/process/psadmin"
	"persimmonstep/internal/process/psbudget"
	"persimmonstep/internal/process/pscredit"
	"persimmonstep/internal/process/psdirectory"
	"persimmonstep/internal/process/pshealth"
	"persimmonstep/internal/process/psmember"
	"persimmonstep/internal/process/psmetric"
	"persimmonstep/internal/process/pspool"
	"persimmonstep/internal/process/psquarantine"
	"persimmonstep/internal/process/pswithdrawal"
	"persimmonstep/internal/request/psgate"
	"persimmonstep/internal/request/psretry"
	"persimmonstep/internal/version/psversion"
)

// provide tells the injector how each part is made, area by area.
func provide(ctx context.Context, i do.Injector, o Options, token *psadmin.Token, l *lifecycle) {
	provideConnections(ctx, i, o, l)
	provideState(i, o, l)
	provideBudgets(i, o, l)
	provideSlots(i, o, l)
	provideHealth(i, o, l)
	do.ProvideValue(i, psmetric.New())
	do.Provide(i, func(i do.Injector) (*psdirectory.Directory, error) { return newDirectory(i, o), nil })
	do.Provide(i, func(i do.Injector) (*psgate.Gate, error) { return newGate(i, o), nil })
	do.Provide(i, func(i do.Injector) (*psadmin.API, error) { return newAdmin(i, o, token), nil })
}

func newDirectory(i do.Injector, o Options) *psdirectory.Directory {
	return &psdirectory.Directory{
		Plans:   do.MustInvoke[*psversion.Follower](i),
		Members: do.MustInvoke[*psmember.View](i),
		Locator: psdirectory.BlockLocator{Self: o.Settings.Name},
		Logger:  o.Logger,
	}
}

func newGate(i do.Injector, o Options) *psgate.Gate {
	g := &psgate.Gate{
		Self:        o.Settings.Name,
		Plans:       do.MustInvoke[*psversion.Follower](i),
		Withdrawals: do.MustInvoke[*pswithdrawal.Set](i),
		Limiter:     do.MustInvoke[*psbudget.Book](i),
		Slots:       do.MustInvoke[*pspool.Dispatcher](i),
		Claims:      do.MustInvoke[psgate.Claims](i),
		Observer:    do.MustInvoke[*pshealth.Tracker](i),
		Retries:     &psretry.Budget{},
		Quarantine:  do.MustInvoke[*psquarantine.Set](i),
		Contact:     contact{do.MustInvoke[*psmember.View](i), do.MustInvoke[*pswithdrawal.Spreader](i)},
		Homes:       psdirectory.BlockLocator{Self: o.Settings.Name},
		Transports:  do.MustInvoke[*pstransport.Transports](i),
		Directory:   do.MustInvoke[*psdirectory.Directory](i),
		Metrics:     do.MustInvoke[*psmetric.Metrics](i),
		Logger:      o.Logger,
	}
	if o.Adjust != nil {
		o.Adjust(g)
	}
	return g
}

func newAdmin(i do.Injector, o Options, token *psadmin.Token) *psadmin.API {
	return &psadmin.API{
		Self:       o.Settings.Name,
		Token:      token,
		Plans:      do.MustInvoke[*psversion.Follower](i),
		Versions:   do.MustInvoke[*psversion.Store](i),
		Confirmer:  do.MustInvoke[*confirmer](i),
		Fleet:      newFleet(o.Settings.Name, do.MustInvoke[*psversion.Follower](i), do.MustInvoke[*pspeer.Hub](i)),
		Withdrawer: newWithdrawer(i),
		Slots:      do.MustInvoke[*pspool.Dispatcher](i),
		Homes:      psdirectory.BlockLocator{Self: o.Settings.Name},
		Quarantine: do.MustInvoke[*psquarantine.Set](i),
		Registry:   do.MustInvoke[*psmetric.Metrics](i).Registry,
		Logger:     o.Logger,
	}
}

// parts are what a VM starts and stops itself.
type parts struct {
	follower *psversion.Follower
	hub      *pspeer.Hub
	slots    *pspool.Dispatcher
	book     *psbudget.Book
	gate     *psgate.Gate
	admin    *psadmin.API
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
	if _, err := do.Invoke[*pscredit.Bank](i); err != nil {
		return p, errors.Wrap(err, "make the slot loans")
	}
	if _, err := do.Invoke[*pshealth.Lister](i); err != nil {
		return p, errors.Wrap(err, "make the watch on backend servers")
	}
	if _, err := do.Invoke[*psquarantine.Spreader](i); err != nil {
		return p, errors.Wrap(err, "make the quarantine")
	}
	// The heart is wanted by nobody; it registers its task when it is made.
	if _, err := do.Invoke[*psheartbeat.Heart](i); err != nil {
		return p, errors.Wrap(err, "make the heartbeats")
	}
	return parts{
		follower: do.MustInvoke[*psversion.Follower](i),
		hub:      do.MustInvoke[*pspeer.Hub](i),
		slots:    do.MustInvoke[*pspool.Dispatcher](i),
		book:     do.MustInvoke[*psbudget.Book](i),
		gate:     gate,
		admin:    admin,
	}, nil
}
