package psevent

import "github.com/hashicorp/go-hclog"

// Events of backend servers' health, of retries, of quarantined requests and of leaving.
var (
	// ServerEjected says that a backend server was taken out because it stands out.
	ServerEjected = Event{5001, hclog.Warn, "backend server ejected", []string{"server", "pool", "reason", "duration", "ejections"}}
	// ServerDown says that a backend server could not be connected to.
	ServerDown = Event{5002, hclog.Warn, "backend server down", []string{"server", "pool"}}
	// ServerReturned says that a backend server gets work again, on a ramp.
	ServerReturned = Event{5003, hclog.Info, "backend server returned", []string{"server", "pool", "ramp"}}
	// ServerWarm says that a backend server gets its whole share again.
	ServerWarm = Event{5004, hclog.Info, "backend server warm", []string{"server", "pool"}}
	// EjectionWithheld says that a backend server stands out but too many are ejected already.
	EjectionWithheld = Event{5005, hclog.Warn, "ejection withheld, too many are ejected", []string{"server", "pool", "reason"}}
	// ServerProbed says how a probe ended.
	ServerProbed = Event{5006, hclog.Debug, "backend server probed", []string{"server", "reached", "well", "leaving"}}
	// ServerLeaving says that a backend server gets no new work because it is leaving.
	ServerLeaving = Event{5007, hclog.Info, "backend server leaving", []string{"server", "pool", "source"}}
	// ServerStays says that nothing names a backend server as leaving any more.
	ServerStays = Event{5008, hclog.Info, "backend server no longer leaving", []string{"server", "pool"}}
	// Retried says that a request is sent to another backend server.
	Retried = Event{5101, hclog.Info, "request sent again", []string{"requestId", "workspace", "route", "attempts", "paid"}}
	// RetryRefused says why a request is not sent to another backend server.
	RetryRefused = Event{5102, hclog.Info, "request not sent again", []string{"requestId", "workspace", "route", "attempts", "reason"}}
	// RequestCrashed says that a run ended with its backend server's connection.
	RequestCrashed = Event{5201, hclog.Warn, "request took down a connection", []string{"fingerprint", "workspace", "route", "server", "crashes"}}
	// RequestQuarantined says that a request is refused from now on.
	RequestQuarantined = Event{5202, hclog.Warn, "request quarantined", []string{"fingerprint", "workspace", "route", "target", "duration"}}
	// QuarantineLearned says that another VM told of a quarantined request.
	QuarantineLearned = Event{5203, hclog.Info, "quarantined request learned", []string{"fingerprint", "workspace", "route", "vm"}}
	// CrashExcused says why the loss of a connection is not held against a request.
	CrashExcused = Event{5204, hclog.Info, "lost connection not held against the request", []string{"fingerprint", "workspace", "route", "server", "reason"}}
	// SuspectCleared says that a suspect request got its whole answer.
	SuspectCleared = Event{5205, hclog.Info, "suspect request cleared by an answer", []string{"fingerprint", "workspace", "route"}}
	// QuarantineCleared says that an operator cleared a request.
	QuarantineCleared = Event{5206, hclog.Info, "request cleared by an operator", []string{"fingerprint", "workspace", "route"}}
	// QuarantineRefused says that a quarantined request was refused.
	QuarantineRefused = Event{5207, hclog.Info, "quarantined request refused", []string{"requestId", "workspace", "route", "fingerprint", "left"}}
	// StoppedListening says that a leaving VM takes no new connections and waits for requests.
	StoppedListening = Event{5301, hclog.Info, "VM takes no new connections", []string{"vm", "after", "inFlight"}}
)

func healthEvents() []Event {
	return []Event{
		ServerEjected, ServerDown, ServerReturned, ServerWarm, EjectionWithheld, ServerProbed,
		ServerLeaving, ServerStays, Retried, RetryRefused,
		RequestCrashed, RequestQuarantined, QuarantineLearned, CrashExcused, SuspectCleared, QuarantineCleared, QuarantineRefused,
		StoppedListening,
	}
}
