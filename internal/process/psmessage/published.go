package psmessage

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// PublishedVM is what a VM publishes of itself in the store.
type PublishedVM struct {
	Identity
	// Owner is set once the VM owns a part of the fleet's limits. An earlier process of it may have published that.
	Owner bool `json:"owner,omitempty"`
	// Heir is the VM to which this one left its part when it ended; empty if there is none.
	Heir string `json:"heir,omitempty"`
}

// OwnsPart reports whether the VM may own a part of the fleet's limits. VMs of earlier builds don't say.
func (p PublishedVM) OwnsPart() bool { return p.Owner || !p.Features.Has(Leases) }

// DecodePublishedVM decodes and validates a published VM.
func DecodePublishedVM(data []byte) (PublishedVM, error) {
	var p PublishedVM
	if err := json.Unmarshal(data, &p); err != nil {
		return PublishedVM{}, errors.Wrap(err, "decode published VM")
	}
	return p, p.Check()
}
