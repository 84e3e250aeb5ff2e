package psevent

import "github.com/hashicorp/go-hclog"

// Events of experiments.
var (
	// RunFinished reports that a run of an experiment ended.
	RunFinished = Event{6001, hclog.Info, "experiment run finished", []string{"scenario", "firm", "policy", "requests", "brokenPromises"}}
)

func measureEvents() []Event {
	return []Event{RunFinished}
}
