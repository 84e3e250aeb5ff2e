package psmessage

import "persimmonstep/internal/process/psserver"

// Departure states what a VM has read in the store of a server that leaves. A VM whose own read is late stops to use the
// server by that.
type Departure struct {
	psserver.Run
	// Sequence is that of the entry that says that the server is draining, or of the last one before its removal. A later
	// entry refutes the departure.
	Sequence int64 `json:"sequence"`
	// Removed is set if the entry was removed.
	Removed bool `json:"removed,omitempty"`
}
