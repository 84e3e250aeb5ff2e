package psevent

import "github.com/hashicorp/go-hclog"

// Events of state that outlives a VM or spreads between VMs.
var (
	// KeyWithdrawn says that a VM honours withdrawals and from where it learned of them.
	KeyWithdrawn = Event{4001, hclog.Info, "keys withdrawn", []string{"keys", "from"}}
	// WithdrawalSpread says which VMs have not confirmed an operator's withdrawal.
	WithdrawalSpread = Event{4002, hclog.Info, "withdrawal spread", []string{"keys", "confirmed", "missing"}}
)

func stateEvents() []Event {
	return []Event{KeyWithdrawn, WithdrawalSpread}
}
