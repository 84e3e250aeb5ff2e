package psscenario

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/samber/lo"

	"persimmonstep/internal/process/psbackend"
	"persimmonstep/internal/process/psdev"
	"persimmonstep/internal/process/psload"
	"persimmonstep/internal/version/psconfig"
)

const (
	// poisonRate is in requests per second.
	poisonRate       = 3
	regionCount      = 3
	domainsPerRegion = 2
	// DomainCount is the number of failure domains.
	DomainCount = regionCount * domainsPerRegion
	vmCount     = 9
	serverCount = 16 + 12 + 12
	// uploadBytes is the size of an uploaded file.
	uploadBytes = 64 << 10
	// promisedPart is the part of the lookup capacity that all rates together promise.
	guaranteedFraction = 0.9
	// targetFactor times the service time is the latency objective.
	targetLatencyFactor = 2
	// deadline is how long callers wait.
	deadline = 2 * time.Second
	// queueFactor times its slots is what a backend server lets wait.
	queueFactor = 3
	// grace is how long a VM may take to leave.
	shutdownGrace = 4 * time.Second
	// burstSpan is the burst of a workspace in time at its rate.
	burstDuration = 500 * time.Millisecond
)

// workspaceWeights shares the promised rate between the workspaces: a few are large.
var workspaceWeights = []float64{6, 4, 3, 1, 1, 0.5, 0.3, 0.2}

// PoisonMarker marks the requests that crash backend servers.
const PoisonMarker = "poison"

// Firm is one of the users' installations.
type Firm struct {
	// Name identifies the firm.
	Name string
	// Regions names the regions.
	Regions []string
	// DomainLatency is the time between failure domains of a region, one way and back.
	DomainLatency time.Duration
	// RegionLatency is the time between regions, one way and back.
	RegionLatency time.Duration
	// Pools are its kinds of backend servers.
	Pools []Pool
}

// Pool is a kind of backend server and the route that it runs.
type Pool struct {
	Name    string
	Kind    psconfig.Kind
	Servers int
	Slots   int
	// ServiceTime is the time of a run on an object that isn't at hand.
	ServiceTime time.Duration
	// Objects is the number of objects that requests are about, and Holds how many of them a
	// server keeps at hand.
	Objects, CacheSize int
	// Capacity is the number of requests that one slot is planned to run a second.
	Capacity float64
	// Part is the part of a workspace's requests.
	Fraction float64
	// BodyBytes is the size of each request's body.
	BodyBytes int
}

// Firms lists both firms at today's sizes.
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

// domain is the name of a failure domain by its index.
func (f Firm) domainName(n int) string {
	return fmt.Sprintf("%s-%c", f.Regions[n/domainsPerRegion], 'a'+n%domainsPerRegion)
}

// Region is the region of a failure domain by its index.
func (f Firm) Region(domain int) string {
	return f.Regions[domain/domainsPerRegion]
}

// Source is the loopback address of the callers of a failure domain.
func CallerAddress(domain int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 1, byte(domain), 1})
}

// Topology is what the firm runs.
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

// route is the route that the pool runs.
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

// workspaces shares the promised rate between the workspaces.
func (f Firm) workspaces() []psconfig.Workspace {
	p := f.Pools[0]
	promised := guaranteedFraction * float64(p.Servers*p.Slots) * p.Capacity
	sum := lo.Sum(workspaceWeights)
	return lo.Map(workspaceWeights, func(w float64, i int) psconfig.Workspace {
		rate := promised * w / sum
		return psconfig.Workspace{Name: fmt.Sprintf("workspace-%d", i), Rate: rate, Burst: max(4, rate*burstDuration.Seconds())}
	})
}

// Streams is the load of a scenario: each workspace sends to each route.
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
