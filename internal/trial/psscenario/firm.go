package psscenario

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/samber/lo"

	"persimmonstep/internal/trial/psbehaviour"
	"persimmonstep/internal/trial/psdev"
	"persimmonstep/internal/trial/psload"
	"persimmonstep/internal/trial/psspell"
	"persimmonstep/internal/version/psconfig"
)

const (
	// poisonRate is the rate of requests that crash backend servers, in requests per second.
	poisonRate       = 3
	regionCount      = 3
	domainsPerRegion = 2
	// DomainCount is the number of failure domains.
	DomainCount   = regionCount * domainsPerRegion
	vmCount       = 9
	lookupServers = 16
	serverCount   = lookupServers + 12 + 12
	// lookupCapacity is the planned throughput of one slot of the lookup pool, in requests per second.
	lookupCapacity = 12.5
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
	// CallerLatency is the latency between callers and VMs, one way.
	CallerLatency time.Duration
	// Pools are the groups of equal backend servers.
	Pools []Pool
	// VMs is the number of VMs.
	VMs int
	// Rate is the sum of all workspaces' rates. It is split in the proportion of WorkspaceWeights.
	Rate             float64
	WorkspaceWeights []float64
	// Regional callers are spread evenly over the regions, each region requests objects of its own, and Wave is the
	// deviation of a region's load from its mean.
	Regional bool
	Wave     psload.Wave
	// Pipelined is the fraction of idempotent requests whose callers pipeline.
	Pipelined float64
}

// Pool is a group of equal backend servers and the route that they serve.
type Pool struct {
	Name string
	// Service is the pool whose servers run the requests; the pool's own if empty.
	Service string
	Kind    psconfig.Kind
	// Servers is the number of servers, which are spread evenly, and ServersByRegion that of each region in its place.
	Servers         int
	ServersByRegion []int
	Slots           int
	// Unsteady servers have slow spells.
	Unsteady bool
	// Target is the target latency of the route; if 0, targetLatencyFactor gives it. Priority is that of the route.
	Target   time.Duration
	Priority int
	// ServiceTime is how long a request runs if its object isn't cached.
	ServiceTime time.Duration
	// Objects is the number of objects that requests are for, and CacheSize how many of them a
	// server caches.
	Objects, CacheSize int
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
			VMs: vmCount, WorkspaceWeights: workspaceWeights, Rate: guaranteedRate(5),
		},
		{
			Name: "cart-maker", Regions: []string{"lombardia", "trentino", "piemonte"},
			DomainLatency: 500 * time.Microsecond, RegionLatency: 12 * time.Millisecond, Pools: pools("catalogue", 4, "ordering", "workshop"),
			VMs: vmCount, WorkspaceWeights: workspaceWeights, Rate: guaranteedRate(4),
		},
	}
}

// guaranteedRate returns the sum of all workspaces' rates by the slots of a server of the lookup pool.
func guaranteedRate(lookupSlots int) float64 {
	return guaranteedFraction * float64(lookupServers*lookupSlots) * lookupCapacity
}

func pools(lookups string, lookupSlots int, orders, uploads string) []Pool {
	return []Pool{
		{
			Name: lookups, Kind: psconfig.Idempotent, Servers: lookupServers, Slots: lookupSlots, ServiceTime: 160 * time.Millisecond,
			Objects: 120, CacheSize: 24, Fraction: 0.75,
		},
		{Name: orders, Kind: psconfig.AtMostOnce, Servers: 12, Slots: 3, ServiceTime: 100 * time.Millisecond, Fraction: 0.18},
		{Name: uploads, Kind: psconfig.Upload, Servers: 12, Slots: 3, ServiceTime: 200 * time.Millisecond, Fraction: 0.07, BodyBytes: uploadBytes},
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

// LatencyBetween returns the round trip time between two failure domains.
func (f Firm) LatencyBetween(from, to psdev.Domain) time.Duration {
	switch {
	case from == to:
		return 0
	case from.Region == to.Region:
		return f.DomainLatency
	}
	return f.RegionLatency
}

// CallerAddress returns the loopback address of the callers in the failure domain with an index.
func CallerAddress(domain int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 1, byte(domain), 1})
}

// Topology returns the VMs, backend servers and configuration of the firm in a scenario.
func (f Firm) Topology(s *Scenario) psdev.Topology {
	t := psdev.Topology{Grace: shutdownGrace, Configuration: psconfig.Configuration{Workspaces: f.workspaces()}}
	for n := range DomainCount {
		t.Domains = append(t.Domains, psdev.Domain{Name: f.domainName(n), Region: f.Region(n)})
	}
	for n := range f.VMs {
		t.VMs = append(t.VMs, psdev.VM{Name: fmt.Sprintf("vm-%d", n), Domain: t.Domains[n%DomainCount]})
	}
	for _, p := range f.Pools {
		t.Configuration.Routes = append(t.Configuration.Routes, p.route())
		if p.Service != "" {
			continue
		}
		t.Configuration.Services = append(t.Configuration.Services, psdev.ServiceOf(p.Name))
		for n, domain := range p.serverDomains() {
			b := f.behaviour(p)
			if p.Unsteady {
				spells := psspell.Draw(s.Seed, len(t.Servers), spellFactor, spellLength, spellGap, s.Span.Duration+deadline)
				b.Spells = &spells
			}
			t.Servers = append(t.Servers, psdev.Server{
				ID: fmt.Sprintf("%s-%d", p.Name, n), Domain: t.Domains[domain], Service: p.Name, Behaviour: b,
			})
		}
	}
	return t
}

// serverDomains returns the index of each server's failure domain.
func (p Pool) serverDomains() []int {
	if len(p.ServersByRegion) == 0 {
		return lo.Times(p.Servers, func(n int) int { return n % DomainCount })
	}
	var out []int
	for region, count := range p.ServersByRegion {
		out = append(out, lo.Times(count, func(n int) int { return region*domainsPerRegion + n%domainsPerRegion })...)
	}
	return out
}

// ServiceName returns the name of the service that runs the pool's requests.
func (p Pool) ServiceName() string { return cmp.Or(p.Service, p.Name) }

// TargetLatency returns the target latency of the pool's route.
func (p Pool) TargetLatency() time.Duration {
	return cmp.Or(p.Target, targetLatencyFactor*p.ServiceTime)
}

// CachedWork returns how long a request runs on a machine that isn't slow, with its object cached if it has one.
func (p Pool) CachedWork() time.Duration {
	if p.Objects == 0 {
		return p.ServiceTime
	}
	return psbehaviour.CachedTime(p.ServiceTime)
}

// Weight returns the value of a request served in target by its priority. Each priority counts twice as much as the next
// less urgent one.
func (p Pool) Weight() float64 { return math.Exp2(-float64(p.Priority)) }

// route returns the route that the pool serves.
func (p Pool) route() psconfig.Route {
	r := psdev.RouteTo(p.Name, p.Kind)
	r.Backends[0].Service = p.ServiceName()
	r.TargetLatency, r.Priority = p.TargetLatency(), p.Priority
	r.Timeout = deadline
	r.Affinity = p.Objects > 0
	return r
}

// behaviour returns the behaviour of the servers of a pool, which may run the requests of other pools as well.
func (f Firm) behaviour(p Pool) psbehaviour.Behaviour {
	b := psbehaviour.Behaviour{Slots: p.Slots, Queue: queueFactor * p.Slots, ServiceTime: p.ServiceTime, CacheSize: p.CacheSize}
	for _, v := range f.Pools {
		if v.Service == p.Name {
			b.RouteTimes = append(b.RouteTimes, psbehaviour.RouteTime{Prefix: v.prefix(), ServiceTime: v.ServiceTime})
		}
	}
	return b
}

// prefix returns the path prefix of the pool's route.
func (p Pool) prefix() string { return "/" + p.Name + "/" }

// workspaces splits the guaranteed rate between the workspaces.
func (f Firm) workspaces() []psconfig.Workspace {
	sum := lo.Sum(f.WorkspaceWeights)
	return lo.Map(f.WorkspaceWeights, func(w float64, i int) psconfig.Workspace {
		rate := f.Rate * w / sum
		return psconfig.Workspace{Name: fmt.Sprintf("workspace-%d", i), Rate: rate, Burst: max(4, rate*burstDuration.Seconds())}
	})
}

// Allowances returns the rate limit of each workspace.
func (f Firm) Allowances() map[string]psload.Allowance {
	return lo.SliceToMap(f.workspaces(), func(w psconfig.Workspace) (string, psload.Allowance) {
		return w.Name, psload.Allowance{Rate: w.Rate, Burst: w.Burst}
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
		for n, p := range f.Pools {
			if f.Regional {
				out = append(out, f.regionalStreams(s, i, w, n)...)
				continue
			}
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
		Workspace: w.Name, Route: p.Name, Host: psdev.Host, Prefix: p.prefix(), Kind: p.Kind,
		Rate: rate, Home: n % DomainCount, BodyBytes: p.BodyBytes, Objects: p.Objects, Deadline: deadline,
	}
}
