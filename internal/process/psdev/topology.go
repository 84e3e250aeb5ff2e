package psdev

import (
	"fmt"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
	"github.com/samber/lo"

	"persimmonstep/internal/request/psgate"
	"persimmonstep/internal/request/pskey"
	"persimmonstep/internal/version/psdoc"
)

// Topology is what a system consists of, before it has addresses.
type Topology struct {
	Regions    []psdoc.Region
	Domains    []psdoc.FailureDomain
	VMs        []TopologyVM
	Servers    []TopologyServer
	Workspaces []psdoc.Workspace
	Routes     []psdoc.Route
	Links      []psdoc.Link
	// ClientBlocks assigns callers to failure domains.
	ClientBlocks []psdoc.ClientBlock
	// RegionalPlatforms gives each region a platform stand-in with faults of its own.
	RegionalPlatforms bool
	// LeaveWait is how long a stopping VM goes on accepting callers.
	LeaveWait time.Duration
	// Adjust, unless nil, changes the request path of each VM.
	Adjust func(*psgate.Gate)
}

// TopologyVM is a VM without addresses.
type TopologyVM struct {
	Name   psdoc.Name
	Region psdoc.Name
	Domain psdoc.Name
}

// TopologyServer is a backend server without an address.
type TopologyServer struct {
	Name   psdoc.Name
	Domain psdoc.Name
	Pool   psdoc.Name
	Slots  int
}

// Example is the topology of the development system: two regions with two failure domains
// each, one VM in each domain, and three pools of backend servers.
func Example() Topology {
	t := Topology{Workspaces: exampleWorkspaces(), Routes: exampleRoutes()}
	for _, r := range []psdoc.Name{"north", "south"} {
		t.Regions = append(t.Regions, psdoc.Region{Name: r})
		for _, suffix := range []string{"a", "b"} {
			d := psdoc.Name(fmt.Sprintf("%s-%s", r, suffix))
			t.Domains = append(t.Domains, psdoc.FailureDomain{Name: d, Region: r})
			t.VMs = append(t.VMs, TopologyVM{Name: "vm-" + d, Region: r, Domain: d})
			for _, pool := range []psdoc.Name{"prices", "orders", "photos"} {
				t.Servers = append(t.Servers, exampleServers(d, pool)...)
			}
		}
	}
	return t
}

// exampleServersPerPool and exampleSlots size each pool in each failure domain.
const (
	exampleServersPerPool = 2
	exampleSlots          = 16
)

func exampleServers(d, pool psdoc.Name) []TopologyServer {
	return lo.Times(exampleServersPerPool, func(n int) TopologyServer {
		return TopologyServer{Name: psdoc.Name(fmt.Sprintf("%s-%s-%d", pool, d, n+1)), Domain: d, Pool: pool, Slots: exampleSlots}
	})
}

func exampleWorkspaces() []psdoc.Workspace {
	return []psdoc.Workspace{
		{Name: "mandeville", Rate: 1000, Burst: 500},
		{Name: "ocho-rios", Rate: 500, Burst: 250},
		{Name: "negril", Rate: 500, Burst: 250},
		{Name: "trickle", Rate: 20, Burst: 10},
	}
}

func exampleRoutes() []psdoc.Route {
	shift := &psdoc.Shift{Fraction: lo.ToPtr(0.5)}
	return []psdoc.Route{
		{Name: "prices", Prefix: "/prices/", Kind: psdoc.KindLookup, Pool: "prices", WhenCutOff: psdoc.CutOffServe, Shift: shift},
		{Name: "orders", Prefix: "/orders/", Kind: psdoc.KindExclusive, Pool: "orders", WhenCutOff: psdoc.CutOffRefuse, Shift: shift},
		{Name: "photos", Prefix: "/photos/", Kind: psdoc.KindUpload, Pool: "photos", WhenCutOff: psdoc.CutOffServe},
		{Name: "public", Prefix: "/public/", Kind: psdoc.KindLookup, Pool: "prices", Open: true, WhenCutOff: psdoc.CutOffServe, Shift: shift},
	}
}

// documents renders the configuration with the addresses of the running parts.
func (s *System) documents() (map[string]string, error) {
	network := psdoc.Document{Document: "network", Regions: s.topology.Regions, FailureDomains: s.topology.Domains, Links: s.topology.Links, ClientBlocks: s.topology.ClientBlocks}
	for _, n := range s.nodes {
		network.VMs = append(network.VMs, psdoc.VM{
			Name: n.settings.Name, FailureDomain: n.settings.FailureDomain,
			Callers: n.settings.Callers, Peer: n.settings.Peer, Operator: n.settings.Operator,
		})
	}
	for i, v := range s.topology.Servers {
		network.Servers = append(network.Servers, psdoc.Server{
			Name: v.Name, FailureDomain: v.Domain, Address: s.Servers[i].Address, Pool: v.Pool, Slots: v.Slots,
		})
	}
	tenants := psdoc.Document{Document: "workspaces", Workspaces: s.topology.Workspaces}
	keys := psdoc.Document{Document: "keys"}
	for _, w := range s.Ready.Workspaces {
		k, err := pskey.Parse(w.Key)
		if err != nil {
			return nil, err
		}
		keys.Keys = append(keys.Keys, psdoc.Key{ID: k.ID, Workspace: w.Name, Digest: psdoc.DigestOf(k.Secret)})
	}
	routes := psdoc.Document{Document: "routes", Routes: s.topology.Routes}
	out := make(map[string]string)
	for _, d := range []psdoc.Document{network, tenants, keys, routes} {
		text, err := toml.Marshal(d)
		if err != nil {
			return nil, errors.Wrapf(err, "render document %s", d.Document)
		}
		out[string(d.Document)+".toml"] = string(text)
	}
	return out, nil
}
