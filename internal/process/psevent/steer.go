package psevent

import "github.com/hashicorp/go-hclog"

// Events of a VM.
var (
	// BoundExceeded reports that a bound of the deployment can't be kept: in one way, this VM may learn of a change of the
	// servers later than the bound allows.
	BoundExceeded = Event{7007, hclog.Warn, "bound of the deployment can't be kept", []string{"way", "longest", "bound"}}
	// VMStarted reports that the process runs, with its settings.
	VMStarted = Event{7001, hclog.Info, "VM process started", []string{"vm", "failureDomain", "region", "callers", "store"}}
	// VMStopping reports that a graceful shutdown began.
	VMStopping = Event{7002, hclog.Info, "VM process stopping", []string{"vm", "inFlight"}}
	// VMStopped reports that the process ends.
	VMStopped = Event{7003, hclog.Info, "VM process stopped", []string{"vm", "inFlight", "after"}}
	// SettingsReloaded reports that the settings file was read again.
	SettingsReloaded = Event{7004, hclog.Info, "settings file reloaded", []string{"cause", "changed"}}
	// SettingsRejected reports that a changed settings file is faulty and the previous settings stay.
	SettingsRejected = Event{7005, hclog.Warn, "settings file rejected, keeping the previous settings", []string{"cause", "error"}}
	// LinesDropped reports how many log lines were dropped, by a rate limit or because the log's output was too slow.
	LinesDropped = Event{7006, hclog.Warn, "log lines dropped", []string{"lines"}}

	// ResourcesDivided reports how the VM divides its memory and descriptors: the bytes that it holds at most for callers,
	// the number of their connections, and the memory from which on it collects garbage more often.
	ResourcesDivided = Event{7008, hclog.Info, "memory and descriptors divided", []string{"memory", "descriptors", "held", "callerConnections", "serverConnections", "forwardConnections", "softLimit"}}

	// ConfigurationApplied reports that a configuration version is in force.
	ConfigurationApplied = Event{7101, hclog.Info, "configuration applied", []string{"version", "before", "routes", "workspaces", "storeVersion"}}
	// ConfigurationRejected reports that a newer configuration is faulty and the previous one stays in force.
	ConfigurationRejected = Event{7102, hclog.Warn, "configuration rejected, keeping the previous one", []string{"storeVersion", "findings"}}
	// RowUnreadable reports that a row of the store could not be decoded and is ignored.
	RowUnreadable = Event{7103, hclog.Warn, "unreadable row of the store ignored", []string{"key", "version", "error"}}
	// EvacuationChanged reports which failure domains are evacuated.
	EvacuationChanged = Event{7104, hclog.Info, "evacuations changed", []string{"failureDomains"}}
	// StoreUnavailable reports that calls to the store fail.
	StoreUnavailable = Event{7105, hclog.Warn, "store unavailable", []string{"call", "error", "silentFor"}}
	// StoreAvailable reports that calls to the store succeed again.
	StoreAvailable = Event{7106, hclog.Info, "store available again", []string{"call", "after"}}
	// ConfigurationPartUnknown reports a field or value of the configuration in force that this release does not support.
	ConfigurationPartUnknown = Event{7107, hclog.Warn, "unknown part of the configuration", []string{"version", "place", "text"}}
	// StoreRestored reports that the store was restored from a backup, so that its versions regressed.
	StoreRestored = Event{7108, hclog.Warn, "store restored from a backup", []string{"call", "eraBefore", "era", "versionBefore", "version"}}
	// DesiredStateStale reports that another VM sent a desired state older than the known one.
	DesiredStateStale = Event{7109, hclog.Info, "outdated desired state ignored", []string{"era", "version", "knownEra", "knownVersion"}}
	// TableRead reports that all rows of a table of the store were read: how many, in how many pages, the version of the
	// first page, and the version from which on changes are read.
	TableRead = Event{7110, hclog.Info, "table of the store read", []string{"call", "rows", "pages", "firstVersion", "version"}}
	// ServersStale reports that all entries of the servers, as read from the store or sent by another VM, are older than the
	// known ones.
	ServersStale = Event{7111, hclog.Info, "outdated entries of all servers ignored", []string{"era", "version", "knownEra", "knownVersion"}}

	// ServerRegistered reports a new backend server.
	ServerRegistered = Event{7201, hclog.Info, "backend server registered", []string{"server", "service", "failureDomain", "slots", "cold"}}
	// ServerDraining reports that a backend server gets no new requests.
	ServerDraining = Event{7202, hclog.Info, "backend server draining", []string{"server", "service", "sequence"}}
	// ServerRemoved reports that a backend server is no longer registered.
	ServerRemoved = Event{7203, hclog.Info, "backend server removed", []string{"server", "service"}}
	// ServerRetained reports that a server without an entry is kept, because the store has just been unavailable or
	// restored and servers may still renew their entries.
	ServerRetained = Event{7204, hclog.Info, "unregistered backend server retained while entries are renewed", []string{"server", "service"}}
	// ServerFailed reports that a backend server gets no requests until a probe succeeds.
	ServerFailed = Event{7205, hclog.Warn, "backend server failed", []string{"server", "service", "reason", "requestId"}}
	// ServerRecovered reports that a backend server is used again after a failure.
	ServerRecovered = Event{7206, hclog.Info, "backend server recovered", []string{"server", "service", "sequence", "cold"}}
	// ServerLeaving reports that a backend server announced its shutdown, in a response to this or another VM.
	ServerLeaving = Event{7207, hclog.Info, "backend server shutting down", []string{"server", "service", "requestId"}}
	// ServerPaused reports that a backend server asked this VM to send no requests for a time, and how much of that
	// time was granted.
	ServerPaused = Event{7208, hclog.Info, "backend server requested a pause", []string{"server", "service", "requestId", "asked", "counts"}}
	// ServerEntryStale reports that an outdated entry of a backend server is ignored.
	ServerEntryStale = Event{7209, hclog.Info, "outdated backend server entry ignored", []string{"server", "service", "sequence", "known", "incarnation", "knownIncarnation"}}
	// ServerEntryInvalid reports that an entry of a backend server is ignored because a field is out of range.
	ServerEntryInvalid = Event{7216, hclog.Warn, "invalid backend server entry ignored", []string{"server", "error"}}
	// ServerDeparted reports that a backend server is not used because another VM has read in the store that it leaves.
	ServerDeparted = Event{7217, hclog.Info, "backend server left according to another VM", []string{"server", "service", "vm", "sequence", "removed"}}
	// ServerDisputed reports that a backend server is not used because an outdated entry of it, which may be the server's
	// own, says that it is draining. It is used again once the server renews its entry.
	ServerDisputed = Event{7215, hclog.Warn, "backend server not used because its entries disagree", []string{"server", "service", "sequence", "incarnation"}}
	// ServerLimited reports that a backend server named a limit, or changed it, in a response to this VM. The field
	// before is "none" if it had none.
	ServerLimited = Event{7210, hclog.Warn, "backend server limits requests", []string{"server", "service", "requestId", "perSecond", "before"}}
	// ServerUnlimited reports that a response of a backend server to this VM names no limit any more.
	ServerUnlimited = Event{7211, hclog.Info, "backend server limits requests no more", []string{"server", "service", "requestId", "before"}}
	// ServerTokensGranted reports what this VM, which owns the tokens of a server's limit, granted to all VMs since the
	// last line, and from what: the limit and the time since a response confirmed it, the fraction of the fleet that it
	// reaches, the rate that it grants, the rate that VMs want, and the fraction for which they request tokens.
	ServerTokensGranted = Event{7212, hclog.Info, "tokens of a backend server granted", []string{
		"server", "service", "perSecond", "age", "second", "reached", "rate", "demand", "part", "asked", "wanted", "granted",
	}}
	// ServerLinksLost reports that this VM reaches no backend server: how many failed in succession to accept a connection
	// and to answer, how many a check could not connect to, and the time since the last connection was opened.
	ServerLinksLost = Event{7213, hclog.Warn, "links to all backend servers lost", []string{"unconnected", "unanswered", "checked", "connectedAgo"}}
	// ServerLinksRestored reports that this VM reaches backend servers again, and after how long.
	ServerLinksRestored = Event{7214, hclog.Info, "links to backend servers restored", []string{"after"}}

	// PeerLive reports that the first report of another VM arrived, or the first after a silence.
	PeerLive = Event{7301, hclog.Info, "VM live", []string{"vm", "incarnation", "silentFor"}}
	// PeerSilent reports that no reports of another VM arrive any more.
	PeerSilent = Event{7302, hclog.Warn, "VM silent", []string{"vm", "silentFor"}}
	// MessageUnreadable reports that a datagram of another VM could not be received or decoded.
	MessageUnreadable = Event{7303, hclog.Warn, "message from another VM unreadable", []string{"from", "error"}}
	// ControlStateApplied reports that this VM, without access to the store, applied the control state of a VM that
	// reads the store.
	ControlStateApplied = Event{7304, hclog.Info, "control state of another VM applied", []string{"vm", "version", "servers", "age"}}
	// SharesChanged reports into how many parts this VM divides the fleet's limits, how many VMs share its own part with it, and
	// which fraction of each limit its groups may use together. It also names the workspace of which this VM has the largest
	// share.
	SharesChanged = Event{7305, hclog.Info, "shares of the fleet's limits changed", []string{"known", "sharers", "fraction", "workspace", "largest"}}
	// PartLeft reports that this VM, which ends, leaves its part of the fleet's limits to another VM.
	PartLeft = Event{7306, hclog.Info, "part of the fleet's limits left to another VM", []string{"heir"}}

	// RequestAnswered reports the outcome of a request that a backend server answered.
	RequestAnswered = Event{7401, hclog.Info, "request answered", requestFields}
	// RequestRejected reports why a request was rejected before it ran.
	RequestRejected = Event{7402, hclog.Info, "request rejected", requestFields}
	// RequestFailed reports why a request failed that may have run.
	RequestFailed = Event{7403, hclog.Warn, "request failed", requestFields}
	// RequestCanceled reports that the caller disconnected before the response.
	RequestCanceled = Event{7404, hclog.Info, "request canceled by the caller", requestFields}
	// ResponseTruncated reports that a response broke off while it was forwarded, so that the caller received
	// it incompletely.
	ResponseTruncated = Event{7405, hclog.Warn, "response truncated while it was forwarded", []string{"requestId", "server", "error"}}
	// CrashCounted reports that the crash of a server is counted against a request that it ran.
	CrashCounted = Event{7406, hclog.Warn, "server crash counted against a request", []string{"requestId", "fingerprint", "server", "crashes"}}
	// ResponseInvalid reports that what a server sent is no response, or a larger one than is read.
	ResponseInvalid = Event{7407, hclog.Warn, "invalid response of a server dropped", []string{"requestId", "server", "error"}}

	// ConnectionClosed reports that this VM has closed a caller's connection because descriptors or memory were short.
	ConnectionClosed = Event{7501, hclog.Warn, "connection closed to free resources", []string{"listener", "remote", "reason"}}
	// HeadRefused reports that the head of a request was refused before the request was known.
	HeadRefused = Event{7502, hclog.Info, "head of a request refused", []string{"listener", "remote", "reason", "status"}}
	// HandlerFailed reports a fault of the program while it served a request, whose connection was closed.
	HandlerFailed = Event{7503, hclog.Error, "request handler failed", []string{"listener", "error", "stack"}}
)

// requestFields are the inputs and the outcome of the routing decision for a request.
var requestFields = []string{
	"requestId", "workspace", "route", "object", "version", "status", "reason", "tries", "took", "left", "serversAge", "retryAfter", "shortage", "helper", "from",
}

func steerEvents() []Event {
	return []Event{
		VMStarted, VMStopping, VMStopped, SettingsReloaded, SettingsRejected, LinesDropped, BoundExceeded, ResourcesDivided,
		ConfigurationApplied, ConfigurationRejected, RowUnreadable, EvacuationChanged, StoreUnavailable, StoreAvailable, ConfigurationPartUnknown, StoreRestored, DesiredStateStale, TableRead, ServersStale,
		ServerRegistered, ServerDraining, ServerRemoved, ServerRetained, ServerFailed, ServerRecovered, ServerLeaving, ServerPaused, ServerEntryStale, ServerLimited, ServerUnlimited, ServerTokensGranted,
		ServerLinksLost, ServerLinksRestored, ServerDisputed, ServerEntryInvalid, ServerDeparted,
		PeerLive, PeerSilent, MessageUnreadable, ControlStateApplied, SharesChanged, PartLeft,
		RequestAnswered, RequestRejected, RequestFailed, RequestCanceled, ResponseTruncated, CrashCounted, ResponseInvalid,
		ConnectionClosed, HeadRefused, HandlerFailed,
	}
}
