package psvm

import (
	"context"
	"slices"
)

// lifecycle collects what the parts of a VM want to happen while it lives.
type lifecycle struct {
	cleanups []func()
	tasks    []func(context.Context)
	leaves   []func()
	drains   []func()
}

// clean registers a clean-up function, to be called when nothing uses its part any more.
func (l *lifecycle) clean(f func()) {
	l.cleanups = append(l.cleanups, f)
}

// task registers a function to run in a goroutine of its own until its context ends.
func (l *lifecycle) task(f func(context.Context)) {
	l.tasks = append(l.tasks, f)
}

// onLeave registers a function to be called once when a graceful shutdown begins.
func (l *lifecycle) onLeave(f func()) {
	l.leaves = append(l.leaves, f)
}

// onDrained registers a function to be called when no request is left.
func (l *lifecycle) onDrained(f func()) {
	l.drains = append(l.drains, f)
}

// drained says that no request is left.
func (l *lifecycle) drained() {
	for _, f := range l.drains {
		f()
	}
}

// leave says that the VM leaves.
func (l *lifecycle) leave() {
	for _, f := range l.leaves {
		f()
	}
}

// cleanUp cleans up in the reverse order.
func (l *lifecycle) cleanUp() {
	for _, f := range slices.Backward(l.cleanups) {
		f()
	}
}
