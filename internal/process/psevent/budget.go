package psevent

import "github.com/hashicorp/go-hclog"

// Events of fleet-wide bounds.
var (
	// FenceHeld says that a VM may use the revocable part of its budget shares.
	FenceHeld = Event{3001, hclog.Info, "fence held, whole budget share in use", []string{"for"}}
	// FenceLost says that a VM may use only the retained part of its budget shares.
	FenceLost = Event{3002, hclog.Warn, "fence lost, only the retained budget share in use", nil}
	// ShareAdopted says that a VM uses the revocable part of a silent VM.
	ShareAdopted = Event{3003, hclog.Warn, "budget share of a silent VM adopted", []string{"vm"}}
	// ShareReturned says that a VM no longer uses the revocable part of another one.
	ShareReturned = Event{3004, hclog.Info, "adopted budget share returned", []string{"vm"}}
	// LayoutChanged says that the split of budgets over VMs is another one.
	LayoutChanged = Event{3005, hclog.Info, "split of budgets changed", []string{"version", "unconfirmed"}}
	// LayoutSettled says that shares that grew with the latest split may be used.
	LayoutSettled = Event{3006, hclog.Info, "split of budgets settled", []string{"version"}}
	// ShareLent says how much of a budget a VM lent to another one.
	ShareLent = Event{3007, hclog.Debug, "budget share lent", []string{"budget", "to", "rate", "burst"}}
	// ShareBorrowed says how much of a budget a VM holds from another one.
	ShareBorrowed = Event{3008, hclog.Debug, "budget share borrowed", []string{"budget", "from", "rate", "burst"}}
)

func budgetEvents() []Event {
	return []Event{FenceHeld, FenceLost, ShareAdopted, ShareReturned, LayoutChanged, LayoutSettled, ShareLent, ShareBorrowed}
}
