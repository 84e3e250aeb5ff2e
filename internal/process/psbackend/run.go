package psbackend

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"persimmonstep/internal/version/psdoc"
)

const (
	// RunsPath answers how often each Idempotency-Key ran.
	RunsPath = "/standin/runs"
	// HealthPath answers 200 where the server is well and 503 where it is not or is leaving.
	HealthPath = "/healthz"
	// HeaderNotRun marks the answer to a request that was shed without being run.
	HeaderNotRun = "X-Not-Run"
	// HeaderDraining marks the answers of a server that is leaving.
	HeaderDraining = "X-Draining"
	// HeaderLoad reports the part of the server's capacity in use.
	HeaderLoad = "X-Load"
)

// Echo is the stand-in's answer.
type Echo struct {
	Server     psdoc.Name          `json:"server"`
	Workspace  string              `json:"workspace"`
	Method     string              `json:"method"`
	Path       string              `json:"path"`
	Headers    map[string][]string `json:"headers"`
	BodyBytes  int64               `json:"bodyBytes"`
	BodySHA256 string              `json:"bodySha256"`
	// Padding makes the answer as large as the behaviour asks.
	Padding string `json:"padding,omitempty"`
}

// serve answers one request of a life.
func (s *Server) serve(v *life, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case RunsPath:
		_ = json.NewEncoder(w).Encode(s.Runs())
	case HealthPath:
		s.health(v, w, r)
	default:
		s.run(v, w, r)
	}
}

func (s *Server) health(v *life, w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	b := s.behaviour
	s.mutex.Unlock()
	if b.Health == HealthHang {
		v.hang(r)
		panic(http.ErrAbortHandler)
	}
	if b.Draining && b.Health != HealthWrongUp {
		w.Header().Set(HeaderDraining, "true")
	}
	if b.Health == HealthWrongDown || (b.Draining && b.Health != HealthWrongUp) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// run takes a request in, runs it in a slot and answers, or lets its fault happen.
func (s *Server) run(v *life, w http.ResponseWriter, r *http.Request) {
	if !v.wait(r, s.latency(r)) {
		panic(http.ErrAbortHandler)
	}
	p, admitted := s.admit(v, r)
	setHints(w.Header(), &p.behaviour)
	if !admitted {
		shed(w)
		return
	}
	defer s.leave()
	h := sha256.New()
	n, err := io.Copy(h, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.count(r)
	if !v.wait(r, p.serviceTime) {
		s.cancelled()
		panic(http.ErrAbortHandler)
	}
	answer, err := json.Marshal(Echo{
		Server: s.Name, Workspace: r.Header.Get("X-Workspace"), Method: r.Method, Path: r.URL.Path,
		Headers: r.Header, BodyBytes: n, BodySHA256: hex.EncodeToString(h.Sum(nil)),
		Padding: strings.Repeat(".", p.behaviour.AnswerBytes),
	})
	if err != nil {
		panic(err)
	}
	s.answer(v, w, r, p.fault, append(answer, '\n'))
}

// admission is what was decided of a request when it came.
type admission struct {
	behaviour   Behaviour
	fault       Fault
	serviceTime time.Duration
}

// admit takes a slot and the request's fault. It reports false where the request is shed.
func (s *Server) admit(v *life, r *http.Request) (admission, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p := admission{behaviour: s.behaviour, serviceTime: s.behaviour.serviceTime(time.Since(v.began))}
	p.fault, _ = s.take(r)
	full := s.behaviour.Slots > 0 && s.stats.Running >= s.behaviour.Slots
	if full || p.fault.Kind == FaultShed {
		s.stats.Shed++
		return p, false
	}
	s.stats.Runs++
	s.stats.Running++
	s.stats.HighWater = max(s.stats.HighWater, s.stats.Running)
	s.stats.LastRun = time.Now()
	return p, true
}

func (s *Server) latency(r *http.Request) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.behaviour.latency(via(r))
}

func (s *Server) leave() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stats.Running--
}

func (s *Server) count(r *http.Request) {
	if k := r.Header.Get("Idempotency-Key"); k != "" {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.runs[k]++
	}
}

func (s *Server) cancelled() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stats.Cancelled++
}

func setHints(h http.Header, b *Behaviour) {
	if b.Draining {
		h.Set(HeaderDraining, "true")
	}
	if b.Load != "" {
		h.Set(HeaderLoad, b.Load)
	}
}

func shed(w http.ResponseWriter) {
	w.Header().Set(HeaderNotRun, "true")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// via is the name of the VM that passed the request on.
func via(r *http.Request) psdoc.Name {
	_, name, _ := strings.Cut(r.Header.Get("Via"), " ")
	return psdoc.Name(name)
}

// answer sends the answer, or what the fault leaves of it.
func (s *Server) answer(v *life, w http.ResponseWriter, r *http.Request, f Fault, body []byte) {
	switch f.Kind {
	case FaultHang:
		v.hang(r)
		s.cancelled()
		panic(http.ErrAbortHandler)
	case FaultSlow:
		if !v.wait(r, f.Delay) {
			s.cancelled()
			panic(http.ErrAbortHandler)
		}
	case FaultLate:
		v.late(f.Delay)
	case FaultHalfLength:
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		half(w, body)
	case FaultHalfChunked:
		half(w, body)
	case FaultCloseAfter:
		closeAfter(w, body)
		return
	case FaultCut:
		panic(http.ErrAbortHandler)
	case FaultFail:
		w.WriteHeader(http.StatusInternalServerError)
	case FaultCrash:
		s.mutex.Lock()
		s.stats.Crashes++
		s.mutex.Unlock()
		s.Crash(f.Delay)
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// half sends half of the body and cuts the connection.
func half(w http.ResponseWriter, body []byte) {
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// closeAfter sends the whole answer and closes the connection unannounced.
func closeAfter(w http.ResponseWriter, body []byte) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	_ = c.Close()
}
