package psdev

import (
	"fmt"
	"time"

	"github.com/samber/lo"

	"persimmonstep/internal/trial/psbackend"
	"persimmonstep/internal/trial/psbehaviour"
	"persimmonstep/internal/version/psconfig"
)

// Topology describes the components of a system, without addresses.
type Topology struct {
	// Domains lists the failure domains.
	Domains []Domain
	VMs     []VM
	Servers []Server
	// Configuration is the first version of the configuration, without keys. Each workspace gets one key.
	Configuration psconfig.Configuration
	// Grace is the grace period of a VM's shutdown.
	Grace time.Duration
}

// Domain is a failure domain.
type Domain struct {
	Name   string
	Region string
}

// VM describes a VM.
type VM struct {
	Name   string
	Domain Domain
}

// Server describes a backend server stand-in.
type Server struct {
	ID        string
	Domain    Domain
	Service   string
	Behaviour psbehaviour.Behaviour
}

// regions returns the region of each failure domain.
func (t *Topology) regions() map[string]string {
	return lo.SliceToMap(t.Domains, func(d Domain) (string, string) { return d.Name, d.Region })
}

const (
	// exampleServers is the number of servers of each service in each failure domain, and exampleSlots the number
	// of slots of a server.
	exampleServers = 2
	exampleSlots   = 16
	// exampleGrace is the grace period of the example's VMs.
	exampleGrace = 2 * time.Second
)

// Host is the host of the routes to stand-ins.
const Host = "eggs.example"

// Example returns the topology of the development system: two regions with two failure domains each, one VM in each
// failure domain, and three services.
func Example() Topology {
	t := Topology{Configuration: exampleConfiguration(), Grace: exampleGrace}
	for _, r := range []string{"north", "south"} {
		for _, suffix := range []string{"a", "b"} {
			d := Domain{Name: r + "-" + suffix, Region: r}
			t.Domains = append(t.Domains, d)
			t.VMs = append(t.VMs, VM{Name: "vm-" + d.Name, Domain: d})
			for _, s := range t.Configuration.Services {
				t.Servers = append(t.Servers, exampleDomainServers(d, s.Name)...)
			}
		}
	}
	return t
}

func exampleDomainServers(d Domain, service string) []Server {
	return lo.Times(exampleServers, func(n int) Server {
		return Server{
			ID: fmt.Sprintf("%s-%s-%d", service, d.Name, n+1), Domain: d, Service: service,
			Behaviour: psbehaviour.Behaviour{Slots: exampleSlots, Queue: exampleSlots},
		}
	})
}

func exampleConfiguration() psconfig.Configuration {
	return psconfig.Configuration{
		Services: []psconfig.Service{ServiceOf("prices"), ServiceOf("orders"), ServiceOf("photos")},
		Workspaces: []psconfig.Workspace{
			{Name: "mandeville", Rate: 1000, Burst: 500},
			{Name: "ocho-rios", Rate: 500, Burst: 250},
			{Name: "negril", Rate: 500, Burst: 250},
			{Name: "trickle", Rate: 20, Burst: 10},
		},
		Routes: []psconfig.Route{
			RouteTo("prices", psconfig.Idempotent), RouteTo("orders", psconfig.AtMostOnce), RouteTo("photos", psconfig.Upload),
			{
				Name: "public", Host: Host, Prefix: "/public/", Kind: psconfig.Idempotent, Timeout: routeTimeout, TargetLatency: targetLatency,
				MaxAttempts: maxAttempts, Backends: []psconfig.Backend{{Service: "prices", Weight: 1}}, Public: true,
			},
		},
	}
}

const (
	routeTimeout  = 2 * time.Second
	targetLatency = 200 * time.Millisecond
	maxAttempts   = 3
	// maxConnections is the number of connections that a server accepts from all VMs together.
	maxConnections = 400
	// coldStart is how long the cold start of a server takes, and coldPerSecond the requests per second that the
	// server sustains during that time.
	coldStart     = time.Second
	coldPerSecond = 30
)

// ServiceOf returns the configuration of a service whose backend servers are stand-ins.
func ServiceOf(name string) psconfig.Service {
	return psconfig.Service{
		Name: name, HealthPath: psbackend.HealthPath, MaxConnections: maxConnections, ColdStart: coldStart, ColdPerSecond: coldPerSecond,
	}
}

// RouteTo returns the route to a service. Route and service have the same name.
func RouteTo(service string, k psconfig.Kind) psconfig.Route {
	return psconfig.Route{
		Name: service, Host: Host, Prefix: "/" + service + "/", Kind: k, Timeout: routeTimeout, TargetLatency: targetLatency,
		MaxAttempts: maxAttempts, Backends: []psconfig.Backend{{Service: service, Weight: 1}}, Affinity: true,
	}
}
