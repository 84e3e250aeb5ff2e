// Package psdev runs the whole system in one process.
//
// It starts the platform stand-in, backend server stand-ins and four VMs in two regions on
// loopback, applies the example configuration, and writes a ready file that says where
// everything is. It is meant for trying things out and for tests.
package psdev

import (
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"persimmonstep/internal/connection/pstls"
	"persimmonstep/internal/process/psbackend"
	"persimmonstep/internal/process/psplatform"
	"persimmonstep/internal/process/pssettings"
	"persimmonstep/internal/process/psstandin"
	"persimmonstep/internal/process/psvm"
	"persimmonstep/internal/request/pskey"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psversion"
)

const (
	// readyTimeout bounds the wait until every VM has the configuration in force.
	readyTimeout = 20 * time.Second
	readyPoll    = 10 * time.Millisecond
	stopTimeout  = 30 * time.Second
)

// Ready is the content of the ready file.
type Ready struct {
	Callers           []netip.AddrPort `json:"callers"`
	Operators         []netip.AddrPort `json:"operators"`
	Platform          netip.AddrPort   `json:"platform"`
	OperatorTokenFile string           `json:"operatorTokenFile"`
	Workspaces        []ReadyWorkspace `json:"workspaces"`
	Servers           []ReadyServer    `json:"servers"`
}

// ReadyWorkspace is a workspace with a key that works.
type ReadyWorkspace struct {
	Name  psdoc.Name `json:"name"`
	Key   string     `json:"key"`
	KeyID psdoc.Name `json:"keyId"`
	Rate  float64    `json:"rate"`
	Burst float64    `json:"burst"`
}

// ReadyServer is a backend server stand-in.
type ReadyServer struct {
	Name          psdoc.Name     `json:"name"`
	Address       netip.AddrPort `json:"address"`
	FailureDomain psdoc.Name     `json:"failureDomain"`
}

// System is a running system.
type System struct {
	// Ready says where everything is.
	Ready Ready
	// Platform is the platform stand-in as the operators reach it.
	Platform *psstandin.Server
	// Platforms holds the platform stand-in of each region, all with the same store.
	Platforms map[psdoc.Name]*psstandin.Server
	// Peers cuts the links between VMs.
	Peers *Links
	// Servers are the backend server stand-ins.
	Servers []*psbackend.Server
	// VMs are the entry VMs.
	VMs []*psvm.VM

	logger   hclog.Logger
	topology Topology
	nodes    []node
	// authority signs the certificates of the links between VMs.
	authority *pstls.Authority
	cleanups  []func()
	stops     []func()
	kills     []func()
}

// node is a VM that is yet to be started.
type node struct {
	settings  *pssettings.Settings
	listeners psvm.Listeners
}

// New starts a system and returns it with its clean-up function.
func New(ctx context.Context, t Topology, l hclog.Logger) (*System, func(), error) {
	s := &System{logger: l, topology: t, Peers: newLinks()}
	steps := []func(context.Context) error{s.makeToken, s.startPlatform, s.startServers, s.openVMs, s.apply, s.startVMs, s.await}
	for _, f := range steps {
		if err := f(ctx); err != nil {
			s.close()
			return nil, nil, err
		}
	}
	return s, s.close, nil
}

// close stops the VMs together and then what they use.
func (s *System) close() {
	var stopping sync.WaitGroup
	for _, f := range s.stops {
		stopping.Go(f)
	}
	stopping.Wait()
	for _, f := range slices.Backward(s.cleanups) {
		f()
	}
}

// Stop shuts the VM of a position down gracefully.
func (s *System) Stop(vm int) {
	s.stops[vm]()
}

// Kill ends the VM of a position as a crash would.
func (s *System) Kill(vm int) {
	s.kills[vm]()
}

// Apply makes the next configuration version of the running system.
func (s *System) Apply(ctx context.Context, operation string, put map[string]string) error {
	client, clean := psplatform.NewClient(s.Ready.Platform)
	defer clean()
	store := &psversion.Store{Platform: client, Now: time.Now}
	_, err := store.Apply(ctx, psversion.Change{OperationID: operation, Author: "dev", Put: put})
	return errors.Wrap(err, "apply documents")
}

func (s *System) makeToken(context.Context) error {
	directory, err := os.MkdirTemp("", "persimmonstep-dev-")
	if err != nil {
		return errors.Wrap(err, "make a directory for the operators' token")
	}
	s.cleanups = append(s.cleanups, func() { _ = os.RemoveAll(directory) })
	s.Ready.OperatorTokenFile = filepath.Join(directory, "operator.token")
	token := pskey.New().Secret
	return errors.Wrap(os.WriteFile(s.Ready.OperatorTokenFile, []byte(token+"\n"), 0o600), "write the operators' token")
}

// loopback is an address whose port the system chooses.
func loopback() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
}

func (s *System) startPlatform(ctx context.Context) error {
	p, clean, err := psstandin.NewServer(ctx, loopback())
	if err != nil {
		return err
	}
	s.Platform, s.Ready.Platform = p, p.Address
	s.cleanups = append(s.cleanups, clean)
	s.Platforms = make(map[psdoc.Name]*psstandin.Server)
	for _, r := range s.topology.Regions {
		if !s.topology.RegionalPlatforms {
			s.Platforms[r.Name] = p
			continue
		}
		other, clean, err := psstandin.Serve(ctx, loopback(), p.Store)
		if err != nil {
			return err
		}
		s.Platforms[r.Name] = other
		s.cleanups = append(s.cleanups, clean)
	}
	return nil
}

func (s *System) startServers(ctx context.Context) error {
	for _, v := range s.topology.Servers {
		b, clean, err := startServer(ctx, v.Name)
		if err != nil {
			return err
		}
		s.cleanups = append(s.cleanups, clean)
		s.Servers = append(s.Servers, b)
		s.Ready.Servers = append(s.Ready.Servers, ReadyServer{Name: v.Name, Address: b.Address, FailureDomain: v.Domain})
	}
	return nil
}

func (s *System) openVMs(ctx context.Context) error {
	for _, v := range s.topology.VMs {
		settings := &pssettings.Settings{
			Name: v.Name, Region: v.Region, FailureDomain: v.Domain,
			Platform: s.Platforms[v.Region].Address, TokenFile: s.Ready.OperatorTokenFile,
		}
		l, err := listenAnywhere(ctx, settings)
		if err != nil {
			return err
		}
		l.Peer = s.Peers.wrap(v.Name, l.Peer)
		s.nodes = append(s.nodes, node{settings: settings, listeners: l})
		s.Ready.Callers = append(s.Ready.Callers, settings.Callers)
		s.Ready.Operators = append(s.Ready.Operators, settings.Operator)
	}
	return nil
}

// maxListens bounds the tries to find free ports.
const maxListens = 100

// startServer starts a backend server stand-in on a free port.
func startServer(ctx context.Context, name psdoc.Name) (b *psbackend.Server, clean func(), err error) {
	for range maxListens {
		address, failed := own.take()
		if failed != nil {
			return nil, nil, failed
		}
		if b, clean, err = psbackend.New(ctx, name, address); err == nil {
			return b, clean, nil
		}
	}
	return nil, nil, err
}

// listenAnywhere opens the sockets of a VM on free ports and enters them into its settings.
func listenAnywhere(ctx context.Context, s *pssettings.Settings) (psvm.Listeners, error) {
	var l psvm.Listeners
	var err error
	for range maxListens {
		for _, address := range []*netip.AddrPort{&s.Callers, &s.Peer, &s.Operator} {
			if *address, err = own.take(); err != nil {
				return psvm.Listeners{}, err
			}
		}
		if l, err = psvm.Listen(ctx, s); err == nil {
			return l, nil
		}
	}
	return psvm.Listeners{}, err
}

// apply makes the example configuration the first version.
func (s *System) apply(ctx context.Context) error {
	for _, w := range s.topology.Workspaces {
		k := pskey.New()
		s.Ready.Workspaces = append(s.Ready.Workspaces, ReadyWorkspace{Name: w.Name, Key: k.String(), KeyID: k.ID, Rate: w.Rate, Burst: w.Burst})
	}
	documents, err := s.documents()
	if err != nil {
		return err
	}
	return s.Apply(ctx, "dev", documents)
}

func (s *System) startVMs(ctx context.Context) error {
	authority, err := pstls.NewAuthority()
	if err != nil {
		return err
	}
	s.authority = authority
	s.VMs = make([]*psvm.VM, len(s.nodes))
	s.stops = make([]func(), len(s.nodes))
	s.kills = make([]func(), len(s.nodes))
	for i := range s.nodes {
		s.stops[i], s.kills[i] = func() {}, func() {}
	}
	for i := range s.nodes {
		if err := s.startVM(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// startVM starts a process of the VM of a position on its open sockets.
func (s *System) startVM(ctx context.Context, vm int) error {
	n := s.nodes[vm]
	identity, err := s.authority.Issue(n.settings.Name)
	if err != nil {
		return err
	}
	v, stop, err := psvm.New(ctx, psvm.Options{
		PeerIdentity: pstls.Fixed{Value: identity},
		Settings:     n.settings, Listeners: n.listeners, Logger: s.logger.Named(string(n.settings.Name)),
		StopTimeout: stopTimeout, LeaveWait: s.topology.LeaveWait, Adjust: s.topology.Adjust,
	})
	if err != nil {
		return err
	}
	var once sync.Once
	s.VMs[vm] = v
	s.stops[vm] = func() { once.Do(stop) }
	s.kills[vm] = func() { once.Do(v.Kill) }
	return nil
}

// Start starts a new process of a VM that was stopped or killed, at the same addresses.
func (s *System) Start(ctx context.Context, vm int) error {
	n := &s.nodes[vm]
	l, err := psvm.Listen(ctx, n.settings)
	if err != nil {
		return err
	}
	l.Peer = s.Peers.wrap(n.settings.Name, l.Peer)
	n.listeners = l
	return s.startVM(ctx, vm)
}

// await waits until every VM has the configuration in force and uses its share of the budgets.
func (s *System) await(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, v := range s.VMs {
		for !v.Ready() || !v.Whole() {
			select {
			case <-ctx.Done():
				return errors.New("the VMs did not become ready")
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// WriteReady writes the ready file as a whole.
func (s *System) WriteReady(path string) error {
	data, err := json.MarshalIndent(s.Ready, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode the ready file")
	}
	temporary := path + ".part"
	if err := os.WriteFile(temporary, append(data, '\n'), 0o600); err != nil {
		return errors.Wrap(err, "write the ready file")
	}
	return errors.Wrap(os.Rename(temporary, path), "write the ready file")
}
