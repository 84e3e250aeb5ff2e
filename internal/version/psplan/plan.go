// Package psplan compiles the documents of one configuration version into a plan.
//
// A plan is immutable: a VM publishes it behind one atomic pointer, and a request reads
// the same plan from its first step to its last. Objects refer to each other by pointer
// and are found through maps, so that a request's way needs no search through lists.
package psplan

import (
	"iter"
	"maps"
	"net/netip"
	"strings"
	"time"

	"persimmonstep/internal/version/psblock"
	"persimmonstep/internal/version/psdoc"
)

const (
	// DefaultDeadline bounds a request's run where its route names no deadline.
	DefaultDeadline = 5 * time.Second
	// DefaultKeyGrace bounds the trust in keys while a VM hears nobody.
	DefaultKeyGrace = time.Hour
	// DefaultMaxBodyBytes bounds a request's body except on upload routes.
	DefaultMaxBodyBytes = 1 << 20
	// DefaultMaxUploadBytes bounds a request's body on upload routes.
	DefaultMaxUploadBytes = 4 << 30
	// DefaultConnections is the number of connections that a backend server holds.
	DefaultConnections = 330
)

// Plan is one compiled configuration version.
type Plan struct {
	// Version is the configuration version; 0 is the empty plan of a VM that has none yet.
	Version uint64
	// Regions, Domains, VMs, Servers, Workspaces and Routes list the objects in document order;
	// routes are ordered by falling prefix length.
	Regions    []*Region
	Domains    []*Domain
	VMs        []*VM
	Servers    []*Server
	Workspaces []*Workspace
	Routes     []*Route
	// Links lists the capacities between regions.
	Links []*Link
	// Blocks lists the client blocks.
	Blocks []Block

	regions    map[psdoc.Name]*Region
	domains    map[psdoc.Name]*Domain
	vms        map[psdoc.Name]*VM
	servers    map[psdoc.Name]*Server
	workspaces map[psdoc.Name]*Workspace
	routes     map[psdoc.Name]*Route
	keys       map[psdoc.Name]*Key
	pools      map[psdoc.Name][]*Server
	blocks     psblock.Table
}

// Region is a geographical area.
type Region struct {
	Name psdoc.Name
	// Domains lists the failure domains of the region.
	Domains []*Domain
}

// Domain is a failure domain.
type Domain struct {
	Name   psdoc.Name
	Region *Region
	// VMs lists the entry VMs of the domain.
	VMs []*VM
}

// VM is an entry VM.
type VM struct {
	Name     psdoc.Name
	Domain   *Domain
	Callers  netip.AddrPort
	Peer     netip.AddrPort
	Operator netip.AddrPort
	// Weight is the VM's part of a budget in proportion to the other VMs.
	Weight float64
}

// Server is a backend server.
type Server struct {
	Name        psdoc.Name
	Domain      *Domain
	Address     netip.AddrPort
	Pool        psdoc.Name
	Slots       int
	Connections int
	// Owner is the VM to which the server's slots belong; nil in a domain without VMs.
	Owner *VM
	// Leaving marks a server that must receive no new work.
	Leaving bool
}

// Workspace is a customer.
type Workspace struct {
	Name psdoc.Name
	// Rate is in requests per second over all VMs together.
	Rate float64
	// Burst is in requests over all VMs together.
	Burst float64
	// Weight is the part of scarce slots in proportion to other workspaces.
	Weight float64

	routes map[psdoc.Name]bool
}

// MayUse reports whether the workspace may send requests to the route.
func (w *Workspace) MayUse(r *Route) bool {
	return w.routes == nil || w.routes[r.Name]
}

// Key is an issued key.
type Key struct {
	ID        psdoc.Name
	Workspace *Workspace
	Digest    psdoc.Digest
}

// Route matches requests by path prefix.
type Route struct {
	Name         psdoc.Name
	Prefix       string
	Kind         psdoc.RouteKind
	Pool         psdoc.Name
	Open         bool
	Deadline     time.Duration
	MaxBodyBytes int64
	WhenCutOff   psdoc.CutOffPolicy
	KeyGrace     time.Duration
	Shift        Shift
	// Servers lists the backend servers of the pool in the regions that may serve the route.
	Servers []*Server

	// regions are those that may serve the route; empty stands for all.
	regions map[psdoc.Name]bool
}

// MayRunIn reports whether the route's requests may run in the region.
func (r *Route) MayRunIn(g *Region) bool {
	return len(r.regions) == 0 || r.regions[g.Name]
}

// Shift bounds what a route moves to other regions. Its zero value allows nothing.
type Shift struct {
	// Fraction bounds the shifted part of all requests.
	Fraction float64
	// Rate bounds the shifted requests per second over all VMs; 0 sets no such bound.
	Rate float64
	// BytesPerSecond bounds the shifted bytes per second over all VMs; 0 sets no such bound.
	BytesPerSecond float64
	// GrowthPerMinute bounds the growth of the fraction in one minute; 0 sets no such bound.
	GrowthPerMinute float64
}

// Link is the capacity between two regions, the same in each direction.
type Link struct {
	Between       [2]*Region
	BitsPerSecond float64
}

// Block assigns an address block to a failure domain.
type Block struct {
	Prefix netip.Prefix
	Domain *Domain
}

// Empty returns the plan of a VM that knows no configuration yet.
func Empty() *Plan {
	return &Plan{}
}

// find looks an object up by its name.
func find[T any](among map[psdoc.Name]*T, n psdoc.Name) (*T, bool) {
	v, found := among[n]
	return v, found
}

// Region finds a region by name.
func (p *Plan) Region(n psdoc.Name) (*Region, bool) {
	return find(p.regions, n)
}

// Domain finds a failure domain by name.
func (p *Plan) Domain(n psdoc.Name) (*Domain, bool) {
	return find(p.domains, n)
}

// VM finds a VM by name.
func (p *Plan) VM(n psdoc.Name) (*VM, bool) {
	return find(p.vms, n)
}

// Server finds a backend server by name.
func (p *Plan) Server(n psdoc.Name) (*Server, bool) {
	return find(p.servers, n)
}

// Workspace finds a workspace by name.
func (p *Plan) Workspace(n psdoc.Name) (*Workspace, bool) {
	return find(p.workspaces, n)
}

// Route finds a route by name.
func (p *Plan) Route(n psdoc.Name) (*Route, bool) {
	return find(p.routes, n)
}

// Key finds an issued key by its id.
func (p *Plan) Key(id psdoc.Name) (*Key, bool) {
	return find(p.keys, id)
}

// Keys lists the issued keys in no particular order.
func (p *Plan) Keys() iter.Seq[*Key] {
	return maps.Values(p.keys)
}

// Pool lists the backend servers of a pool.
func (p *Plan) Pool(n psdoc.Name) []*Server {
	return p.pools[n]
}

// Match finds the route with the longest prefix of the path.
func (p *Plan) Match(path string) (*Route, bool) {
	for _, r := range p.Routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
