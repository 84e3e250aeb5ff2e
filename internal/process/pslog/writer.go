// Package pslog writes log lines without ever making their author wait.
//
// Lines go through a bounded buffer to a goroutine of their own. What doesn't fit is left
// out and counted. A [Budget] bounds the lines a second of one kind, before they are made.
package pslog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// backlog is the number of lines that may wait to be written.
const queueSize = 1024

// Writer passes lines to another writer.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
}

// New returns a writer to out and its clean-up function, which writes what waits.
func New(out io.Writer) (*Writer, func()) {
	w := &Writer{lines: make(chan []byte, queueSize)}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for l := range w.lines {
			if l == nil {
				return
			}
			if _, err := out.Write(l); err != nil {
				w.dropped.Add(1)
			}
		}
	}()
	var once sync.Once
	return w, func() {
		once.Do(func() {
			w.lines <- nil
			<-ended
		})
	}
}

// Write takes a line. It never fails and never waits.
func (w *Writer) Write(line []byte) (int, error) {
	// The caller reuses its buffer.
	c := append(make([]byte, 0, len(line)), line...)
	select {
	case w.lines <- c:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were left out since the last call.
func (w *Writer) Dropped() int64 { return w.dropped.Swap(0) }

// Budget bounds the lines of each second. The zero value allows none.
type RateLimit struct {
	// PerSecond is the number of lines a second.
	PerSecond int64

	second  atomic.Int64
	used    atomic.Int64
	dropped atomic.Int64
}

// Take reports whether another line may be written at a time.
func (b *RateLimit) Allow(now time.Time) bool {
	if s := now.Unix(); b.second.Swap(s) != s {
		b.used.Store(0)
	}
	if b.used.Add(1) <= b.PerSecond {
		return true
	}
	b.dropped.Add(1)
	return false
}

// LeftOut returns the number of refused lines since the last call.
func (b *RateLimit) Dropped() int64 { return b.dropped.Swap(0) }
