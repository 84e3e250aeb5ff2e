package psbackend

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"persimmonstep/platform/psstandin"
)

// HealthPath answers 200.
const HealthPath = "/healthz"

// Echo is the stand-in's answer.
type Echo struct {
	Server     string              `json:"server"`
	Workspace  string              `json:"workspace"`
	Method     string              `json:"method"`
	Path       string              `json:"path"`
	Headers    map[string][]string `json:"headers"`
	BodyBytes  int64               `json:"bodyBytes"`
	BodySHA256 string              `json:"bodySha256"`
}

// serve answers one request of a life.
func (s *Server) serve(v *life, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == HealthPath {
		psstandin.WriteHealth(w.Header(), s.ID, 0)
		return
	}
	s.run(v, w, r)
}

// run takes a request in, runs it in a slot and answers, or lets its fault happen.
func (s *Server) run(v *life, w http.ResponseWriter, r *http.Request) {
	arrival := psstandin.ReadForwardHeaders(r.Header)
	psstandin.Sign(w.Header(), arrival.ID)
	s.arrive(r, time.Now())
	leaving, quiet := s.wishes()
	if leaving {
		psstandin.MarkLeaving(w.Header())
	}
	if arrival.Server != "" && arrival.Server != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !v.wait(r, s.latency(r)) {
		panic(http.ErrAbortHandler)
	}
	if quiet > 0 {
		s.askForQuiet(w, r, quiet)
		return
	}
	a, admitted := s.admit(r)
	if !admitted {
		s.shed(w)
		return
	}
	if !s.await(v, r, a) {
		panic(http.ErrAbortHandler)
	}
	defer s.leave()
	h := sha256.New()
	n, err := io.Copy(h, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.count(arrival.ID)
	if !v.wait(r, a.serviceTime) {
		panic(http.ErrAbortHandler)
	}
	answer, err := json.Marshal(Echo{
		Server: s.ID, Workspace: arrival.Workspace, Method: r.Method, Path: r.URL.Path,
		Headers: r.Header, BodyBytes: n, BodySHA256: hex.EncodeToString(h.Sum(nil)),
	})
	if err != nil {
		panic(err)
	}
	s.answer(v, w, r, a.fault, append(answer, '\n'))
}

func (s *Server) shed(w http.ResponseWriter) {
	psstandin.WriteLoad(w.Header(), s.load())
	psstandin.MarkNotRun(w.Header())
	w.WriteHeader(http.StatusServiceUnavailable)
}

// latency is the time from where a request came from.
func (s *Server) latency(r *http.Request) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.behaviour.LatencyFrom[source(r)]
}

func (s *Server) count(id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.runs[id]++
}

// answer sends the answer, or what the fault leaves of it.
func (s *Server) answer(v *life, w http.ResponseWriter, r *http.Request, f Fault, body []byte) {
	psstandin.WriteLoad(w.Header(), s.load())
	switch f.Kind {
	case FaultHang:
		v.hang(r)
		panic(http.ErrAbortHandler)
	case FaultSlow:
		if !v.wait(r, f.Delay) {
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
		closeAfter(w, psstandin.ReadForwardHeaders(r.Header).ID, body)
		return
	case FaultCut:
		panic(http.ErrAbortHandler)
	case FaultFail:
		w.WriteHeader(http.StatusInternalServerError)
	case FaultCrash:
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
func closeAfter(w http.ResponseWriter, id string, body []byte) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", psstandin.SignedLines(id), len(body), body)
	_ = c.Close()
}
