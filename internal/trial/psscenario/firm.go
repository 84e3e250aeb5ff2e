package psscenario

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/samber/lo"

	"persimmonstep/internal/trial/psbackend"
	"persimmonstep/internal/trial/psdev"
	"persimmonstep/internal/trial/psload"
	"persimmonstep/internal/version/psconfig"
)

const (
	// poisonRate is the rate of requests that crash backend servers, in requests per second.
	poisonRate       = 3
	regionCount      = 3
	domainsPerRegion = 2
	// DomainCount is the number of failure domains.
	DomainCount = regionCount * domainsPerRegion
	vmCount     = 9
	serverCount = 16 + 12 + 12
	// uploadBytes is the size of an uploaded file, in bytes.
	uploadBytes = 64 << 10
	// guaranteedFraction is the sum of all workspaces' rates as a fraction of the capacity of the lookup pool, which
	// is the first one.
	guaranteedFraction = 0.9
	// targetLatencyFactor is the ratio of a route's target latency to its service time.
	targetLatencyFactor = 2
	// deadline is how long callers wait for a response.
	deadline = 2 * time.Second
	// queueFactor is the ratio of a backend server's queue capacity to its slots.
	queueFactor = 3
	// shutdownGrace is how long a VM may take to shut down.
	shutdownGrace = 4 * time.Second
	// burstDuration is the time in which a workspace sends its burst at its rate.
	burstDuration = 500 * time.Millisecond
)

// workspaceWeights is the proportion in which the guaranteed rate is split. A few workspaces are large.
var workspaceWeights = []float64{6, 4, 3, 1, 1, 0.5, 0.3, 0.2}

// PoisonMarker is the marker of requests that crash backend servers.
const PoisonMarker = "poison"

// Firm is the model of one company's installation of the system.
type Firm struct {
	// Name identifies the firm.
	Name string
	// Regions names the regions.
	Regions []string
	// DomainLatency is the round trip time between failure domains of a region.
	DomainLatency time.Duration
	// RegionLatency is the round trip time between regions.
	RegionLatency time.Duration
	// Pools are the groups of equal backend servers.
	Pools []Pool
}

// Pool is a group of equal backend servers and the route that they serve.
type Pool struct {
	Name    string
	Kind    psconfig.Kind
	Servers int
	Slots   int
	// ServiceTime is how long a request runs if its object isn't cached.
	ServiceTime time.Duration
	// Objects is the number of objects that requests are for, and CacheSize how many of them a
	// server caches.
	Objects, CacheSize int
	// Capacity is the planned throughput of one slot, in requests per second.
	Capacity float64
	// Fraction is the fraction of each workspace's requests that go to the pool.
	Fraction float64
	// BodyBytes is the size of each request body.
	BodyBytes int
}

// Firms returns the models of the two firms, each with the size of its present installation.
func Firms() []Firm {
	return []Firm{
		{
			Name: "egg-exchange", Regions: []string{"cornwall", "middlesex", "surrey"},
			DomainLatency: 1500 * time.Microsecond, RegionLatency: 12 * time.Millisecond, Pools: pools("prices", 5, "orders", "inspections"),
		},
		{
			Name: "cart-maker", Regions: []string{"lombardia", "trentino", "piemonte"},
			DomainLatency: 500 * time.Microsecond, RegionLatency: 12 * time.Millisecond, Pools: pools("catalogue", 4, "ordering", "workshop"),
		},
	}
}

func pools(lookups string, lookupSlots int, orders, uploads string) []Pool {
	return []Pool{
		{
			Name: lookups, Kind: psconfig.Idempotent, Servers: 16, Slots: lookupSlots, ServiceTime: 160 * time.Millisecond,
			Objects: 120, CacheSize: 24, Capacity: 12.5, Fraction: 0.75,
		},
		{Name: orders, Kind: psconfig.AtMostOnce, Servers: 12, Slots: 3, ServiceTime: 100 * time.Millisecond, Capacity: 10, Fraction: 0.18},
		{Name: uploads, Kind: psconfig.Upload, Servers: 12, Slots: 3, ServiceTime: 200 * time.Millisecond, Capacity: 5, Fraction: 0.07, BodyBytes: uploadBytes},
	}
}

// domainName returns the name of the failure domain with an index.
func (f Firm) domainName(n int) string {
	return fmt.Sprintf("%s-%c", f.Regions[n/domainsPerRegion], 'a'+n%domainsPerRegion)
}

// Region returns the region of the failure domain with an index.
func (f Firm) Region(domain int) string {
	return f.Regions[domain/domainsPerRegion]
}

// CallerAddress returns the loopback address of the callers in the failure domain with an index.
func CallerAddress(domain int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 1, byte(domain), 1})
}

// Topology returns the VMs, backend servers and configuration of the firm.
func (f Firm) Topology() psdev.Topology {
	t := psdev.Topology{Grace: shutdownGrace, Configuration: psconfig.Configuration{Workspaces: f.workspaces()}}
	for n := range DomainCount {
		t.Domains = append(t.Domains, psdev.Domain{Name: f.domainName(n), Region: f.Region(n)})
	}
	for n := range vmCount {
		t.VMs = append(t.VMs, psdev.VM{Name: fmt.Sprintf("vm-%d", n), Domain: t.Domains[n%DomainCount]})
	}
	for _, p := range f.Pools {
		t.Configuration.Services = append(t.Configuration.Services, psdev.ServiceOf(p.Name))
		t.Configuration.Routes = append(t.Configuration.Routes, p.route())
		for n := range p.Servers {
			t.Servers = append(t.Servers, psdev.Server{
				ID: fmt.Sprintf("%s-%d", p.Name, n), Domain: t.Domains[n%DomainCount], Service: p.Name, Behaviour: p.behaviour(),
			})
		}
	}
	return t
}

// route returns the route that the pool serves.
func (p Pool) route() psconfig.Route {
	r := psdev.RouteTo(p.Name, p.Kind)
	r.TargetLatency = targetLatencyFactor * p.ServiceTime
	r.Timeout = deadline
	r.Affinity = p.Objects > 0
	return r
}

func (p Pool) behaviour() psbackend.Behaviour {
	return psbackend.Behaviour{Slots: p.Slots, Queue: queueFactor * p.Slots, ServiceTime: p.ServiceTime, CacheSize: p.CacheSize}
}

// workspaces splits the guaranteed rate between the workspaces.
func (f Firm) workspaces() []psconfig.Workspace {
	p := f.Pools[0]
	guaranteed := guaranteedFraction * float64(p.Servers*p.Slots) * p.Capacity
	sum := lo.Sum(workspaceWeights)
	return lo.Map(workspaceWeights, func(w float64, i int) psconfig.Workspace {
		rate := guaranteed * w / sum
		return psconfig.Workspace{Name: fmt.Sprintf("workspace-%d", i), Rate: rate, Burst: max(4, rate*burstDuration.Seconds())}
	})
}

// Streams returns the load of a scenario. Each workspace sends requests to each route, and each poison fault adds a
// stream of requests that crash backend servers.
func (f Firm) Streams(s *Scenario) []psload.Stream {
	var out []psload.Stream
	for i, w := range f.workspaces() {
		load := s.Load
		if s.Busy != nil && s.Busy.Workspace == i {
			load = s.Busy.Factor
		}
		for _, p := range f.Pools {
			out = append(out, f.stream(i, w, p, w.Rate*load*p.Fraction))
		}
	}
	for _, v := range s.Faults {
		if v.Kind == FaultPoison {
			p := f.stream(v.Target, f.workspaces()[v.Target], f.Pools[0], poisonRate)
			p.Marker, p.From, p.To = PoisonMarker, v.At.Duration, v.Until.Duration
			out = append(out, p)
		}
	}
	return out
}

func (f Firm) stream(n int, w psconfig.Workspace, p Pool, rate float64) psload.Stream {
	return psload.Stream{
		Workspace: w.Name, Route: p.Name, Host: psdev.Host, Prefix: "/" + p.Name + "/", Kind: p.Kind,
		Rate: rate, Home: n % DomainCount, BodyBytes: p.BodyBytes, Objects: p.Objects, Deadline: deadline,
	}
}
