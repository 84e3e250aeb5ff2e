// Package pssteer runs one VM on the users' platform.
package pssteer

import (
	"context"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"

	"persimmonstep/internal/connection/psbelief"
	"persimmonstep/internal/connection/psprobe"
	"persimmonstep/internal/connection/psproxy"
	"persimmonstep/internal/connection/psreport"
	"persimmonstep/internal/connection/pstransport"
	"persimmonstep/internal/process/pscontrol"
	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/pslog"
	"persimmonstep/internal/process/psmetric"
	"persimmonstep/internal/process/psnode"
	"persimmonstep/internal/process/pstoken"
	"persimmonstep/internal/process/pswait"
	"persimmonstep/platform"
)

const (
	// storeConnectTimeout bounds a connection's set-up to the store.
	storeConnectTimeout = 300 * time.Millisecond
	// leftOutInterval is the time between log lines on what was left out.
	droppedLinesInterval = 5 * time.Second
	// servePart is the part of the grace time in which a leaving VM takes new connections.
	serveFraction = 0.5
	// drainPart is the part of the grace time after which a leaving VM ends whatever runs.
	drainFraction = 0.95
)

// Options are what a VM needs to run.
type Options struct {
	// SettingsPath is the settings file that the machine provides.
	SettingsPath string
	// Output takes the log.
	Output io.Writer
	// Reload tells that the settings file has changed.
	Reload <-chan os.Signal
	// Kill ends the VM at once when it is closed, as a crash would.
	Kill <-chan struct{}
	// Network is how the VM reaches others; the zero value is the machine's own network.
	Network Network
}

// Network is how a VM reaches others. Emulators put networks with faults in its place.
type Network struct {
	// Source is the address that connections to backend servers come from, if it is valid.
	Source netip.Addr
	// Listen opens the socket for reports of other VMs, unless it is nil.
	Listen func(ctx context.Context, at netip.AddrPort) (psreport.Socket, error)
	// Dial connects to another VM, unless it is nil.
	Dial psbelief.Dial
}

// Run serves until the context ends, and then leaves gracefully.
func Run(ctx context.Context, o Options) error {
	settings, err := platform.ReadSettings(o.SettingsPath)
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

// vm is one VM.
type vm struct {
	settings   *psnode.Settings
	logger     hclog.Logger
	proxy      *psproxy.Proxy
	tokens     *pstoken.Tokens
	controller *pscontrol.Controller
	link       *psreport.Link
	servers    *httpServers
	cleanUps   []func()
}

func (v *vm) clean() {
	for i := len(v.cleanUps) - 1; i >= 0; i-- {
		v.cleanUps[i]()
	}
}

// newVM builds the parts of a VM and opens its listeners.
func newVM(ctx context.Context, s *psnode.Settings, n Network, l hclog.Logger) (*vm, error) {
	v := &vm{settings: s, logger: l}
	i := do.New()
	do.ProvideValue(i, s)
	do.ProvideValue(i, n)
	do.ProvideValue(i, l)
	do.ProvideValue(i, prometheus.NewRegistry())
	provide(ctx, i, v)
	var err error
	if v.link, err = do.Invoke[*psreport.Link](i); err != nil {
		v.clean()
		return nil, err
	}
	v.proxy = do.MustInvoke[*psproxy.Proxy](i)
	v.tokens = do.MustInvoke[*pstoken.Tokens](i)
	v.controller = do.MustInvoke[*pscontrol.Controller](i)
	v.proxy.SetControlPlane(v.controller)
	do.MustInvoke[*prometheus.Registry](i).MustRegister(psmetric.New(v.controller, time.Now))
	if v.servers, err = listen(ctx, v, do.MustInvoke[*prometheus.Registry](i)); err != nil {
		v.clean()
		return nil, err
	}
	return v, nil
}

func provide(ctx context.Context, i do.Injector, v *vm) {
	do.Provide(i, func(i do.Injector) (*psreport.Link, error) {
		s := do.MustInvoke[*psnode.Settings](i)
		open := do.MustInvoke[Network](i).Listen
		if open == nil {
			open = psreport.Listen
		}
		socket, err := open(ctx, peerAddress(s))
		if err != nil {
			return nil, err
		}
		link, clean := psreport.New(socket)
		v.cleanUps = append(v.cleanUps, clean)
		return link, nil
	})
	do.Provide(i, func(i do.Injector) (*pstransport.Transports, error) {
		t, clean := pstransport.New()
		t.Source = do.MustInvoke[Network](i).Source
		v.cleanUps = append(v.cleanUps, clean)
		return t, nil
	})
	do.Provide(i, func(i do.Injector) (*pstoken.Tokens, error) {
		return pstoken.New(do.MustInvoke[*psnode.Settings](i).Name, do.MustInvoke[*psreport.Link](i), time.Now), nil
	})
	do.Provide(i, func(i do.Injector) (*psproxy.Proxy, error) {
		return psproxy.New(psproxy.Options{
			Settings: do.MustInvoke[*psnode.Settings](i), Transports: do.MustInvoke[*pstransport.Transports](i), Logger: do.MustInvoke[hclog.Logger](i),
			Tokens:  do.MustInvoke[*pstoken.Tokens](i),
			Metrics: psproxy.NewMetrics(do.MustInvoke[*prometheus.Registry](i)), Now: time.Now,
		}), nil
	})
	do.Provide(i, func(i do.Injector) (*pscontrol.Controller, error) {
		s := do.MustInvoke[*psnode.Settings](i)
		store, clean := platform.NewStore(s.Store.Address, storeConnectTimeout)
		v.cleanUps = append(v.cleanUps, clean)
		asks, clean := psbelief.NewClient(do.MustInvoke[Network](i).Dial)
		v.cleanUps = append(v.cleanUps, clean)
		return pscontrol.New(pscontrol.Options{
			Settings: s, Identity: identity(s), Store: store, Logger: do.MustInvoke[hclog.Logger](i), Now: time.Now,
			Fetcher: stateFetcher{asks},
			Prober:  psprobe.New(do.MustInvoke[*pstransport.Transports](i)),
			Peers:   do.MustInvoke[*psreport.Link](i), Demands: do.MustInvoke[*pstoken.Tokens](i), Crashes: do.MustInvoke[*psproxy.Proxy](i),
		}), nil
	})
}

func peerAddress(s *psnode.Settings) netip.AddrPort {
	return netip.AddrPortFrom(s.Callers.Addr(), s.PeerPorts[0])
}

// operatorsAddress is where the VM serves its metrics and its state.
func operatorAddress(s *psnode.Settings) netip.AddrPort {
	return netip.AddrPortFrom(s.Callers.Addr(), s.PeerPorts[0]+1)
}

func identity(s *psnode.Settings) psfleet.Identity {
	return psfleet.Identity{
		VM: s.Name, FailureDomain: s.FailureDomain, Region: s.Region, CallerAddress: s.Callers,
		PeerAddress: peerAddress(s), Link: s.Link, Incarnation: time.Now().UnixMilli(),
	}
}

// run serves until the context ends and then leaves.
func (v *vm) run(ctx context.Context, o Options, w *pslog.Writer) error {
	s := v.settings
	psevent.VMStarted.Log(v.logger, s.Name, s.FailureDomain, s.Region, s.Callers.String(), s.Store.Address.String())
	// The control goes on while the VM leaves, so that it keeps what it promised.
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

// leave serves what still comes for a while and lets everything end that runs.
func (v *vm) shutDown(failed <-chan error, kill <-chan struct{}) {
	begun := time.Now()
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
	psevent.VMStopped.Log(v.logger, v.settings.Name, v.proxy.InFlight(), time.Since(begun).String())
}

// believers asks VMs at their peer addresses.
type stateFetcher struct {
	client *psbelief.Client
}

// Fetch returns what a VM believes.
func (b stateFetcher) Fetch(ctx context.Context, vm psfleet.Identity, known string) (psfleet.StateResponse, error) {
	return b.client.Ask(ctx, vm.PeerAddress, known)
}

// FetchOrders returns what a VM believes, without the servers.
func (b stateFetcher) FetchOrders(ctx context.Context, vm psfleet.Identity) (psfleet.ControlState, error) {
	return b.client.AskOrders(ctx, vm.PeerAddress)
}

// receive passes on what the other VMs say.
func (v *vm) receive() {
	if err := v.link.Receive(messageHandler{v}); err != nil {
		psevent.MessageUnreadable.Log(v.logger, "", err.Error())
	}
}

// handler takes what the other VMs say.
type messageHandler struct {
	vm *vm
}

// Heard takes a report.
func (h messageHandler) Heard(r *psfleet.Report) { h.vm.controller.ReceiveReport(r) }

// Noticed takes a notice.
func (h messageHandler) Noticed(n *psfleet.Notice) { h.vm.controller.ReceiveNotice(n) }

// Digested takes a digest.
func (h messageHandler) Digested(d *psfleet.Digest) { h.vm.controller.ReceiveDigest(d) }

// Lend answers a question for a token.
func (h messageHandler) Lend(t psfleet.TokenRequest) psfleet.TokenResponse {
	return h.vm.tokens.Grant(h.vm.controller.Snapshot(), t)
}

// Unread logs a datagram that can't be read.
func (h messageHandler) Unread(from netip.AddrPort, err error) {
	psevent.MessageUnreadable.Log(h.vm.logger, from.String(), err.Error())
}

func (v *vm) logDroppedLines(ctx context.Context, w *pslog.Writer) {
	for pswait.Sleep(ctx, droppedLinesInterval) {
		v.proxy.LogDroppedLines(w.Dropped())
	}
}
