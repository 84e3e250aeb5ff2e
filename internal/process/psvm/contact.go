package psvm

import (
	"time"

	"persimmonstep/internal/process/psmember"
	"persimmonstep/internal/process/pswithdrawal"
)

// contact tells the request path whether the VM is cut off.
type contact struct {
	members     *psmember.View
	withdrawals *pswithdrawal.Spreader
}

// Silence returns for how long nothing was heard from outside the failure domain.
func (c contact) Silence() time.Duration { return c.members.Silence() }

// Informed reports whether the withdrawn keys were loaded.
func (c contact) Informed() bool { return c.withdrawals.Loaded() }
