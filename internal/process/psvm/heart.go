package psvm

import (
	"github.com/samber/do/v2"

	"persimmonstep/internal/connection/psheartbeat"
	"persimmonstep/internal/connection/pspeer"
	"persimmonstep/internal/process/psmember"
	"persimmonstep/internal/process/pswithdrawal"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
	"persimmonstep/internal/version/psversion"
)

// newHeart makes the heartbeats and joins to them what spreads with them.
func newHeart(i do.Injector, self psdoc.Name, l *lifecycle) *psheartbeat.Heart {
	follower := do.MustInvoke[*psversion.Follower](i)
	hub := do.MustInvoke[*pspeer.Hub](i)
	members := do.MustInvoke[*psmember.View](i)
	h := psheartbeat.New(self, follower, hub)
	for _, s := range []psheartbeat.Section{do.MustInvoke[*pswithdrawal.Spreader](i), follower, members} {
		h.Add(s)
	}
	follower.Connect(hub, members.First)
	size := do.MustInvoke[*fleetSize](i)
	follower.OnInstall(func(p *psplan.Plan, from psdoc.Name) {
		size.Store(int64(len(p.VMs)))
		if news(p, self, from) {
			h.Now()
		}
	})
	l.onLeave(func() {
		members.SetLeaving()
		h.Now()
	})
	l.task(h.Run)
	return h
}

// news reports whether this VM is the one to tell its failure domain of a version: it came
// from the platform or from another domain.
func news(p *psplan.Plan, self, from psdoc.Name) bool {
	a, known := p.VM(self)
	b, found := p.VM(from)
	return known && (!found || a.Domain != b.Domain)
}
