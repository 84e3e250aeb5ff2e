package psvm

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"persimmonstep/internal/process/psmember"
	"persimmonstep/internal/process/psmetric"
	"persimmonstep/internal/process/psplatform"
	"persimmonstep/internal/request/psclaim"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
	"persimmonstep/internal/version/psversion"
)

// newClaims makes the claims and has them committed while the VM lives.
func newClaims(i do.Injector, o Options, l *lifecycle) *psclaim.Claims {
	m := newClaimMetrics(do.MustInvoke[*psmetric.Metrics](i).Registry)
	c := psclaim.New(psclaim.Options{
		VM:          o.Settings.Name,
		Incarnation: string(do.MustInvoke[psmember.Incarnation](i)),
		Members:     do.MustInvoke[*psmember.View](i),
		Platform:    do.MustInvoke[*psplatform.Guard](i),
		Observe:     m.observe,
		Logger:      o.Logger,
	})
	l.task(c.Run)
	cleaner := &psclaim.Cleaner{
		Table:  do.MustInvoke[*psplatform.Guard](i),
		Chosen: claimCleaner{o.Settings.Name, do.MustInvoke[*psversion.Follower](i)}.chosen,
		Now:    time.Now,
		Logger: o.Logger,
	}
	l.task(cleaner.Run)
	return c
}

// claimCleaner spreads the clean-up of claims over the VMs.
type claimCleaner struct {
	self  psdoc.Name
	plans *psversion.Follower
}

// chosen picks one VM for each epoch by rendezvous hash. Where that VM is down, the one of
// the next epoch does its work as well.
func (c claimCleaner) chosen(epoch uint64) bool {
	vms := c.plans.Plan().VMs
	if len(vms) == 0 {
		return false
	}
	weight := func(v *psplan.VM) uint64 {
		return xxhash.Sum64String(string(v.Name) + "/" + strconv.FormatUint(epoch, 10))
	}
	first := lo.MaxBy(vms, func(a, b *psplan.VM) bool { return weight(a) > weight(b) })
	return first.Name == c.self
}
