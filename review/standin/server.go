package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that reached a server.
type arrival struct {
	at                       time.Time
	server, id, method, path string
	tenant, key              string
	ran                      bool
	from                     string
}

// arrivals collects the requests that reached servers.
type arrivals struct {
	mutex sync.Mutex
	list  []arrival
}

func (a *arrivals) add(v arrival) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.list = append(a.list, v)
}

func (a *arrivals) all() []arrival {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return append([]arrival{}, a.list...)
}

// server is a stand-in for one backend server.
type server struct {
	id, service, zone, address string
	slots                      int
	work                       time.Duration
	born                       int64
	store                      *store
	seen                       *arrivals
	http                       *http.Server
	seq                        atomic.Int64
	draining                   atomic.Bool
	running                    atomic.Int64
}

// serve listens at a free port.
func (s *server) serve() {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fail("server %s: %v", s.id, err)
	}
	s.address, s.born = l.Addr().String(), time.Now().UnixMilli()
	s.http = &http.Server{Handler: http.HandlerFunc(s.handle), IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }()
}

// entry is what the server says of itself in the store.
func (s *server) entry(state string) map[string]any {
	return map[string]any{
		"address": s.address, "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": s.slots},
		"status": map[string]any{"state": state, "seq": s.seq.Add(1), "cold_remaining_s": 0},
	}
}

func (s *server) register() { s.store.put("servers", s.id, s.entry("ready")) }

// drain reports that the server leaves. The return is the store's acknowledgement.
func (s *server) drain() time.Time {
	s.draining.Store(true)
	s.store.put("servers", s.id, s.entry("draining"))
	return time.Now()
}

func (s *server) load() string {
	n := s.running.Load()
	return fmt.Sprintf("%d,%d,%d", min(n, int64(s.slots)), max(0, n-int64(s.slots)), s.slots)
}

func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Server-Load", s.load())
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", s.id)
		if s.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Request-Id")
	a := arrival{
		at: time.Now(), server: s.id, id: id, method: r.Method, path: r.RequestURI, tenant: r.Header.Get("Tenant-Id"),
		key: r.Header.Get("Authorization"), from: r.RemoteAddr,
	}
	w.Header().Set("Request-Id", id)
	if target := r.Header.Get("Target-Instance"); target != "" && target != s.id {
		s.seen.add(a)
		w.Header().Set("Instance-Id", s.id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a.ran = true
	s.seen.add(a)
	s.running.Add(1)
	defer s.running.Add(-1)
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	body := s.id + " " + id + "\n"
	w.Header().Set("Response-Signature", s.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// end ends the server's process: its listener and its connections close.
func (s *server) end() { _ = s.http.Close() }
