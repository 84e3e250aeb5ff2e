package psmessage

import (
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/internal/version/psrevision"
)

// ControlState is the state that a VM serves to another one that can't reach the store: the
// configuration, the evacuated failure domains and the registered servers.
type ControlState struct {
	Configuration *psconfig.Configuration `json:"configuration"`
	Evacuated     []string                `json:"evacuated"`
	Servers       []psserver.Entry        `json:"servers,omitempty"`
	// DesiredStateRevision is the store revision of the latest change of the configuration or the evacuations.
	// ServersRevision is the store revision of the server entries. Either is zero if unknown.
	DesiredStateRevision psrevision.Revision `json:"ordersAt,omitzero"`
	ServersRevision      psrevision.Revision `json:"serversAt,omitzero"`
	// ReadsStore is set if the VM reads the store itself or receives changes from one that does.
	ReadsStore bool `json:"reads,omitempty"`
	// Age is the time since the VM last received data from the store. It is sent separately from the
	// other fields, so that their encoding stays the same until one of them changes.
	Age time.Duration `json:"-"`
}

// Check validates a decoded state, except for the entries of servers: the registry ignores each invalid one by itself.
func (s ControlState) Check() error {
	if s.Configuration == nil {
		return errors.New("check control state: configuration is missing")
	}
	if findings := s.Configuration.Check(); len(findings) > 0 {
		return errors.Errorf("check control state: invalid configuration: %s", findings[0])
	}
	return nil
}

// StateResponse is the response of a VM that was asked for its control state.
type StateResponse struct {
	State ControlState
	// ETag identifies this version of the VM's state.
	ETag string
	// Unchanged is set if the state still has the ETag that the requesting VM sent. Only the age is set.
	Unchanged bool
}
