package psbehaviour

import (
	"net/http"
	"strings"
	"time"
)

// FaultKind is the way in which a request fails.
type FaultKind string

const (
	// FaultHang runs the request and sends no response.
	FaultHang FaultKind = "hang"
	// FaultSlow responds after a delay, unless the request is canceled before.
	FaultSlow FaultKind = "slow"
	// FaultLate responds after a delay, even if the request is canceled before.
	FaultLate FaultKind = "late"
	// FaultHalfLength sends half of a response that has a Content-Length.
	FaultHalfLength FaultKind = "halfLength"
	// FaultHalfChunked sends half of a chunked response.
	FaultHalfChunked FaultKind = "halfChunked"
	// FaultCloseAfter closes the connection after a complete response that has no "Connection: close".
	FaultCloseAfter FaultKind = "closeAfter"
	// FaultCut runs the request and closes its connection without a response.
	FaultCut FaultKind = "cut"
	// FaultFail responds with status 500.
	FaultFail FaultKind = "fail"
	// FaultShed responds with status 503 and states that the request was not run.
	FaultShed FaultKind = "shed"
	// FaultCrash runs the request, then closes all connections and stops listening for a delay.
	FaultCrash FaultKind = "crash"
)

// HeaderMarker is the request header that is compared with the marker of a fault.
const HeaderMarker = "X-Standin-Marker"

// Fault is one row of the fault table.
type Fault struct {
	// Path is the prefix of the paths that the fault applies to; an empty prefix matches all.
	Path string
	// Marker is the value of HeaderMarker that the fault applies to; an empty marker matches all.
	Marker string
	// Kind is the way in which the request fails.
	Kind FaultKind
	// Delay is the time before a slow or late response, or the downtime after a crash.
	Delay time.Duration
	// Count is the number of requests that fail; 0 means no limit.
	Count int
	// Every makes only each n-th matching request fail; 0 means each one.
	Every int

	matches int
}

// MatchFault returns the first fault that applies to a request and counts the match. It must not be called concurrently.
func (b *Behaviour) MatchFault(r *http.Request) (Fault, bool) {
	for i := range b.Faults {
		f := &b.Faults[i]
		if !strings.HasPrefix(r.URL.Path, f.Path) || (f.Marker != "" && r.Header.Get(HeaderMarker) != f.Marker) {
			continue
		}
		f.matches++
		if f.Every > 0 && f.matches%f.Every != 0 {
			continue
		}
		if f.Count > 0 && f.matches > f.Count*max(f.Every, 1) {
			continue
		}
		return *f, true
	}
	return Fault{}, false
}
