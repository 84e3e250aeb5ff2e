package psvm

import (
	"github.com/samber/do/v2"

	"persimmonstep/internal/process/pshealth"
)

// provideHealth makes what judges backend servers.
func provideHealth(i do.Injector, _ Options, _ *lifecycle) {
	do.ProvideValue(i, pshealth.NewTracker())
}
