package psbackend

import (
	"net/http"
	"net/netip"
	"time"

	"persimmonstep/internal/process/pslimit"
	"persimmonstep/platform/psstandin"
)

// Arrival is a request that reached the server, whether it ran or not.
type Arrival struct {
	At   time.Time
	From netip.Addr
	// Named is the limit in its response, and NamedAt when the header of the response was created.
	Named   pslimit.Limit
	NamedAt time.Time
}

// recordArrival records a request and returns its index for [Server.nameLimit].
func (s *Server) recordArrival(r *http.Request, now time.Time) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.arrivals = append(s.arrivals, Arrival{At: now, From: sourceAddress(r)})
	return len(s.arrivals) - 1
}

// limitWriter names the server's limit in the header of a response.
type limitWriter struct {
	http.ResponseWriter
	server  *Server
	arrival int
	named   bool
}

// WriteHeader implements [http.ResponseWriter].
func (w *limitWriter) WriteHeader(status int) {
	w.name()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements [http.ResponseWriter].
func (w *limitWriter) Write(p []byte) (int, error) {
	w.name()
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the writer for [http.ResponseController].
func (w *limitWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *limitWriter) name() {
	if w.named {
		return
	}
	w.named = true
	if l := w.server.nameLimit(w.arrival, time.Now()); l.Named {
		psstandin.WriteLimit(w.Header(), l.PerSecond)
	}
}

// nameLimit returns the limit to be named in the response to a request, and records it.
func (s *Server) nameLimit(arrival int, now time.Time) pslimit.Limit {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	a := &s.arrivals[arrival]
	a.Named, a.NamedAt = s.behaviour.Limit, now
	return a.Named
}

// Arrivals returns the requests that reached the server, in the order of their arrival.
func (s *Server) Arrivals() []Arrival {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}
