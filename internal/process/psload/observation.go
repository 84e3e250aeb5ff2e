package psload

import (
	"time"
)

// Observation is what a caller saw of one request.
type Observation struct {
	Arrival
	// Sent is when the first try was sent, and Done when the last one ended, since the start.
	Sent, Done time.Duration
	// IDs are the request ids of the tries.
	IDs []string
	// Status is the answer's status; 0 where no try was answered.
	Status int
	// NotRun says that the last try was rejected without being run.
	NotRun bool
	// Server is the backend server that ran the request.
	Server string
	// Cuts lists the VMs that ended a try without an answer after it was sent.
	AbortedBy []string
	// Foreign says that the answer belongs to another request or is not whole.
	Mismatched bool
	// KeySeen says that the backend server received a workspace's key.
	KeyExposed bool
}

// Served reports whether the request got a backend server's answer.
func (o *Observation) Served() bool {
	return o.Status >= 200 && o.Status < 300
}

// Latency is the time from the drawn arrival to the end of the answer.
func (o *Observation) Latency() time.Duration {
	return o.Done - o.At
}
