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
	// Age is how long ago the VM last heard of the store.
	Age time.Duration `json:"age"`
}
