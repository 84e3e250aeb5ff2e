// Package pslog writes logs asynchronously, so that a slow or blocked output never delays a request.
//
// Lines pass through a bounded queue to a goroutine that writes them. When the queue is full, further lines are
// dropped and counted. A [RateLimit] bounds the rate of one kind of line before the line is formatted.
package pslog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// queueSize is the number of lines that can wait to be written.
const queueSize = 1024

// Writer writes lines to another writer asynchronously.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
}

// New returns a writer to out and its clean-up function, which waits until the queued lines are written.
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

// Write queues a line, or drops it if the queue is full. It never blocks and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	// The logger reuses its buffer.
	c := append(make([]byte, 0, len(line)), line...)
	select {
	case w.lines <- c:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped since the last call.
func (w *Writer) Dropped() int64 { return w.dropped.Swap(0) }

// RateLimit bounds the number of lines in each second. The zero value allows none.
type RateLimit struct {
	// PerSecond is the largest number of lines in a second.
	PerSecond int64

	second  atomic.Int64
	used    atomic.Int64
	dropped atomic.Int64
}

// Allow reports whether another line may be written at the given time. It counts the line as dropped if not.
func (l *RateLimit) Allow(now time.Time) bool {
	if s := now.Unix(); l.second.Swap(s) != s {
		l.used.Store(0)
	}
	if l.used.Add(1) <= l.PerSecond {
		return true
	}
	l.dropped.Add(1)
	return false
}

// Dropped returns the number of lines that were not allowed since the last call.
func (l *RateLimit) Dropped() int64 { return l.dropped.Swap(0) }
