package psevent

import "github.com/hashicorp/go-hclog"

// Events of slots that move between VMs.
var (
	// SlotsBorrowed says that another VM lent slots of a server.
	SlotsBorrowed = Event{3501, hclog.Info, "slots borrowed", []string{"lender", "server", "slots"}}
	// SlotsRecovered says that a started VM knows what an earlier process lent.
	SlotsRecovered = Event{3502, hclog.Info, "own slots usable", []string{"after"}}
)

func slotEvents() []Event {
	return []Event{SlotsBorrowed, SlotsRecovered}
}
