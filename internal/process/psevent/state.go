package psevent

import "github.com/hashicorp/go-hclog"

// Events of state that outlives a VM or spreads between VMs.
var (
	// KeyWithdrawn says that a VM honours withdrawals and from where it learned of them.
	KeyWithdrawn = Event{4001, hclog.Info, "keys withdrawn", []string{"keys", "from"}}
	// WithdrawalSpread says which VMs have not confirmed an operator's withdrawal.
	WithdrawalSpread = Event{4002, hclog.Info, "withdrawal spread", []string{"keys", "confirmed", "missing"}}
	// Claimed says that an exclusive request may be dispatched.
	Claimed = Event{4010, hclog.Debug, "request claimed", []string{"workspace", "route", "idempotencyKey", "epoch"}}
	// ClaimSettled says how a claimed request ended.
	ClaimSettled = Event{4011, hclog.Debug, "claim settled", []string{"workspace", "route", "idempotencyKey", "state"}}
	// ClaimLost says that a claim's row was changed by somebody else, which must not happen.
	ClaimLost = Event{4012, hclog.Error, "claim was changed by another", []string{"workspace", "route", "idempotencyKey", "state"}}
	// EpochAdvanced says that a new retention epoch of claims began.
	EpochAdvanced = Event{4013, hclog.Info, "claim epoch advanced", []string{"epoch"}}
	// ClaimsForgotten says that claims past their retention were deleted.
	ClaimsForgotten = Event{4014, hclog.Info, "claims forgotten", []string{"epoch", "claims"}}
	// PlatformDown says that calls to the platform are no longer tried.
	PlatformDown = Event{4020, hclog.Warn, "platform does not answer", nil}
	// PlatformBack says that the platform answers again.
	PlatformBack = Event{4021, hclog.Info, "platform answers again", nil}
)

func stateEvents() []Event {
	return []Event{KeyWithdrawn, WithdrawalSpread, Claimed, ClaimSettled, ClaimLost, EpochAdvanced, ClaimsForgotten, PlatformDown, PlatformBack}
}
