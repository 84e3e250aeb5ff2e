package psvm

import (
	"context"

	"github.com/samber/do/v2"

	"persimmonstep/internal/connection/psheartbeat"
	"persimmonstep/internal/connection/pspeer"
	"persimmonstep/internal/connection/pstransport"
	"persimmonstep/internal/process/psplatform"
	"persimmonstep/internal/process/pswithdrawal"
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
	do.Provide(i, func(do.Injector) (*pstransport.Transports, error) {
		t, clean := pstransport.New()
		l.clean(clean)
		return t, nil
	})
	do.Provide(i, func(do.Injector) (*pspeer.Hub, error) {
		h, clean := pspeer.New(ctx, self, pspeer.Plain{})
		l.clean(clean)
		return h, nil
	})
	do.Provide(i, func(i do.Injector) (*psheartbeat.Heart, error) {
		h := psheartbeat.New(self, do.MustInvoke[*psversion.Follower](i), do.MustInvoke[*pspeer.Hub](i))
		h.Add(do.MustInvoke[*pswithdrawal.Spreader](i))
		l.task(h.Run)
		return h, nil
	})
}
