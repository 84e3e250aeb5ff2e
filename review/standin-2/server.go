package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval at which servers write their entries.
const heartbeat = 1500 * time.Millisecond

// crashPath is the path of the request that crashes each server that begins to run it.
const crashPath = "/poison"

// arrival is a request that has reached a server.
type arrival struct {
	at     time.Time
	server *server
	// from is the VM that sent the request.
	from, id, path, service string
	// ran is set if the server began to work on it.
	ran bool
}

// server is a stand-in of a backend server.
type server struct {
	id, service, zone, address string
	slots                      int
	work                       time.Duration
	// downFor is how long the server is down after a crash.
	downFor time.Duration
	store   *store
	arrived func(arrival)
	born    int64

	mutex    sync.Mutex
	http     *http.Server
	state    string
	sequence int64
	running  int
	// registered is set while the server writes its entry.
	registered bool
}

// entry returns the entry of the server.
func (s *server) entry() map[string]any {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return map[string]any{
		"address": s.address, "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": s.slots},
		"status": map[string]any{"state": s.state, "seq": s.sequence, "cold_remaining_s": 0},
	}
}

// start listens, and registers the server.
func (s *server) start() error {
	s.born, s.state, s.registered = time.Now().UnixMilli(), "ready", true
	if err := s.listen(); err != nil {
		return err
	}
	s.write()
	go func() {
		for {
			time.Sleep(heartbeat)
			s.beat()
		}
	}()
	return nil
}

// beat writes the entry if more than its sequence number has changed.
func (s *server) beat() {
	s.mutex.Lock()
	s.sequence++
	registered, up := s.registered, s.http != nil
	s.mutex.Unlock()
	if !registered || !up {
		return
	}
	current, _ := s.store.value("servers", "", s.id)
	if withoutSequence(current) != withoutSequence(encode(s.entry())) {
		s.write()
	}
}

func (s *server) write() time.Time { return s.store.put("servers", "", s.id, encode(s.entry())) }

// withdraw removes the entry. The server continues to serve.
func (s *server) withdraw() time.Time {
	s.mutex.Lock()
	s.registered = false
	s.mutex.Unlock()
	return s.store.remove("servers", "", s.id)
}

func encode(v any) string {
	b, _ := json.Marshal(v)
	return string(b)
}

// withoutSequence returns an entry with a fixed sequence number, for comparisons.
func withoutSequence(text string) string {
	var v map[string]any
	if json.Unmarshal([]byte(text), &v) != nil {
		return text
	}
	if status, found := v["status"].(map[string]any); found {
		status["seq"] = 0
	}
	return encode(v)
}

func (s *server) listen() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("listen for server %s: %w", s.id, err)
	}
	h := &http.Server{Handler: http.HandlerFunc(s.serve)}
	s.mutex.Lock()
	s.http = h
	s.mutex.Unlock()
	go func() { _ = h.Serve(l) }()
	return nil
}

// stop ends the server at once.
func (s *server) stop() {
	s.mutex.Lock()
	h := s.http
	s.http, s.registered = nil, false
	s.mutex.Unlock()
	if h != nil {
		_ = h.Close()
	}
}

// crash closes the listener and all connections. The server is back after some seconds, as a new run of its id.
func (s *server) crash() {
	s.mutex.Lock()
	h := s.http
	s.http = nil
	s.mutex.Unlock()
	if h == nil {
		return
	}
	_ = h.Close()
	time.AfterFunc(s.downFor, func() {
		s.mutex.Lock()
		s.born, s.sequence, s.running = time.Now().UnixMilli(), 0, 0
		s.mutex.Unlock()
		for s.listen() != nil {
			time.Sleep(50 * time.Millisecond)
		}
		s.write()
	})
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", s.id)
		s.writeLoad(w)
		return
	}
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	a := arrival{at: time.Now(), server: s, from: host, id: r.Header.Get("Request-Id"), path: r.RequestURI, service: s.service}
	if target := r.Header.Get("Target-Instance"); target != "" && target != s.id {
		s.arrived(a)
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a.ran = true
	s.arrived(a)
	_, _ = io.Copy(io.Discard, r.Body)
	if strings.HasSuffix(r.URL.Path, crashPath) {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	s.mutex.Lock()
	s.running++
	s.mutex.Unlock()
	time.Sleep(s.work)
	s.writeLoad(w)
	s.mutex.Lock()
	s.running--
	s.mutex.Unlock()
	body := s.service + " " + s.id + " " + r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Signature", "sig."+s.service+"."+s.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

func (s *server) writeLoad(w http.ResponseWriter) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", s.running, s.slots))
}
