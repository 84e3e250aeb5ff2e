package psload

import (
	"time"

	"persimmonstep/internal/version/psdoc"
)

// Observation is what a caller saw of one request.
type Observation struct {
	Arrival
	// Sent is when the first try was sent, and Done when the last one ended, since the start.
	Sent, Done time.Duration
	// Key is the Idempotency-Key.
	Key string
	// Status is the answer's status; 0 where no try was answered.
	Status int
	// Ran is what a refusal says of the run: "no", "unknown" or nothing.
	Ran string
	// Code is the refusal's code.
	Code string
	// Server is the backend server that ran the request.
	Server psdoc.Name
	// Tries counts the VMs that the request was sent to.
	Tries int
	// Cuts lists the VMs that ended a try without an answer after it was sent.
	Cuts []psdoc.Name
	// Foreign says that the answer belongs to another request or is not whole.
	Foreign bool
	// KeySeen says that the backend server received a workspace's key.
	KeySeen bool
}

// Served reports whether the request got a backend server's answer.
func (o *Observation) Served() bool {
	return o.Status >= 200 && o.Status < 300
}

// Latency is the time from the drawn arrival to the end of the answer.
func (o *Observation) Latency() time.Duration {
	return o.Done - o.At
}
