package psvm

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/samber/do/v2"

	"persimmonstep/internal/connection/psheartbeat"
	"persimmonstep/internal/connection/pspeer"
	"persimmonstep/internal/connection/pstransport"
	"persimmonstep/internal/process/psplatform"
	"persimmonstep/internal/version/psplan"
	"persimmonstep/internal/version/psversion"
)

// provideConnections makes what talks to the platform, to backend servers and to other VMs.
func provideConnections(ctx context.Context, i do.Injector, o Options, l *lifecycle) {
	self := o.Settings.Name
	do.Provide(i, func(do.Injector) (*psplatform.Client, error) {
		p, clean := psplatform.NewClient(o.Settings.Platform)
		l.clean(clean)
		return p, nil
	})
	do.Provide(i, func(i do.Injector) (*psplatform.Guard, error) { return newGuard(i, o, l), nil })
	do.Provide(i, func(i do.Injector) (*pstransport.Transports, error) {
		t, clean := pstransport.New()
		l.clean(clean)
		f := do.MustInvoke[*psversion.Follower](i)
		l.task(func(ctx context.Context) { retainTransports(ctx, t, f) })
		return t, nil
	})
	do.Provide(i, func(i do.Injector) (*pspeer.Hub, error) {
		h, clean := pspeer.New(ctx, self, do.MustInvoke[security](i).wrapper(do.MustInvoke[*psversion.Follower](i)))
		l.clean(clean)
		return h, nil
	})
	do.Provide(i, func(i do.Injector) (*psheartbeat.Heart, error) { return newHeart(i, self, l), nil })
}

// retainInterval is the time between two looks for backend servers that left the plan.
const retainInterval = time.Second

// retainTransports closes the connections to backend servers that left the plan.
func retainTransports(ctx context.Context, t *pstransport.Transports, f *psversion.Follower) {
	tick := time.NewTicker(retainInterval)
	defer tick.Stop()
	var version uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		p := f.Plan()
		if p.Version == version {
			continue
		}
		version = p.Version
		t.Retain(func(a netip.AddrPort) bool {
			return slices.ContainsFunc(p.Servers, func(s *psplan.Server) bool { return s.Address == a })
		})
	}
}
