package psbackend

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"persimmonstep/internal/trial/psbehaviour"
	"persimmonstep/platform/psstandin"
)

// HealthPath is the path of the health check, which responds with status 200.
const HealthPath = "/healthz"

// Echo is the body of a response: the request as the stand-in received it.
type Echo struct {
	Server     string              `json:"server"`
	Workspace  string              `json:"workspace"`
	Method     string              `json:"method"`
	Path       string              `json:"path"`
	Headers    map[string][]string `json:"headers"`
	BodyBytes  int64               `json:"bodyBytes"`
	BodySHA256 string              `json:"bodySha256"`
}

// serve handles one request of an incarnation.
func (s *Server) serve(v *incarnation, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == HealthPath {
		psstandin.WriteHealth(w.Header(), s.ID, 0)
		if s.statesSpeed() {
			psstandin.WriteLoad(w.Header(), s.load())
		}
		return
	}
	arrival := s.recordArrival(r, time.Now())
	s.run(v, &limitWriter{ResponseWriter: w, server: s, arrival: arrival}, r)
}

// run admits a request, runs it in a slot and sends the response, or injects its fault.
func (s *Server) run(v *incarnation, w http.ResponseWriter, r *http.Request) {
	arrival := psstandin.ReadForwardHeaders(r.Header)
	psstandin.Sign(w.Header(), arrival.ID)
	s.countInPause(r, time.Now())
	leaving, pause := s.announced()
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
	if pause > 0 {
		s.rejectWithPause(w, r, pause)
		return
	}
	a, admitted := s.admit(r)
	if !admitted {
		s.shed(w)
		return
	}
	if !s.awaitSlot(v, r, a) {
		panic(http.ErrAbortHandler)
	}
	defer s.releaseSlot()
	h := sha256.New()
	n, err := io.Copy(h, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.countRun(arrival.ID)
	a.execution.Started = time.Now()
	completed := v.wait(r, s.runTime(a.execution.Work, a.execution.Started))
	s.recordExecution(a.execution)
	if !completed {
		panic(http.ErrAbortHandler)
	}
	body, err := json.Marshal(Echo{
		Server: s.ID, Workspace: arrival.Workspace, Method: r.Method, Path: r.URL.Path,
		Headers: r.Header, BodyBytes: n, BodySHA256: hex.EncodeToString(h.Sum(nil)),
	})
	if err != nil {
		panic(err)
	}
	s.respond(v, w, r, a.fault, append(body, '\n'))
}

func (s *Server) shed(w http.ResponseWriter) {
	psstandin.WriteLoad(w.Header(), s.load())
	psstandin.MarkNotRun(w.Header())
	w.WriteHeader(http.StatusServiceUnavailable)
}

// latency returns the simulated network latency of the request's source address.
func (s *Server) latency(r *http.Request) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.behaviour.LatencyFrom[sourceAddress(r)]
}

func (s *Server) countRun(id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.runs[id]++
}

// respond sends the response, as far as the fault allows it.
func (s *Server) respond(v *incarnation, w http.ResponseWriter, r *http.Request, f psbehaviour.Fault, body []byte) {
	psstandin.WriteLoad(w.Header(), s.load())
	switch f.Kind {
	case psbehaviour.FaultHang:
		v.hang(r)
		panic(http.ErrAbortHandler)
	case psbehaviour.FaultSlow:
		if !v.wait(r, f.Delay) {
			panic(http.ErrAbortHandler)
		}
	case psbehaviour.FaultLate:
		v.sleep(f.Delay)
	case psbehaviour.FaultHalfLength:
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		writeHalf(w, body)
	case psbehaviour.FaultHalfChunked:
		writeHalf(w, body)
	case psbehaviour.FaultCloseAfter:
		closeAfter(w, psstandin.ReadForwardHeaders(r.Header).ID, body)
		return
	case psbehaviour.FaultCut:
		panic(http.ErrAbortHandler)
	case psbehaviour.FaultFail:
		w.WriteHeader(http.StatusInternalServerError)
	case psbehaviour.FaultCrash:
		s.Crash(f.Delay)
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// writeHalf sends half of the body and closes the connection.
func writeHalf(w http.ResponseWriter, body []byte) {
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// closeAfter sends the complete response without "Connection: close" and closes the connection.
func closeAfter(w http.ResponseWriter, id string, body []byte) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", psstandin.SignedLines(id), len(body), body)
	_ = c.Close()
}
