package psevent

import "github.com/hashicorp/go-hclog"

// Events of experiments.
var (
	// Measured says that a run of an experiment ended.
	RunFinished = Event{6001, hclog.Info, "run measured", []string{"scenario", "firm", "policy", "requests", "brokenPromises"}}
)

func measureEvents() []Event {
	return []Event{RunFinished}
}
