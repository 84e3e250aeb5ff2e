package psevent

import "github.com/hashicorp/go-hclog"

// Events of a VM on the users' platform.
var (
	// VMStarted says that the process runs and with which settings.
	VMStarted = Event{7001, hclog.Info, "VM process started", []string{"vm", "failureDomain", "region", "callers", "store"}}
	// VMStopping says that a graceful shutdown began.
	VMStopping = Event{7002, hclog.Info, "VM process stopping", []string{"vm", "inFlight"}}
	// VMStopped says that the process ends.
	VMStopped = Event{7003, hclog.Info, "VM process stopped", []string{"vm", "inFlight", "after"}}
	// SettingsReloaded says that the settings file was read again.
	SettingsReloaded = Event{7004, hclog.Info, "settings read again", []string{"cause", "changed"}}
	// SettingsKept says that a changed settings file is faulty and the old settings stay.
	SettingsRejected = Event{7005, hclog.Warn, "settings faulty, the old ones stay", []string{"cause", "error"}}
	// LinesLeftOut says how many log lines the budget left out, by event.
	LinesDropped = Event{7006, hclog.Warn, "log lines left out", []string{"lines"}}

	// ConfigurationTaken says that a configuration version is in force.
	ConfigurationApplied = Event{7101, hclog.Info, "configuration in force", []string{"version", "before", "routes", "workspaces", "storeVersion"}}
	// ConfigurationKept says that a newer configuration is faulty and the old one stays.
	ConfigurationRejected = Event{7102, hclog.Warn, "configuration faulty, the old one stays", []string{"storeVersion", "findings"}}
	// RowUnread says that a row of the store could not be read and is passed over.
	RowUnreadable = Event{7103, hclog.Warn, "row of the store passed over", []string{"key", "version", "error"}}
	// EvacuationChanged says which failure domains are evacuated.
	EvacuationChanged = Event{7104, hclog.Info, "evacuations changed", []string{"failureDomains"}}
	// StoreLost says that the store doesn't answer.
	StoreUnavailable = Event{7105, hclog.Warn, "store lost", []string{"call", "error"}}
	// StoreRegained says that the store answers again.
	StoreAvailable = Event{7106, hclog.Info, "store regained", []string{"call", "after"}}
	// ConfigurationUnknown says what of the configuration in force is not understood.
	ConfigurationPartUnknown = Event{7107, hclog.Warn, "part of the configuration not understood", []string{"version", "place", "text"}}
	// StoreRestored says that the store came back from a copy, so that its versions went back.
	StoreRestored = Event{7108, hclog.Warn, "store came back from a copy", []string{"call", "eraBefore", "era", "versionBefore", "version"}}
	// OrdersStale says that what another VM tells of the operator's orders is older than what is known.
	OrdersStale = Event{7109, hclog.Info, "older orders passed over", []string{"era", "version", "knownEra", "knownVersion"}}

	// ServerRegistered says that a backend server is new.
	ServerRegistered = Event{7201, hclog.Info, "backend server registered", []string{"server", "service", "failureDomain", "slots", "cold"}}
	// ServerDraining says that a backend server gets no new requests.
	ServerDraining = Event{7202, hclog.Info, "backend server draining", []string{"server", "service", "sequence"}}
	// ServerRemoved says that a backend server is no longer registered.
	ServerRemoved = Event{7203, hclog.Info, "backend server removed", []string{"server", "service"}}
	// ServerHeld says that a missing server is kept because the store was away.
	ServerRetained = Event{7204, hclog.Info, "missing backend server kept while entries return", []string{"server", "service"}}
	// ServerFailed says that a backend server gets no requests until a probe finds it.
	ServerFailed = Event{7205, hclog.Warn, "backend server failed", []string{"server", "service", "reason", "requestId"}}
	// ServerBack says that a backend server is used again.
	ServerRecovered = Event{7206, hclog.Info, "backend server back", []string{"server", "service", "sequence", "cold"}}
	// ServerLeaves says that a backend server told that it ends, in an answer or to another VM.
	ServerLeaving = Event{7207, hclog.Info, "backend server leaves", []string{"server", "service", "requestId"}}
	// ServerQuiet says that a backend server wants no requests from this VM for a time, and for how much of it that counts.
	ServerPaused = Event{7208, hclog.Info, "backend server wants no requests", []string{"server", "service", "requestId", "asked", "counts"}}
	// ServerStale says that an entry from the past of a backend server is passed over.
	ServerEntryStale = Event{7209, hclog.Info, "old entry of a backend server passed over", []string{"server", "service", "sequence", "known"}}

	// PeerHeard says that another VM reports, or reports again.
	PeerLive = Event{7301, hclog.Info, "VM heard", []string{"vm", "incarnation", "silentFor"}}
	// PeerSilent says that another VM has stopped reporting.
	PeerSilent = Event{7302, hclog.Warn, "VM silent", []string{"vm", "silentFor"}}
	// ReportUnread says that a datagram is no report.
	MessageUnreadable = Event{7303, hclog.Warn, "report passed over", []string{"from", "error"}}
	// BeliefsTaken says that a VM that reads the store told this one what it can't read.
	ControlStateApplied = Event{7304, hclog.Info, "beliefs taken from another VM", []string{"vm", "version", "servers", "age"}}

	// RequestAnswered says how a request ended that a backend server answered.
	RequestAnswered = Event{7401, hclog.Info, "request answered", requestFields}
	// RequestRejected says why a request was rejected without being run.
	RequestRejected = Event{7402, hclog.Info, "request rejected", requestFields}
	// RequestFailed says why a request failed that may have run.
	RequestFailed = Event{7403, hclog.Warn, "request failed", requestFields}
	// RequestLeft says that the caller left before the answer.
	RequestCanceled = Event{7404, hclog.Info, "caller left", requestFields}
	// AnswerBroken says that an answer broke off while it was passed on, so that the caller has a part of it.
	ResponseTruncated = Event{7405, hclog.Warn, "answer broke off while it was passed on", []string{"requestId", "server", "error"}}
	// RequestCounted says that a crash is counted against a request.
	CrashCounted = Event{7406, hclog.Warn, "request was at a server that crashed", []string{"requestId", "fingerprint", "server", "crashes"}}
)

// requestFields are the inputs and the outcome of a request's decisions.
var requestFields = []string{
	"requestId", "workspace", "route", "object", "version", "status", "reason", "tries", "took", "left", "serversAge", "retryAfter",
}

func steerEvents() []Event {
	return []Event{
		VMStarted, VMStopping, VMStopped, SettingsReloaded, SettingsRejected, LinesDropped,
		ConfigurationApplied, ConfigurationRejected, RowUnreadable, EvacuationChanged, StoreUnavailable, StoreAvailable, ConfigurationPartUnknown, StoreRestored, OrdersStale,
		ServerRegistered, ServerDraining, ServerRemoved, ServerRetained, ServerFailed, ServerRecovered, ServerLeaving, ServerPaused, ServerEntryStale,
		PeerLive, PeerSilent, MessageUnreadable, ControlStateApplied,
		RequestAnswered, RequestRejected, RequestFailed, RequestCanceled, ResponseTruncated, CrashCounted,
	}
}
