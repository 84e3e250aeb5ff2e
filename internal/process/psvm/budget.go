package psvm

import (
	"time"

	"github.com/samber/do/v2"

	"persimmonstep/internal/process/psbudget"
	"persimmonstep/internal/process/pshealth"
	"persimmonstep/internal/process/pspool"
	"persimmonstep/internal/version/psversion"
)

// provideBudgets makes what keeps the fleet-wide bounds: rates, shifts and slots.
func provideBudgets(i do.Injector, o Options, _ *lifecycle) {
	self := o.Settings.Name
	do.ProvideValue(i, psbudget.NewBook(self, time.Now))
	do.Provide(i, func(i do.Injector) (*pspool.Dispatcher, error) {
		g := ownedSlots{self: self, plans: do.MustInvoke[*psversion.Follower](i)}
		return pspool.NewDispatcher(g, do.MustInvoke[*pshealth.Tracker](i)), nil
	})
}
