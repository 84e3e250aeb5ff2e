package psstandin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/process/psplatform"
)

// shutdownTimeout bounds the wait for running calls when the server stops.
const shutdownTimeout = time.Second

// Server serves a store over HTTP.
type Server struct {
	// Store holds the content.
	Store *Store
	// Faults is the fault table.
	Faults *Faults
	// Address is where the server listens.
	Address netip.AddrPort
}

// NewServer starts a server and returns it with its clean-up function.
func NewServer(ctx context.Context, address netip.AddrPort) (*Server, func(), error) {
	return Serve(ctx, address, &Store{})
}

// Serve starts a server of a store, which several servers with fault tables of their own
// may share. It returns the server with its clean-up function.
func Serve(ctx context.Context, address netip.AddrPort, store *Store) (*Server, func(), error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen for the platform stand-in")
	}
	s := &Server{Store: store, Faults: &Faults{}, Address: l.Addr().(*net.TCPAddr).AddrPort()}
	h := &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go h.Serve(l) //nolint:errcheck // ends with ErrServerClosed
	return s, func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if h.Shutdown(ctx) != nil {
			_ = h.Close()
		}
	}, nil
}

// ServeHTTP answers one call, or lets its fault happen.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault, faulty := s.Faults.take(r.URL.Path)
	if faulty {
		switch fault.Kind {
		case FaultRefuse:
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		case FaultLoseCall:
			panic(http.ErrAbortHandler)
		case FaultNever:
			// The server notices that the client has gone only once the body was read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		case FaultSlow:
			select {
			case <-time.After(fault.Delay):
			case <-r.Context().Done():
				return
			}
		}
	}
	status, body := s.answer(r, faulty && fault.Kind == FaultStale)
	if faulty && fault.Kind == FaultLoseAnswer {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// answer carries out a call, a reading one on the frozen rows if it is to be stale.
func (s *Server) answer(r *http.Request, stale bool) (int, []byte) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	switch path := r.URL.Path; {
	case path == psplatform.PathRead:
		return decoded(body, func(in psplatform.ReadRequest) any {
			return psplatform.RowsResponse{Rows: s.Store.read(in.Keys, stale)}
		})
	case path == psplatform.PathScan:
		return decoded(body, func(in psplatform.ScanRequest) any {
			return psplatform.RowsResponse{Rows: s.Store.scan(in.Prefix, in.After, in.Limit, stale)}
		})
	case path == psplatform.PathCommit:
		return decoded(body, func(in psplatform.Transaction) any {
			revision, refused := s.Store.Commit(in)
			return psplatform.CommitResponse{Revision: revision, Refused: refused}
		})
	case path == psplatform.PathMachines:
		return encoded(psplatform.MachinesResponse{Machines: s.Store.Machines()})
	case strings.HasPrefix(path, psplatform.PathObjects):
		return s.object(r.Method, strings.TrimPrefix(path, psplatform.PathObjects), body)
	}
	return http.StatusNotFound, nil
}

func (s *Server) object(method, name string, body []byte) (int, []byte) {
	if method == http.MethodPut {
		s.Store.Put(name, body)
		return http.StatusOK, nil
	}
	content, found := s.Store.Get(name)
	if !found {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, content
}

func decoded[T any](body []byte, f func(T) any) (int, []byte) {
	var in T
	if json.Unmarshal(body, &in) != nil {
		return http.StatusBadRequest, nil
	}
	return encoded(f(in))
}

func encoded(v any) (int, []byte) {
	out, err := json.Marshal(v)
	if err != nil {
		return http.StatusInternalServerError, nil
	}
	return http.StatusOK, out
}
