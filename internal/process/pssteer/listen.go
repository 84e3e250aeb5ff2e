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

	"persimmonstep/internal/connection/psbelief"
	"persimmonstep/internal/connection/pslinger"
	"persimmonstep/internal/connection/psproxy"
	"persimmonstep/internal/process/psadmin"
	"persimmonstep/internal/process/psstate"
	"persimmonstep/platform"
)

const (
	// maxHeaderBytes bounds a caller's header; the configuration's limit lies below it.
	maxHeaderBytes = 64 << 10
	// headerTimeout is how long a caller may take to send a header.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a caller's connection may be unused.
	idleTimeout = 120 * time.Second
	// directoryTTL is how long callers keep an answer of the directory.
	directoryTTL = 2 * time.Second
)

// servers are the listeners of a VM.
type httpServers struct {
	servers   []*http.Server
	listeners []net.Listener
	// wait waits until callers' last answers have arrived.
	awaitLingering func()
}

// listen opens all listeners.
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
	mux(peerAddress(v.settings)).HandleFunc(psbelief.Path, psbelief.Handler(v.controller))
	mux(peerAddress(v.settings)).HandleFunc(psbelief.PathOrders, psbelief.OrdersHandler(v.controller))
	mux(operatorAddress(v.settings)).Handle("/", psadmin.Handler(v.state, promhttp.HandlerFor(r, promhttp.HandlerOpts{})))
	for a, m := range handlers {
		if err := s.add(ctx, a, m); err != nil {
			return nil, err
		}
	}
	if err := s.add(ctx, v.settings.Callers, v.proxy); err != nil {
		return nil, err
	}
	s.servers[len(s.servers)-1].ConnContext = psproxy.WithConn
	callers := &s.listeners[len(s.listeners)-1]
	*callers, s.awaitLingering = pslinger.Listen(*callers)
	return s, nil
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

// serve serves all listeners. The channel gets the first failure.
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

// shutdown lets running requests end, callers' first, and their last answers arrive.
func (s *httpServers) shutdown(ctx context.Context) {
	for i := len(s.servers) - 1; i >= 0; i-- {
		if err := s.servers[i].Shutdown(ctx); err != nil {
			_ = s.servers[i].Close()
		}
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.awaitLingering()
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// close ends all requests and connections.
func (s *httpServers) close() {
	for _, v := range s.servers {
		_ = v.Close()
	}
}

// state returns what the VM believes now.
func (v *vm) state() psstate.State {
	return psstate.Capture(psstate.Source{
		Settings: v.settings, Snapshot: v.controller.Snapshot(), Estimates: v.proxy.Estimates(), RoundTrips: v.proxy.RoundTrips(),
		Ready: v.controller.Ready(), InFlight: v.proxy.InFlight(),
	}, time.Now())
}

// serveReady says whether the VM takes callers.
func (v *vm) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !v.controller.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveDirectory says which VMs a caller should use.
func (v *vm) serveDirectory(w http.ResponseWriter, r *http.Request) {
	list := directoryAddresses(v.controller.Snapshot().VMs, platform.ReadPlace(r))
	body, err := platform.EncodeDirectory(list, directoryTTL)
	if err != nil || len(list) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
