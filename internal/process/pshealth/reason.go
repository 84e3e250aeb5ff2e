package pshealth

// Reason is the reason for which a server is considered failed.
type Reason string

const (
	// ReasonUnreachable servers accepted no connection.
	ReasonUnreachable Reason = "unreachable"
	// ReasonCrashed servers lost a request and accepted no connection afterwards.
	ReasonCrashed Reason = "crashed"
	// ReasonSilent servers left all requests unanswered.
	ReasonSilent Reason = "silent"
	// ReasonTold servers were reported down by another VM.
	ReasonTold Reason = "told"
)
