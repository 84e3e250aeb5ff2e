// Package pswait provides delays that end early when a context ends.
package pswait

import (
	"context"
	"time"
)

// Sleep waits for a duration and reports whether it passed before the context ended.
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
