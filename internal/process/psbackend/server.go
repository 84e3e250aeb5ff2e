// Package psbackend is a stand-in for a backend server.
//
// It answers every request with a JSON description of what it received and counts the runs
// of each Idempotency-Key, so that tests can see what reached it and how often.
package psbackend

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/version/psdoc"
)

// RunsPath answers how often each Idempotency-Key ran.
const RunsPath = "/standin/runs"

// Echo is the stand-in's answer.
type Echo struct {
	Server     psdoc.Name          `json:"server"`
	Workspace  string              `json:"workspace"`
	Method     string              `json:"method"`
	Path       string              `json:"path"`
	Headers    map[string][]string `json:"headers"`
	BodyBytes  int64               `json:"bodyBytes"`
	BodySHA256 string              `json:"bodySha256"`
}

// Server is one stand-in.
type Server struct {
	// Name is the server's name in the configuration.
	Name psdoc.Name
	// Address is where it listens.
	Address netip.AddrPort

	mutex sync.Mutex
	runs  map[string]int
}

// New starts a stand-in and returns it with its clean-up function.
func New(ctx context.Context, name psdoc.Name, address netip.AddrPort) (*Server, func(), error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen for a backend server stand-in")
	}
	s := &Server{Name: name, Address: l.Addr().(*net.TCPAddr).AddrPort(), runs: make(map[string]int)}
	h := &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go h.Serve(l) //nolint:errcheck // ends with ErrServerClosed
	return s, func() { _ = h.Close() }, nil
}

// ServeHTTP runs one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if r.URL.Path == RunsPath {
		_ = json.NewEncoder(w).Encode(s.Runs())
		return
	}
	h := sha256.New()
	n, err := io.Copy(h, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if k := r.Header.Get("Idempotency-Key"); k != "" {
		s.mutex.Lock()
		s.runs[k]++
		s.mutex.Unlock()
	}
	_ = json.NewEncoder(w).Encode(Echo{
		Server: s.Name, Workspace: r.Header.Get("X-Workspace"), Method: r.Method, Path: r.URL.Path,
		Headers: r.Header, BodyBytes: n, BodySHA256: hex.EncodeToString(h.Sum(nil)),
	})
}

// Runs returns how often each Idempotency-Key ran.
func (s *Server) Runs() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.runs)
}
