package psbackend

import (
	"net/http"
	"time"
)

// wait sleeps for a duration, or until the request is canceled or the server stops. It reports whether the
// whole duration passed.
func (i *incarnation) wait(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
	case <-i.ended:
	}
	return false
}

// hang waits until the request is canceled or the server stops.
func (i *incarnation) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-i.ended:
	}
}

// sleep sleeps for a duration, or until the server stops. It ignores the cancellation of the request.
func (i *incarnation) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-i.ended:
	}
}
