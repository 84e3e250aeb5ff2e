// Package psevent is the catalogue of log events.
//
// Each line that the system logs is an event with a fixed number, so that operators can search and alert on numbers
// while texts change. docs/EVENTS.md lists the events, and a test keeps it equal to this package. Each area has its own
// range of numbers and its own file.
package psevent

import (
	"slices"

	"github.com/hashicorp/go-hclog"
)

// Number identifies an event.
type Number int

// Event is a kind of log line.
type Event struct {
	// Number identifies the event. Its meaning never changes.
	Number Number
	// Level is the level at which the event is logged.
	Level hclog.Level
	// Text is the message.
	Text string
	// Fields are the names of the event's values, in the order of the arguments of [Event.Log].
	Fields []string
}

// Log logs the event with its values, given in the order of its fields.
func (e Event) Log(l hclog.Logger, values ...any) {
	if !enabled(l, e.Level) {
		return
	}
	args := make([]any, 0, 2+2*len(values))
	args = append(args, "event", int(e.Number))
	for i, v := range values {
		args = append(args, e.Fields[i], v)
	}
	l.Log(e.Level, e.Text, args...)
}

func enabled(l hclog.Logger, level hclog.Level) bool {
	return level >= l.GetLevel()
}

// Catalogue returns all events in ascending order of their numbers.
func Catalogue() []Event {
	return slices.Concat(measureEvents(), steerEvents())
}
