// Package psevent numbers the log lines.
//
// Each line that the system logs is an event with a fixed number and text, so that
// operators can search and alert on numbers. docs/EVENTS.md is the catalogue, and a test
// keeps it equal to this package. Each area has a range of its own in a file of its own.
package psevent

import (
	"slices"

	"github.com/hashicorp/go-hclog"
)

// Number identifies an event.
type Number int

// Event is one kind of log line.
type Event struct {
	// Number identifies the event and never changes its meaning.
	Number Number
	// Level is the level at which the event is logged.
	Level hclog.Level
	// Text is the message.
	Text string
	// Fields names the values that come with the event.
	Fields []string
}

// Log writes the event with its values, given in the order of its fields.
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

// Catalogue lists all events by number.
func Catalogue() []Event {
	return slices.Concat(measureEvents(), steerEvents())
}
