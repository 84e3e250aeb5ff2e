package psfleet

import (
	"time"

	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/version/psconfig"
)

// Beliefs are what a VM tells another one that can't reach the store.
type Beliefs struct {
	Configuration *psconfig.Configuration `json:"configuration"`
	Evacuated     []string                `json:"evacuated"`
	Servers       []psserver.Entry        `json:"servers"`
	// Age is how long ago the VM last heard of the store. It is told beside the others, so
	// that they are alike until something changes.
	Age time.Duration `json:"-"`
}

// Told is the answer of a VM that was asked for its beliefs.
type Told struct {
	Beliefs Beliefs
	// Mark tells these beliefs from later ones of the same VM.
	Mark string
	// Unchanged says that the VM believes what is known already; only the age is told.
	Unchanged bool
}
