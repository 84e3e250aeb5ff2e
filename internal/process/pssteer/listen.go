package pssteer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"persimmonstep/internal/connection/pscaller"
	"persimmonstep/internal/connection/psforward"
	"persimmonstep/internal/connection/pslinger"
	"persimmonstep/internal/connection/pspeerstate"
	"persimmonstep/internal/process/psadmin"
	"persimmonstep/internal/process/psstate"
	"persimmonstep/platform"
)

const (
	// maxHeaderBytes bounds the header that the HTTP server reads. The limit of the configuration is lower.
	maxHeaderBytes = 64 << 10
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection stays open.
	idleTimeout = 120 * time.Second
	// directoryTTL is how long callers may cache a directory response.
	directoryTTL = 2 * time.Second
)

// httpServers are the HTTP servers of a VM, each with its own listener. The last one serves callers.
type httpServers struct {
	servers   []*http.Server
	listeners []net.Listener
	// awaitLingering wait for the connections of requests that are still being closed, so that the last responses
	// arrive.
	awaitLingering []func()
}

// listen opens the listeners of a VM. Handlers with the same address share a listener.
func listen(ctx context.Context, v *vm, r *prometheus.Registry) (*httpServers, error) {
	s := &httpServers{}
	handlers := map[netip.AddrPort]*http.ServeMux{}
	mux := func(a netip.AddrPort) *http.ServeMux {
		if handlers[a] == nil {
			handlers[a] = http.NewServeMux()
		}
		return handlers[a]
	}
	mux(v.settings.Ready).HandleFunc(platform.PathReady, v.serveReady)
	mux(v.settings.Directory).HandleFunc(platform.PathDirectory, v.serveDirectory)
	mux(peerAddress(v.settings)).HandleFunc(pspeerstate.Path, pspeerstate.Handler(v.controller))
	mux(peerAddress(v.settings)).HandleFunc(pspeerstate.PathDesiredState, pspeerstate.DesiredStateHandler(v.controller))
	mux(operatorAddress(v.settings)).Handle("/", psadmin.Handler(v.state, promhttp.HandlerFor(r, promhttp.HandlerOpts{})))
	for a, m := range handlers {
		if err := s.add(ctx, a, m); err != nil {
			return nil, err
		}
	}
	if err := s.addRequests(ctx, psforward.Address(peerAddress(v.settings)), v.proxy.ForwardedHandler()); err != nil {
		return nil, err
	}
	if err := s.addRequests(ctx, v.settings.Callers, v.proxy); err != nil {
		return nil, err
	}
	return s, nil
}

// addRequests adds a server for requests, whose handler needs the connection of each request.
func (s *httpServers) addRequests(ctx context.Context, a netip.AddrPort, h http.Handler) error {
	if err := s.add(ctx, a, h); err != nil {
		return err
	}
	last := len(s.servers) - 1
	s.servers[last].ConnContext = pscaller.WithConn
	l, wait := pslinger.NewListener(s.listeners[last])
	s.listeners[last] = l
	s.awaitLingering = append(s.awaitLingering, wait)
	return nil
}

func (s *httpServers) add(ctx context.Context, a netip.AddrPort, h http.Handler) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", a.String())
	if err != nil {
		return errors.Wrapf(err, "listen at %s", a)
	}
	s.listeners = append(s.listeners, l)
	s.servers = append(s.servers, &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	})
	return nil
}

// serve starts all servers. The returned channel receives the error of each server that fails.
func (s *httpServers) serve() <-chan error {
	failed := make(chan error, len(s.servers))
	for i, v := range s.servers {
		go func() {
			if err := v.Serve(s.listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		}()
	}
	return failed
}

// shutdown drains the servers until the context ends, the callers' server first: it waits for running requests,
// and then for lingering connections.
func (s *httpServers) shutdown(ctx context.Context) {
	for i := len(s.servers) - 1; i >= 0; i-- {
		if err := s.servers[i].Shutdown(ctx); err != nil {
			_ = s.servers[i].Close()
		}
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for _, wait := range s.awaitLingering {
			wait()
		}
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// close aborts all requests and connections.
func (s *httpServers) close() {
	for _, v := range s.servers {
		_ = v.Close()
	}
}

// state returns the current state of the VM for operators.
func (v *vm) state() psstate.State {
	return psstate.Capture(psstate.Source{
		Settings: v.settings, Snapshot: v.controller.Snapshot(), Estimates: v.proxy.Estimates(), RoundTrips: v.proxy.RoundTrips(), Demands: v.proxy.Demands(),
		Tokens: v.tokens,
		Ready:  v.controller.Ready(), InFlight: v.proxy.InFlight(),
	}, time.Now())
}

// serveReady responds to the readiness check: 200 if the VM accepts callers' requests, 503 otherwise.
func (v *vm) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !v.controller.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveDirectory serves the addresses of the VMs that the caller should use.
func (v *vm) serveDirectory(w http.ResponseWriter, r *http.Request) {
	list := directoryAddresses(v.controller.Snapshot().VMs, platform.ReadDirectoryQuery(r))
	body, err := platform.EncodeDirectory(list, directoryTTL)
	if err != nil || len(list) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
