package psvm

import (
	"context"
	"time"

	"github.com/samber/do/v2"

	"persimmonstep/internal/connection/pspeer"
	"persimmonstep/internal/process/psbudget"
	"persimmonstep/internal/process/psfence"
	"persimmonstep/internal/process/psmember"
	"persimmonstep/internal/process/psmetric"
	"persimmonstep/internal/process/psplatform"
	"persimmonstep/internal/request/psshift"
	"persimmonstep/internal/version/psversion"
)

// provideBudgets makes what keeps the fleet-wide bounds: rates, shifts and slots.
func provideBudgets(i do.Injector, o Options, l *lifecycle) {
	do.Provide(i, func(i do.Injector) (*psfence.Fence, error) { return newFence(i, o, l), nil })
	do.Provide(i, func(i do.Injector) (*psbudget.Book, error) { return newBook(i, o, l), nil })
	do.Provide(i, func(i do.Injector) (*psshift.Caps, error) {
		return psshift.New(do.MustInvoke[*psbudget.Book](i), time.Now), nil
	})
}

func newFence(i do.Injector, o Options, l *lifecycle) *psfence.Fence {
	hub := do.MustInvoke[*pspeer.Hub](i)
	f := psfence.New(psfence.Options{
		Self:   o.Settings.Name,
		Plans:  do.MustInvoke[*psversion.Follower](i),
		Heads:  latestVersion{do.MustInvoke[*psversion.Store](i)},
		Peers:  hub,
		Table:  do.MustInvoke[*psplatform.Guard](i),
		Now:    time.Now,
		Drain:  psbudget.Drain,
		Logger: o.Logger,
	})
	f.Register(hub)
	l.task(f.Run)
	return f
}

func newBook(i do.Injector, o Options, l *lifecycle) *psbudget.Book {
	hub := do.MustInvoke[*pspeer.Hub](i)
	b := psbudget.NewBook(psbudget.Options{
		Self:    o.Settings.Name,
		Process: string(do.MustInvoke[psmember.Incarnation](i)),
		Shares:  do.MustInvoke[*psfence.Fence](i),
		Peers:   hub,
		Now:     time.Now,
		Metrics: psbudget.NewMetrics(do.MustInvoke[*psmetric.Metrics](i).Registry),
		Logger:  o.Logger,
	})
	b.Register(hub)
	l.task(b.Run)
	return b
}

// latestVersion tells the fence which version is the latest in the table.
type latestVersion struct {
	store *psversion.Store
}

// Head returns the version.
func (v latestVersion) Head(ctx context.Context) (uint64, error) {
	h, err := v.store.Latest(ctx)
	return h.Version, err
}
