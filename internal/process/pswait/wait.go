// Package pswait waits for time to pass, unless a context ends first.
package pswait

import (
	"context"
	"time"
)

// Sleep waits for the span and reports whether the context still lives.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
