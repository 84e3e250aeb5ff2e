package psvm

import (
	"time"

	"github.com/samber/do/v2"

	"persimmonstep/internal/connection/psfanout"
	"persimmonstep/internal/connection/psheartbeat"
	"persimmonstep/internal/connection/pspeer"
	"persimmonstep/internal/process/pshealth"
	"persimmonstep/internal/process/psmetric"
	"persimmonstep/internal/process/psplatform"
	"persimmonstep/internal/process/pspool"
	"persimmonstep/internal/process/psquarantine"
	"persimmonstep/internal/version/psversion"
)

// provideHealth makes what judges backend servers.
func provideHealth(i do.Injector, o Options, l *lifecycle) {
	do.Provide(i, func(i do.Injector) (*pshealth.Tracker, error) {
		t := pshealth.New(pshealth.Options{
			Self: o.Settings.Name, Plans: do.MustInvoke[*psversion.Follower](i), Now: time.Now, Logger: o.Logger,
			Metrics: pshealth.NewMetrics(do.MustInvoke[*psmetric.Metrics](i).Registry),
		})
		l.task(t.Run)
		return t, nil
	})
	do.Provide(i, func(i do.Injector) (*pshealth.Lister, error) {
		h := do.MustInvoke[*psheartbeat.Heart](i)
		t := do.MustInvoke[*pshealth.Tracker](i)
		h.Add(t)
		t.OnChange(do.MustInvoke[*pspool.Dispatcher](i).Wake)
		s := &pshealth.Lister{
			Self: o.Settings.Name, Plans: do.MustInvoke[*psversion.Follower](i),
			List: do.MustInvoke[*psplatform.Client](i), Heard: h.Heard, Tracker: t,
		}
		l.task(s.Run)
		return s, nil
	})
	do.Provide(i, func(i do.Injector) (*psquarantine.Set, error) {
		return psquarantine.New(psquarantine.Options{
			Now: time.Now, Leaving: do.MustInvoke[*pshealth.Tracker](i).Leaving, Logger: o.Logger,
		}), nil
	})
	do.Provide(i, func(i do.Injector) (*psquarantine.Spreader, error) {
		s := &psquarantine.Spreader{
			Set: do.MustInvoke[*psquarantine.Set](i), Plans: do.MustInvoke[*psversion.Follower](i),
			Peers: do.MustInvoke[*pspeer.Hub](i), Fanout: do.MustInvoke[*psfanout.Fanout](i),
		}
		s.Start()
		do.MustInvoke[*psheartbeat.Heart](i).Add(s)
		l.task(s.Run)
		return s, nil
	})
}
