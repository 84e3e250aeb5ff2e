package psevent

import "github.com/hashicorp/go-hclog"

// Events of a process's life.
var (
	// Started says that a VM serves.
	Started = Event{1001, hclog.Info, "VM started", []string{"vm", "callers", "peer", "operator"}}
	// Stopping says that a graceful shutdown has begun.
	Stopping = Event{1002, hclog.Info, "graceful shutdown began", []string{"vm"}}
	// Stopped says that no request was left when the process ended.
	Stopped = Event{1003, hclog.Info, "VM stopped", []string{"vm", "inFlight"}}
	// VersionInForce says that a configuration version was put in force.
	VersionInForce = Event{1004, hclog.Info, "configuration version in force", []string{"version"}}
	// VersionFailed says that a configuration version could not be loaded.
	VersionFailed = Event{1005, hclog.Warn, "configuration version not loaded", []string{"error"}}
	// OperatorChange says who changed what and how it ended.
	OperatorChange = Event{1011, hclog.Info, "operator change", []string{"operation", "author", "operationId", "target", "outcome", "version"}}
	// OperatorRefused says that a call to the administration API was refused.
	OperatorRefused = Event{1012, hclog.Warn, "operator call refused", []string{"client", "path", "reason"}}
)

func processEvents() []Event {
	return []Event{Started, Stopping, Stopped, VersionInForce, VersionFailed, OperatorChange, OperatorRefused}
}
