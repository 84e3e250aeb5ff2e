// Package pssteer runs the process of one VM: the proxy that serves callers, and the control plane that provides the
// state for its routing decisions.
//
// Shutdown is graceful. The VM first leaves the directory and continues to serve, because callers use cached directory
// responses until these expire. It then drains running requests and ends before the platform's grace period does.
package pssteer

import (
	"context"
	"io"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"

	"persimmonstep/internal/connection/psaccess"
	"persimmonstep/internal/connection/psbudget"
	"persimmonstep/internal/connection/psforward"
	"persimmonstep/internal/connection/pspeer"
	"persimmonstep/internal/connection/pspeerstate"
	"persimmonstep/internal/connection/psprobe"
	"persimmonstep/internal/connection/psproxy"
	"persimmonstep/internal/connection/pstransport"
	"persimmonstep/internal/process/pscontrol"
	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/pslink"
	"persimmonstep/internal/process/pslog"
	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/psmetric"
	"persimmonstep/internal/process/psnode"
	"persimmonstep/internal/process/pstoken"
	"persimmonstep/internal/process/pswait"
	"persimmonstep/internal/process/pswatch"
	"persimmonstep/platform"
	"persimmonstep/platform/pssettings"
)

const (
	// storeConnectTimeout bounds the time to connect to the store.
	storeConnectTimeout = 300 * time.Millisecond
	// droppedLinesInterval is the time between log lines that report dropped log lines.
	droppedLinesInterval = 5 * time.Second
	// serveFraction is the fraction of the grace period during which a VM that shuts down accepts new connections.
	serveFraction = 0.5
	// handOverFraction is the fraction of the grace period in which a VM that has drained leaves its part of the fleet's
	// limits to another one.
	handOverFraction = 0.03
	// drainFraction is the fraction of the grace period after which it aborts the requests that still run.
	drainFraction = 0.92
)

// Options configure the process of a VM.
type Options struct {
	// SettingsPath is the path of the settings file, which the machine provides.
	SettingsPath string
	// Output receives the log.
	Output io.Writer
	// Reload triggers a reload of the settings file.
	Reload <-chan os.Signal
	// Kill, when closed, ends the VM at once, like a crash.
	Kill <-chan struct{}
	// Network connects the VM to others; the zero value is the machine's own network.
	Network Network
}

// Network connects a VM to other VMs and backend servers. Emulations replace it by one that injects network faults.
type Network struct {
	// Source is the local address of connections to backend servers, unless it is the zero value.
	Source netip.Addr
	// Listen opens the socket for messages between VMs. If nil, a UDP socket is opened.
	Listen func(ctx context.Context, at netip.AddrPort) (pspeer.Socket, error)
	// Dial connects to another VM. If nil, the default dialer is used.
	Dial pspeerstate.Dial
	// DialServer connects to a backend server. If nil, the default dialer is used.
	DialServer pstransport.Dial
}

// Run serves until the context ends, and then shuts down gracefully.
func Run(ctx context.Context, o Options) error {
	settings, err := pssettings.Read(o.SettingsPath)
	if err != nil {
		return err
	}
	w, clean := pslog.New(o.Output)
	defer clean()
	v, err := newVM(ctx, settings, o.Network, hclog.New(&hclog.LoggerOptions{Name: "persimmonstep", Output: w, JSONFormat: true, Level: hclog.Info}))
	if err != nil {
		return err
	}
	defer v.clean()
	return v.run(ctx, o, w)
}

// vm holds the components of a running VM.
type vm struct {
	settings   *psnode.Settings
	logger     hclog.Logger
	proxy      *psproxy.Proxy
	tokens     *pstoken.Tokens
	controller *pscontrol.Controller
	endpoint   *pspeer.Endpoint
	servers    *httpServers
	cleanUps   []func()
}

func (v *vm) clean() {
	for i := len(v.cleanUps) - 1; i >= 0; i-- {
		v.cleanUps[i]()
	}
}

// newVM creates the components of a VM and opens its listeners.
func newVM(ctx context.Context, s *psnode.Settings, n Network, l hclog.Logger) (*vm, error) {
	v := &vm{settings: s, logger: l}
	i := do.New()
	do.ProvideValue(i, s)
	do.ProvideValue(i, n)
	do.ProvideValue(i, l)
	do.ProvideValue(i, prometheus.NewRegistry())
	plan := v.plan()
	if s.Memory > 0 {
		debug.SetMemoryLimit(plan.SoftMemoryLimit)
	}
	do.ProvideValue(i, psbudget.New(plan.HeldBytes, time.Now))
	provide(ctx, i, v)
	var err error
	if v.endpoint, err = do.Invoke[*pspeer.Endpoint](i); err != nil {
		v.clean()
		return nil, err
	}
	v.proxy = do.MustInvoke[*psproxy.Proxy](i)
	v.tokens = do.MustInvoke[*pstoken.Tokens](i)
	v.controller = do.MustInvoke[*pscontrol.Controller](i)
	v.proxy.SetControlPlane(v.controller)
	do.MustInvoke[*prometheus.Registry](i).MustRegister(psmetric.New(v.controller, time.Now))
	if v.servers, err = listen(ctx, v, do.MustInvoke[*prometheus.Registry](i), do.MustInvoke[*psbudget.Budget](i)); err != nil {
		v.clean()
		return nil, err
	}
	return v, nil
}

// plan returns how the VM divides its memory and descriptors.
func (v *vm) plan() psbudget.Plan {
	return psbudget.PlanFor(psbudget.Limits{Memory: v.settings.Memory, Descriptors: v.settings.Descriptors})
}

func provide(ctx context.Context, i do.Injector, v *vm) {
	do.Provide(i, func(i do.Injector) (*pspeer.Endpoint, error) {
		s := do.MustInvoke[*psnode.Settings](i)
		open := do.MustInvoke[Network](i).Listen
		if open == nil {
			open = pspeer.Listen
		}
		socket, err := open(ctx, peerAddress(s))
		if err != nil {
			return nil, err
		}
		endpoint, clean := pspeer.New(socket)
		v.cleanUps = append(v.cleanUps, clean)
		return endpoint, nil
	})
	do.Provide(i, func(i do.Injector) (*pstransport.Transport, error) {
		t, clean := pstransport.New()
		network := do.MustInvoke[Network](i)
		t.Source, t.Dial, t.MaxOpen = network.Source, network.DialServer, v.plan().ServerConnections
		psaccess.RegisterConnections(do.MustInvoke[*prometheus.Registry](i), t.Usage)
		v.cleanUps = append(v.cleanUps, clean)
		return t, nil
	})
	do.Provide(i, func(i do.Injector) (*pstoken.Tokens, error) {
		return pstoken.New(pstoken.Options{
			Self: do.MustInvoke[*psnode.Settings](i).Name, Client: do.MustInvoke[*pspeer.Endpoint](i),
			Logger: do.MustInvoke[hclog.Logger](i), Now: time.Now,
		}), nil
	})
	do.Provide(i, func(i do.Injector) (*pslink.Monitor, error) {
		return pslink.New(do.MustInvoke[*pstransport.Transport](i), do.MustInvoke[hclog.Logger](i), time.Now), nil
	})
	do.Provide(i, func(i do.Injector) (*psforward.Forwarder, error) {
		s, network := do.MustInvoke[*psnode.Settings](i), do.MustInvoke[Network](i)
		t, clean := pstransport.New()
		// The helper recognizes this VM by its address.
		t.Source, t.Dial, t.MaxOpen = s.Callers.Addr(), pstransport.Dial(network.Dial), v.plan().ForwardConnections
		v.cleanUps = append(v.cleanUps, clean)
		return &psforward.Forwarder{Self: s.Name, FailureDomain: s.FailureDomain, Region: s.Region, Transport: t}, nil
	})
	do.Provide(i, func(i do.Injector) (*psproxy.Proxy, error) {
		return psproxy.New(psproxy.Options{
			Settings: do.MustInvoke[*psnode.Settings](i), Transport: do.MustInvoke[*pstransport.Transport](i), Logger: do.MustInvoke[hclog.Logger](i),
			Tokens: do.MustInvoke[*pstoken.Tokens](i), Links: do.MustInvoke[*pslink.Monitor](i), Forwarder: do.MustInvoke[*psforward.Forwarder](i),
			Metrics: psaccess.NewMetrics(do.MustInvoke[*prometheus.Registry](i)), Now: time.Now,
		}), nil
	})
	do.Provide(i, func(i do.Injector) (*pscontrol.Controller, error) {
		s, p := do.MustInvoke[*psnode.Settings](i), do.MustInvoke[*psproxy.Proxy](i)
		store, clean := platform.NewStore(s.Store.Address, storeConnectTimeout)
		v.cleanUps = append(v.cleanUps, clean)
		client, clean := pspeerstate.NewClient(do.MustInvoke[Network](i).Dial)
		v.cleanUps = append(v.cleanUps, clean)
		return pscontrol.New(pscontrol.Options{
			Settings: s, Identity: identity(s), Store: store, Logger: do.MustInvoke[hclog.Logger](i), Now: time.Now, SinceBoot: sinceBoot,
			Fetcher: stateFetcher{client},
			Prober:  psprobe.New(do.MustInvoke[*pstransport.Transport](i)),
			Peers:   do.MustInvoke[*pspeer.Endpoint](i), Tokens: do.MustInvoke[*pstoken.Tokens](i), Crashes: p.Blocklist(), Usage: p.Usage(),
			Links: do.MustInvoke[*pslink.Monitor](i),
		}), nil
	})
}

func peerAddress(s *psnode.Settings) netip.AddrPort {
	return netip.AddrPortFrom(s.Callers.Addr(), s.PeerPorts[0])
}

// operatorAddress returns the address at which the VM serves its metrics and its state.
func operatorAddress(s *psnode.Settings) netip.AddrPort {
	return netip.AddrPortFrom(s.Callers.Addr(), s.PeerPorts[0]+1)
}

func identity(s *psnode.Settings) psmessage.Identity {
	return psmessage.Identity{
		VM: s.Name, FailureDomain: s.FailureDomain, Region: s.Region, CallerAddress: s.Callers,
		PeerAddress: peerAddress(s), Link: s.Link, Incarnation: time.Now().UnixMilli(), Features: psmessage.CurrentFeatures,
	}
}

// run serves until the context ends, and then shuts down gracefully. It also ends if a server fails, with its error,
// or if the VM is killed.
func (v *vm) run(ctx context.Context, o Options, w *pslog.Writer) error {
	s := v.settings
	psevent.VMStarted.Log(v.logger, s.Name, s.FailureDomain, s.Region, s.Callers.String(), s.Store.Address.String())
	p := v.plan()
	psevent.ResourcesDivided.Log(v.logger, s.Memory, s.Descriptors, p.HeldBytes, p.CallerConnections, p.ServerConnections, p.ForwardConnections, p.SoftMemoryLimit)
	warnOfBounds(s, v.logger)
	// The control plane keeps running during the shutdown, so that the requests that are served meanwhile
	// still meet the bounds of the fleet.
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go v.controller.Run(running)
	go v.receive()
	go v.watchSettings(running, o)
	go v.logDroppedLines(running, w)
	failed := v.servers.serve()
	select {
	case err := <-failed:
		return err
	case <-o.Kill:
		v.servers.close()
		return nil
	case <-ctx.Done():
	}
	v.shutDown(failed, o.Kill)
	return nil
}

// shutDown leaves the directory, serves for a fraction of the grace period and then drains the running requests.
func (v *vm) shutDown(failed <-chan error, kill <-chan struct{}) {
	startedAt := time.Now()
	psevent.VMStopping.Log(v.logger, v.settings.Name, v.proxy.InFlight())
	v.proxy.Drain()
	v.controller.Leave()
	grace := float64(v.settings.Bounds.Grace)
	select {
	case <-failed:
	case <-kill:
		v.servers.close()
		return
	case <-time.After(time.Duration(serveFraction * grace)):
	}
	ctx, stop := context.WithTimeout(context.Background(), time.Duration((drainFraction-serveFraction)*grace))
	defer stop()
	v.servers.shutdown(ctx)
	v.handOver(time.Duration(handOverFraction * grace))
	psevent.VMStopped.Log(v.logger, v.settings.Name, v.proxy.InFlight(), time.Since(startedAt).String())
}

// handOver leaves this VM's part of the fleet's limits to another VM, if one has none.
func (v *vm) handOver(timeout time.Duration) {
	ctx, stop := context.WithTimeout(context.Background(), timeout)
	defer stop()
	v.controller.HandOver(ctx)
}

// stateFetcher fetches the control state of other VMs from their peer addresses.
type stateFetcher struct {
	client *pspeerstate.Client
}

// Fetch returns the control state of a VM.
func (f stateFetcher) Fetch(ctx context.Context, vm psmessage.Identity, known string) (psmessage.StateResponse, error) {
	return f.client.Fetch(ctx, vm.PeerAddress, known)
}

// FetchDesiredState returns the control state of a VM without its servers.
func (f stateFetcher) FetchDesiredState(ctx context.Context, vm psmessage.Identity) (psmessage.ControlState, error) {
	return f.client.FetchDesiredState(ctx, vm.PeerAddress)
}

// receive handles the messages of other VMs until the endpoint is closed.
func (v *vm) receive() {
	if err := v.endpoint.Receive(messageHandler{v}); err != nil {
		psevent.MessageUnreadable.Log(v.logger, "", err.Error())
	}
}

// messageHandler handles the messages of other VMs.
type messageHandler struct {
	vm *vm
}

// HandleReport passes a report to the control plane.
func (h messageHandler) HandleReport(r *psmessage.Report) { h.vm.controller.ReceiveReport(r) }

// HandleNotice passes a notice to the control plane.
func (h messageHandler) HandleNotice(n *psmessage.Notice) { h.vm.controller.ReceiveNotice(n) }

// HandleDigest passes a digest to the control plane.
func (h messageHandler) HandleDigest(d *psmessage.Digest) { h.vm.controller.ReceiveDigest(d) }

// GrantToken responds to a token request.
func (h messageHandler) GrantToken(t psmessage.TokenRequest) psmessage.TokenResponse {
	return h.vm.tokens.Grant(h.vm.controller.Snapshot(), t)
}

// HandleInvalid logs a datagram that can't be decoded.
func (h messageHandler) HandleInvalid(from netip.AddrPort, err error) {
	psevent.MessageUnreadable.Log(h.vm.logger, from.String(), err.Error())
}

func (v *vm) logDroppedLines(ctx context.Context, w *pslog.Writer) {
	for pswait.Sleep(ctx, droppedLinesInterval) {
		v.proxy.LogDroppedLines(w.Dropped())
	}
}

// warnOfBounds logs the bounds of the deployment that a VM can't keep.
func warnOfBounds(s *psnode.Settings, l hclog.Logger) {
	for _, d := range pswatch.Delays(pswatch.Bounds{Contact: s.Bounds.Contact, Drain: s.Bounds.Drain, Heartbeat: s.HeartbeatInterval}) {
		if d.Exceeded() {
			psevent.BoundExceeded.Log(l, d.Way, d.Longest.String(), d.Bound.String())
		}
	}
}
