package psevent

import "github.com/hashicorp/go-hclog"

// Events of slots that move between VMs.
var (
	// SlotsBorrowed says that another VM lent slots of a server.
	SlotsBorrowed = Event{3501, hclog.Info, "slots borrowed", []string{"lender", "server", "slots"}}
	// SlotsRecovered says that a started VM knows what an earlier process lent.
	SlotsRecovered = Event{3502, hclog.Info, "own slots usable", []string{"after"}}
	// SlotsLeft says that a stopping VM left its slots to its guardian.
	SlotsLeft = Event{3503, hclog.Info, "slots left to the guardian", []string{"guardian", "servers"}}
	// SlotsInherited says that this VM may use the slots of one that has stopped.
	SlotsInherited = Event{3504, hclog.Info, "slots of a stopped VM usable", []string{"from", "servers"}}
)

func slotEvents() []Event {
	return []Event{SlotsBorrowed, SlotsRecovered, SlotsLeft, SlotsInherited}
}
