package psevent

import "github.com/hashicorp/go-hclog"

// Events of a request's life.
var (
	// Routed says which backend server a request was sent to and why.
	Routed = Event{2001, hclog.Info, "request routed", []string{"requestId", "workspace", "route", "server", "failureDomain", "attempt", "reason"}}
	// Refused says that a request was refused and why.
	Refused = Event{2002, hclog.Info, "request refused", []string{"requestId", "workspace", "route", "code", "ran"}}
	// Answered says how a request ended.
	Answered = Event{2003, hclog.Debug, "request answered", []string{"requestId", "status", "duration"}}
	// Directed says which VMs a caller was told to use.
	Directed = Event{2004, hclog.Info, "directory answered", []string{"client", "workspace", "vms", "reason"}}
	// BrokenOff says that a caller's connection was aborted because its answer broke off.
	BrokenOff = Event{2005, hclog.Warn, "answer broke off", []string{"requestId", "workspace", "route"}}
)

func requestEvents() []Event {
	return []Event{Routed, Refused, Answered, Directed, BrokenOff}
}
