package psmessage

import (
	"github.com/pkg/errors"

	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/version/psrevision"
)

// Notice announces to the VMs of a region what one of them has read in the store. It is also sent when
// nothing has changed, to show how recent the data is.
type Notice struct {
	VM     string  `json:"vm"`
	Link   float64 `json:"link,omitempty"`
	Region string  `json:"region"`
	// Servers are the changes of the server entries; nil if the notice is about the desired state.
	Servers *ServerChanges `json:"servers,omitempty"`
	// DesiredStateRevision is the revision of the latest change of the desired state; zero if the notice is about
	// servers.
	DesiredStateRevision psrevision.Revision `json:"orders,omitzero"`
}

// Check validates a decoded notice, except for the entries of servers: the registry ignores each invalid one by itself.
func (n *Notice) Check() error {
	if n.VM == "" || n.Region == "" {
		return errors.New("check notice: VM or region is missing")
	}
	return nil
}

// ServerChanges are the changes of server entries between two revisions of the store.
type ServerChanges struct {
	From psrevision.Revision `json:"from"`
	To   psrevision.Revision `json:"to"`
	// Before is the revision of the last change that precedes these. A receiver that has the entries
	// as of that revision or later has missed no change.
	Before  psrevision.Revision `json:"before"`
	Entries []psserver.Entry    `json:"entries,omitempty"`
	Removed []string            `json:"removed,omitempty"`
}
