package psbackend

import (
	"net/http"
	"strings"
	"time"
)

// FaultKind says what goes wrong with a request.
type FaultKind string

const (
	// FaultHang runs the request and never answers.
	FaultHang FaultKind = "hang"
	// FaultSlow answers after a delay, unless the request is cancelled before.
	FaultSlow FaultKind = "slow"
	// FaultLate answers after a delay, even if the request is cancelled before.
	FaultLate FaultKind = "late"
	// FaultHalfLength sends half of an answer that has a Content-Length.
	FaultHalfLength FaultKind = "halfLength"
	// FaultHalfChunked sends half of a chunked answer.
	FaultHalfChunked FaultKind = "halfChunked"
	// FaultCloseAfter closes the connection after a whole answer, without saying so before.
	FaultCloseAfter FaultKind = "closeAfter"
	// FaultCut runs the request and closes its connection without an answer.
	FaultCut FaultKind = "cut"
	// FaultFail answers 500.
	FaultFail FaultKind = "fail"
	// FaultShed answers 503 and says that the request was not run.
	FaultShed FaultKind = "shed"
	// FaultCrash runs the request, then cuts all connections and stops listening for a delay.
	FaultCrash FaultKind = "crash"
)

// HeaderMarker is the request header that a fault's marker is compared with.
const HeaderMarker = "X-Standin-Marker"

// Fault is one row of the fault table.
type Fault struct {
	// Path is the prefix of the paths that it meets; empty meets all.
	Path string
	// Marker is the value of HeaderMarker that it meets; empty meets all.
	Marker string
	// Kind says what goes wrong.
	Kind FaultKind
	// Delay is the wait of a slow or late answer, or how long a crashed server is down.
	Delay time.Duration
	// Count is the number of requests that it meets; 0 stands for all.
	Count int
	// Every makes it meet only each n-th request; 0 stands for each one.
	Every int

	matches int
}

// take finds the first fault for a request and counts it. The mutex is held.
func (s *Server) matchFault(r *http.Request) (Fault, bool) {
	for i := range s.behaviour.Faults {
		f := &s.behaviour.Faults[i]
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

// wait sleeps unless the request is cancelled or the server goes down, and reports whether
// it slept to the end.
func (l *incarnation) wait(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
	case <-l.ended:
	}
	return false
}

// hang waits until the request is cancelled or the server goes down.
func (l *incarnation) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-l.ended:
	}
}

// late sleeps even if the request is cancelled.
func (l *incarnation) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-l.ended:
	}
}
