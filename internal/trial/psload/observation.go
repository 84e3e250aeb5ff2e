package psload

import (
	"time"
)

// Observation is the outcome of one request as its caller sees it.
type Observation struct {
	Arrival
	// Sent is when the first attempt began, LastSent when the last one did, and Done when that ended, relative to the start.
	Sent, LastSent, Done time.Duration
	// IDs are the request ids of the attempts.
	IDs []string
	// First is the target of the first attempt; empty if there was none. FirstServed reports that this attempt was
	// served.
	First       string
	FirstServed bool
	// Status is the status of the response; 0 if no attempt got one.
	Status int
	// NotRun reports that the last attempt was rejected without being run.
	NotRun bool
	// Server is the backend server that ran the request.
	Server string
	// AbortedBy lists the targets that gave no complete response to an attempt after its connection was established.
	AbortedBy []string
	// Mismatched reports that the response belongs to another request or is incomplete.
	Mismatched bool
	// KeyExposed reports that the backend server received a workspace's key.
	KeyExposed bool
}

// Served reports whether the request got a successful response from a backend server.
func (o *Observation) Served() bool {
	return o.Status >= 200 && o.Status < 300
}

// Latency returns the time from the scheduled arrival to the end of the response. It includes the delay of
// sending, so that a slow system doesn't hide its queueing delay.
func (o *Observation) Latency() time.Duration {
	return o.Done - o.At
}
