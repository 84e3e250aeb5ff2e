package psgate

import (
	"net/http"
	"time"

	"persimmonstep/internal/request/psproblem"
	"persimmonstep/internal/version/psdoc"
)

// cutOffAfter is the silence after which a VM counts as cut off.
const cutOffAfter = 5 * time.Second

// Contact tells what this VM last heard from outside its failure domain.
type Contact interface {
	// Silence returns for how long the VM's failure domain has heard neither the platform
	// nor a VM of another domain.
	Silence() time.Duration
	// Informed reports whether the withdrawn keys were loaded since the process started.
	Informed() bool
}

// checkContact refuses what a VM may not serve while it is cut off. The check comes before
// the key's, because a VM that hears nobody cannot know of withdrawals.
func (x *exchange) checkContact() error {
	c := x.gate.Contact
	if c == nil {
		return nil
	}
	if !x.route.Open && !c.Informed() {
		return psproblem.New(http.StatusServiceUnavailable, "starting", "the withdrawn keys are not loaded yet").After(time.Second)
	}
	silence := c.Silence()
	if silence < cutOffAfter {
		return nil
	}
	if x.route.WhenCutOff == psdoc.CutOffRefuse || !x.route.Open && silence > x.route.KeyGrace {
		return psproblem.New(http.StatusServiceUnavailable, "cutOff", "the VM hears neither the platform nor other failure domains").After(time.Second)
	}
	return nil
}
