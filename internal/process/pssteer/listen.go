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

	"persimmonstep/internal/connection/psbudget"
	"persimmonstep/internal/connection/psforward"
	"persimmonstep/internal/connection/pslistener"
	"persimmonstep/internal/connection/pspeerstate"
	"persimmonstep/internal/connection/psserve"
	"persimmonstep/internal/process/psadmin"
	"persimmonstep/internal/process/psstate"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/platform"
)

const (
	// ownHeaderBytes, ownHeaderTimeout and ownIdleTimeout bound the header of a request, in bytes, the time to read it and
	// the time that a connection is idle, at the addresses for the readiness check, other VMs and operators.
	ownHeaderBytes   = 8 << 10
	ownHeaderTimeout = 5 * time.Second
	ownIdleTimeout   = 60 * time.Second
	// peerConnections bounds the connections of other VMs that fetch the control state, and ownConnections those at each of
	// the addresses for the readiness check and operators. Together they stay within the descriptors that
	// [psbudget.PlanFor] leaves to them. At most the VMs of one failure domain fetch the state at the same time.
	peerConnections = 128
	ownConnections  = 32
	// otherFraction is the fraction of the connections that is set apart for the directory, and again for forwarded
	// requests. minConnections is the least number for a listener.
	otherFraction  = 0.125
	minConnections = 8
	// forwardedHeaderBytes is how much longer the header of a forwarded request may be than that of a caller, in bytes.
	forwardedHeaderBytes = 4 << 10
	// directoryTTL is how long callers may cache a directory response.
	directoryTTL = 2 * time.Second
)

// server serves HTTP on a listener.
type server interface {
	Serve(l net.Listener) error
	Shutdown(ctx context.Context) error
	Close() error
}

// httpServers are the HTTP servers of a VM, each with its own listener. The last one serves callers.
type httpServers struct {
	servers   []server
	listeners []net.Listener
}

// listen opens the listeners of a VM. The VM's own handlers share a listener if they have the same address.
func listen(ctx context.Context, v *vm, r *prometheus.Registry, b *psbudget.Budget) (*httpServers, error) {
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
	connections, metrics := v.plan().CallerConnections, psserve.NewMetrics(r, b)
	others := max(minConnections, int(otherFraction*float64(connections)))
	guarded := func(name string, h http.Handler, n int, limits func() psconfig.Limits) server {
		return psserve.New(psserve.Options{
			Name: name, Handler: h, Budget: b, MaxConnections: max(minConnections, n), Limits: limits, Metrics: metrics, Logger: v.logger,
		})
	}
	for a, m := range handlers {
		var h server
		switch a {
		case v.settings.Directory:
			h = guarded("directory", m, others, v.limits)
		case peerAddress(v.settings):
			h = guarded("peers", m, peerConnections, ownLimits)
		default:
			h = guarded("own", m, ownConnections, ownLimits)
		}
		if err := s.add(ctx, a, h); err != nil {
			return nil, err
		}
	}
	forwarded := guarded("forwarded", v.proxy.ForwardedHandler(), others, v.forwardedLimits)
	if err := s.add(ctx, psforward.Address(peerAddress(v.settings)), forwarded); err != nil {
		return nil, err
	}
	if err := s.add(ctx, v.settings.Callers, guarded("callers", v.proxy, connections-2*others, v.limits)); err != nil {
		return nil, err
	}
	return s, nil
}

// ownLimits returns the limits at the addresses for the readiness check, other VMs and operators.
func ownLimits() psconfig.Limits {
	return psconfig.Limits{MaxHeaderBytes: ownHeaderBytes, HeaderTimeout: ownHeaderTimeout, IdleTimeout: ownIdleTimeout}
}

// limits returns the limits of the configuration in force.
func (v *vm) limits() psconfig.Limits {
	if index := v.controller.Snapshot().Index; index != nil {
		return index.Configuration.Limits
	}
	return psconfig.Limits{}
}

// forwardedLimits returns the limits for requests that other VMs forward, with the headers that these add.
func (v *vm) forwardedLimits() psconfig.Limits {
	l := v.limits().OrDefaults()
	l.MaxHeaderBytes += forwardedHeaderBytes
	return l
}

func (s *httpServers) add(ctx context.Context, a netip.AddrPort, h server) error {
	l, err := pslistener.Listen(ctx, a)
	if err != nil {
		return err
	}
	s.listeners = append(s.listeners, l)
	s.servers = append(s.servers, h)
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

// shutdown drains the servers until the context ends, the callers' server first.
func (s *httpServers) shutdown(ctx context.Context) {
	for i := len(s.servers) - 1; i >= 0; i-- {
		if err := s.servers[i].Shutdown(ctx); err != nil {
			_ = s.servers[i].Close()
		}
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
		Usage: v.proxy.Usage(), Tokens: v.tokens,
		Ready: v.controller.Ready(), InFlight: v.proxy.InFlight(),
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
