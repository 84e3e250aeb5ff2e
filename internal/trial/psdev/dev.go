// Package psdev runs the whole system in one process, for development, tests and experiments.
//
// It starts stand-ins of the platform and of backend servers and the VMs on loopback addresses, and writes a
// configuration to the store as the operator does. A ready file lists all addresses. Faults can be injected: VMs are
// killed, and the network between VMs and the access to the store are partitioned.
package psdev

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/process/pswait"
	"persimmonstep/internal/trial/psbackend"
	"persimmonstep/internal/trial/psnetwork"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/platform"
	"persimmonstep/platform/psstandin"
)

const (
	// readyTimeout bounds the time until every VM is ready.
	readyTimeout = 20 * time.Second
	readyPoll    = 20 * time.Millisecond
	// readyCallTimeout bounds one readiness check of a VM.
	readyCallTimeout = time.Second
)

// Ready is the content of the ready file.
type Ready struct {
	VMs []ReadyVM `json:"vms"`
	// Store is the address of the platform stand-in.
	Store      netip.AddrPort   `json:"store"`
	Host       string           `json:"host"`
	Workspaces []ReadyWorkspace `json:"workspaces"`
	Servers    []ReadyServer    `json:"servers"`
}

// ReadyVM describes a VM and its addresses.
type ReadyVM struct {
	Name          string         `json:"name"`
	FailureDomain string         `json:"failureDomain"`
	Region        string         `json:"region"`
	Callers       netip.AddrPort `json:"callers"`
	Directory     netip.AddrPort `json:"directory"`
	// Operators is the address at which it serves its metrics and its state.
	Operators netip.AddrPort `json:"operators"`
	Ready     netip.AddrPort `json:"ready"`
}

// ReadyWorkspace describes a workspace, with a valid key and its request rate per second.
type ReadyWorkspace struct {
	Name  string  `json:"name"`
	Key   string  `json:"key"`
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
}

// ReadyServer describes a backend server stand-in.
type ReadyServer struct {
	ID            string         `json:"id"`
	Service       string         `json:"service"`
	FailureDomain string         `json:"failureDomain"`
	Address       netip.AddrPort `json:"address"`
}

// System is a running system.
type System struct {
	// Ready is the content of the ready file.
	Ready Ready
	// Store is the platform stand-in. StoreEndpoints holds its endpoint for each region.
	Store          *psstandin.Store
	StoreEndpoints map[string]*psstandin.Endpoint
	// Network is the emulated network between VMs.
	Network *psnetwork.Network
	// Servers are the backend server stand-ins.
	Servers []*psbackend.Server

	topology  Topology
	logOutput func(vm string) io.Writer
	directory string
	vms       []*vm
	cleanUps  []func()

	mutex         sync.Mutex
	configuration psconfig.Configuration
	keys          map[string][]string
	sequence      int64
}

// New starts a system and returns it with its clean-up function. Each VM logs to the writer that log returns for its
// name.
func New(ctx context.Context, t Topology, log func(vm string) io.Writer) (*System, func(), error) {
	s := &System{topology: t, logOutput: log, Network: &psnetwork.Network{}, keys: make(map[string][]string)}
	steps := []func(context.Context) error{s.makeDirectory, s.startStore, s.startServers, s.configure, s.startVMs, s.waitAllReady}
	for _, f := range steps {
		if err := f(ctx); err != nil {
			s.close()
			return nil, nil, err
		}
	}
	return s, s.close, nil
}

// close kills all VMs concurrently, and then stops the components that they use, in reverse order of their start.
func (s *System) close() {
	var stopping sync.WaitGroup
	for i := range s.vms {
		stopping.Go(func() { s.Kill(i) })
	}
	stopping.Wait()
	for _, f := range slices.Backward(s.cleanUps) {
		f()
	}
}

// makeDirectory creates a directory for the settings files of the VMs.
func (s *System) makeDirectory(context.Context) error {
	d, err := os.MkdirTemp("", "persimmonstep-dev-")
	s.directory = d
	s.cleanUps = append(s.cleanUps, func() { _ = os.RemoveAll(d) })
	return errors.Wrap(err, "create settings directory")
}

func (s *System) startStore(ctx context.Context) error {
	store, clean := psstandin.NewStore()
	s.cleanUps = append(s.cleanUps, clean)
	s.Store, s.Ready.Store = store, store.Address()
	s.StoreEndpoints = make(map[string]*psstandin.Endpoint)
	for _, d := range s.topology.Domains {
		if s.StoreEndpoints[d.Region] != nil {
			continue
		}
		endpoint, clean, err := store.Listen(ctx, loopback())
		if err != nil {
			return err
		}
		s.cleanUps = append(s.cleanUps, clean)
		s.StoreEndpoints[d.Region] = endpoint
	}
	return nil
}

func (s *System) startServers(ctx context.Context) error {
	for i, v := range s.topology.Servers {
		address, err := processAddresses.serverAddress()
		if err != nil {
			return err
		}
		b, clean, err := psbackend.New(ctx, v.ID, address)
		if err != nil {
			return err
		}
		b.Set(v.Behaviour)
		s.cleanUps = append(s.cleanUps, clean)
		s.Servers = append(s.Servers, b)
		s.Ready.Servers = append(s.Ready.Servers, ReadyServer{ID: v.ID, Service: v.Service, FailureDomain: v.Domain.Name, Address: address})
		s.Register(i, psserver.Ready)
	}
	return nil
}

// Register writes the entry of the server with an index to the store, as the server does.
func (s *System) Register(index int, state psserver.State) {
	s.mutex.Lock()
	s.sequence++
	sequence := s.sequence
	s.mutex.Unlock()
	v := s.topology.Servers[index]
	s.Store.Register(psserver.Entry{
		ID: v.ID, Incarnation: time.UnixMilli(1), Service: v.Service, Address: s.Servers[index].Address,
		FailureDomain: v.Domain.Name, Slots: v.Behaviour.Slots, State: state, Sequence: sequence,
	})
}

// configure writes the first configuration to the store, with a key for each workspace.
func (s *System) configure(context.Context) error {
	s.configuration = s.topology.Configuration
	for _, w := range s.configuration.Workspaces {
		key := "key-of-" + w.Name
		s.keys[w.Name] = []string{key}
		s.Ready.Workspaces = append(s.Ready.Workspaces, ReadyWorkspace{Name: w.Name, Key: key, Rate: w.Rate, Burst: w.Burst})
	}
	if len(s.configuration.Routes) > 0 {
		s.Ready.Host = s.configuration.Routes[0].Host
	}
	s.writeConfiguration()
	return nil
}

// RewriteConfiguration writes the current configuration to the store again, with the same version.
func (s *System) RewriteConfiguration() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.Store.Configure(&s.configuration, s.keys)
}

// RevokeKeys revokes the keys of a workspace and writes the next version of the configuration.
func (s *System) RevokeKeys(workspace string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.keys[workspace] = nil
	s.writeConfiguration()
}

// writeConfiguration writes the next version of the configuration to the store. The caller must hold the mutex, unless
// the system is still being started.
func (s *System) writeConfiguration() {
	s.configuration.Version++
	s.Store.Configure(&s.configuration, s.keys)
}

func (s *System) startVMs(context.Context) error {
	for _, v := range s.topology.VMs {
		at, err := processAddresses.vmAddress()
		if err != nil {
			return err
		}
		n := &vm{name: v.Name, address: at, settings: filepath.Join(s.directory, v.Name+".yaml")}
		text := psstandin.Settings(psstandin.VM{
			Name: v.Name, FailureDomain: v.Domain.Name, Region: v.Domain.Region, Regions: s.topology.regions(), Address: at,
			Store: s.StoreEndpoints[v.Domain.Region].Address, Grace: s.topology.Grace,
		})
		if err := os.WriteFile(n.settings, text, 0o600); err != nil {
			return errors.Wrap(err, "write VM settings")
		}
		s.vms = append(s.vms, n)
		s.Ready.VMs = append(s.Ready.VMs, ReadyVM{
			Name: v.Name, FailureDomain: v.Domain.Name, Region: v.Domain.Region,
			Callers: n.at(psstandin.CallerPort), Directory: n.at(psstandin.DirectoryPort),
			Operators: n.at(psstandin.OperatorPort), Ready: n.at(psstandin.ReadyPort),
		})
		s.Start(len(s.vms) - 1)
	}
	return nil
}

// waitAllReady waits until every VM is ready.
func (s *System) waitAllReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i := range s.vms {
		if err := s.WaitReady(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// WaitReady waits until the VM with an index is ready.
func (s *System) WaitReady(ctx context.Context, index int) error {
	for !isReady(ctx, s.Ready.VMs[index].Ready) {
		select {
		case err := <-s.vms[index].failures():
			return errors.Wrapf(err, "run VM %s", s.Ready.VMs[index].Name)
		default:
		}
		if !pswait.Sleep(ctx, readyPoll) {
			return errors.Errorf("wait for VM %s: not ready in time", s.Ready.VMs[index].Name)
		}
	}
	return nil
}

// isReady checks whether a VM takes callers.
func isReady(ctx context.Context, at netip.AddrPort) bool {
	ctx, stop := context.WithTimeout(ctx, readyCallTimeout)
	defer stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s", at, platform.PathReady), nil)
	if err != nil {
		return false
	}
	r.Close = true
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// WriteReady writes the ready file atomically, so that its readers never see a part of it.
func (s *System) WriteReady(path string) error {
	data, err := json.MarshalIndent(s.Ready, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode ready file")
	}
	temporary := path + ".part"
	if err := os.WriteFile(temporary, append(data, '\n'), 0o600); err != nil {
		return errors.Wrap(err, "write ready file")
	}
	return errors.Wrap(os.Rename(temporary, path), "write ready file")
}
