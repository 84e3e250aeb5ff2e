package psplan

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"

	"persimmonstep/internal/version/psblock"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/pstoml"
)

// compiler merges documents and collects the faults between them.
type compiler struct {
	plan     *Plan
	findings pstoml.Findings
	seen     map[string]string
}

// Compile merges documents into the plan of a version.
// It returns every finding; the plan may be used only if there are none.
func Compile(version uint64, documents []*psdoc.Document) (*Plan, pstoml.Findings) {
	c := &compiler{
		plan: &Plan{
			Version:    version,
			regions:    make(map[psdoc.Name]*Region),
			domains:    make(map[psdoc.Name]*Domain),
			vms:        make(map[psdoc.Name]*VM),
			servers:    make(map[psdoc.Name]*Server),
			workspaces: make(map[psdoc.Name]*Workspace),
			routes:     make(map[psdoc.Name]*Route),
			keys:       make(map[psdoc.Name]*Key),
			pools:      make(map[psdoc.Name][]*Server),
		},
		seen: make(map[string]string),
	}
	// Objects refer only to kinds of an earlier step.
	steps := []func(*psdoc.Document){
		c.addRegions, c.addDomains, c.addVMs, c.addServers, c.addDrains,
		c.addRoutes, c.addWorkspaces, c.addKeys, c.addLinks, c.addBlocks,
	}
	for _, s := range steps {
		for _, d := range documents {
			s(d)
		}
	}
	c.assignOwners()
	slices.SortStableFunc(c.plan.Routes, func(a, b *Route) int {
		return cmp.Compare(len(b.Prefix), len(a.Prefix))
	})
	c.plan.blocks = compileBlocks(c.plan)
	c.findings.Sort()
	return c.plan, c.findings
}

func (c *compiler) fault(d *psdoc.Document, path, format string, args ...any) {
	if d.Faulty(path) {
		return
	}
	c.findings = append(c.findings, d.Finding(path, fmt.Sprintf(format, args...)))
}

// claim reports a second object of the same kind and name.
func (c *compiler) claim(d *psdoc.Document, path, kind string, name any) bool {
	id := fmt.Sprintf("%s %q", kind, name)
	if first, found := c.seen[id]; found {
		c.fault(d, path, "%s is already defined in document %q", id, first)
		return false
	}
	c.seen[id] = string(d.Document)
	return true
}

// define claims an object's name; one without a name has its finding already.
func (c *compiler) define(d *psdoc.Document, path, kind string, name psdoc.Name) bool {
	return name != "" && c.claim(d, path, kind, name)
}

// enter puts an object under its name and at the end of its list.
func enter[T any](byName map[psdoc.Name]*T, list *[]*T, name psdoc.Name, v *T) {
	byName[name] = v
	*list = append(*list, v)
}

// lookUp finds a referenced object and reports an unknown or empty name.
func lookUp[T any](c *compiler, d *psdoc.Document, path, kind string, name psdoc.Name, among map[psdoc.Name]*T) (*T, bool) {
	v, found := among[name]
	if !found && name != "" {
		c.fault(d, path, "unknown %s %q", kind, name)
	}
	return v, found
}

func (c *compiler) addRegions(d *psdoc.Document) {
	for i, r := range d.Regions {
		if !c.define(d, fmt.Sprintf("regions[%d].name", i), "region", r.Name) {
			continue
		}
		v := &Region{Name: r.Name}
		enter(c.plan.regions, &c.plan.Regions, v.Name, v)
	}
}

func (c *compiler) addDomains(d *psdoc.Document) {
	for i, f := range d.FailureDomains {
		at := fmt.Sprintf("failureDomains[%d]", i)
		r, found := lookUp(c, d, at+".region", "region", f.Region, c.plan.regions)
		if !c.define(d, at+".name", "failure domain", f.Name) || !found {
			continue
		}
		v := &Domain{Name: f.Name, Region: r}
		enter(c.plan.domains, &c.plan.Domains, v.Name, v)
		r.Domains = append(r.Domains, v)
	}
}

func (c *compiler) addVMs(d *psdoc.Document) {
	for i, v := range d.VMs {
		at := fmt.Sprintf("vms[%d]", i)
		f, found := lookUp(c, d, at+".failureDomain", "failure domain", v.FailureDomain, c.plan.domains)
		if !c.define(d, at+".name", "VM", v.Name) || !found {
			continue
		}
		c.claim(d, at+".callers", "caller address", v.Callers)
		c.claim(d, at+".peer", "peer address", v.Peer)
		w := &VM{Name: v.Name, Domain: f, Callers: v.Callers, Peer: v.Peer, Operator: v.Operator, Weight: lo.FromPtrOr(v.Weight, 1)}
		enter(c.plan.vms, &c.plan.VMs, w.Name, w)
		f.VMs = append(f.VMs, w)
	}
}

func (c *compiler) addServers(d *psdoc.Document) {
	for i, s := range d.Servers {
		at := fmt.Sprintf("servers[%d]", i)
		f, found := lookUp(c, d, at+".failureDomain", "failure domain", s.FailureDomain, c.plan.domains)
		if !c.define(d, at+".name", "backend server", s.Name) || !found {
			continue
		}
		c.claim(d, at+".address", "backend server address", s.Address)
		v := &Server{
			Name: s.Name, Domain: f, Address: s.Address, Pool: s.Pool, Slots: s.Slots,
			Connections: lo.FromPtrOr(s.Connections, DefaultConnections),
		}
		enter(c.plan.servers, &c.plan.Servers, v.Name, v)
		c.plan.pools[s.Pool] = append(c.plan.pools[s.Pool], v)
	}
}

func (c *compiler) addDrains(d *psdoc.Document) {
	for i, r := range d.Drains {
		s, found := lookUp(c, d, fmt.Sprintf("drains[%d].server", i), "backend server", r.Server, c.plan.servers)
		if found {
			s.Leaving = true
		}
	}
}

func (c *compiler) addRoutes(d *psdoc.Document) {
	for i, r := range d.Routes {
		at := fmt.Sprintf("routes[%d]", i)
		if !c.define(d, at+".name", "route", r.Name) {
			continue
		}
		c.claim(d, at+".prefix", "route prefix", r.Prefix)
		if r.Pool != "" && len(c.plan.pools[r.Pool]) == 0 {
			c.fault(d, at+".pool", "no backend server belongs to pool %q", r.Pool)
		}
		regions := make(map[psdoc.Name]bool)
		for _, n := range r.Regions {
			lookUp(c, d, at+".regions", "region", n, c.plan.regions)
			regions[n] = true
		}
		servers := lo.Filter(c.plan.pools[r.Pool], func(s *Server, _ int) bool {
			return len(regions) == 0 || regions[s.Domain.Region.Name]
		})
		if len(c.plan.pools[r.Pool]) > 0 && len(servers) == 0 {
			c.fault(d, at+".regions", "no backend server of pool %q is in these regions", r.Pool)
		}
		v := newRoute(r, servers)
		v.regions = regions
		enter(c.plan.routes, &c.plan.Routes, v.Name, v)
	}
}

func newRoute(r psdoc.Route, servers []*Server) *Route {
	v := &Route{
		Name: r.Name, Prefix: r.Prefix, Kind: r.Kind, Pool: r.Pool, Open: r.Open,
		Deadline:   spanOr(r.Deadline, DefaultDeadline),
		KeyGrace:   spanOr(r.KeyGrace, DefaultKeyGrace),
		WhenCutOff: r.WhenCutOff,
		Servers:    servers,
	}
	v.MaxBodyBytes = lo.FromPtrOr(r.MaxBodyBytes, lo.Ternary[int64](r.Kind == psdoc.KindUpload, DefaultMaxUploadBytes, DefaultMaxBodyBytes))
	if v.WhenCutOff == "" {
		v.WhenCutOff = lo.Ternary(r.Kind == psdoc.KindExclusive, psdoc.CutOffRefuse, psdoc.CutOffServe)
	}
	if r.Shift != nil {
		v.Shift = Shift{
			Fraction:        lo.FromPtrOr(r.Shift.Fraction, 1),
			Rate:            lo.FromPtr(r.Shift.Rate),
			BytesPerSecond:  lo.FromPtr(r.Shift.BytesPerSecond),
			GrowthPerMinute: lo.FromPtr(r.Shift.GrowthPerMinute),
		}
	}
	return v
}

func spanOr(d *psdoc.Duration, fallback time.Duration) time.Duration {
	if d == nil {
		return fallback
	}
	return d.Duration
}

func (c *compiler) addWorkspaces(d *psdoc.Document) {
	for i, w := range d.Workspaces {
		at := fmt.Sprintf("workspaces[%d]", i)
		if !c.define(d, at+".name", "workspace", w.Name) {
			continue
		}
		v := &Workspace{Name: w.Name, Rate: w.Rate, Burst: w.Burst, Weight: lo.FromPtrOr(w.Weight, w.Rate)}
		if w.Routes != nil {
			v.routes = make(map[psdoc.Name]bool)
		}
		for _, n := range w.Routes {
			lookUp(c, d, at+".routes", "route", n, c.plan.routes)
			v.routes[n] = true
		}
		enter(c.plan.workspaces, &c.plan.Workspaces, v.Name, v)
	}
}

func (c *compiler) addKeys(d *psdoc.Document) {
	for i, k := range d.Keys {
		at := fmt.Sprintf("keys[%d]", i)
		w, found := lookUp(c, d, at+".workspace", "workspace", k.Workspace, c.plan.workspaces)
		if !c.define(d, at+".id", "key", k.ID) || !found {
			continue
		}
		c.plan.keys[k.ID] = &Key{ID: k.ID, Workspace: w, Digest: k.Digest}
	}
}

func (c *compiler) addLinks(d *psdoc.Document) {
	for i, l := range d.Links {
		if len(l.Between) != 2 || l.Between[0] == l.Between[1] {
			continue
		}
		at := fmt.Sprintf("links[%d].between", i)
		a, foundA := lookUp(c, d, at, "region", l.Between[0], c.plan.regions)
		b, foundB := lookUp(c, d, at, "region", l.Between[1], c.plan.regions)
		pair := [2]psdoc.Name{min(l.Between[0], l.Between[1]), max(l.Between[0], l.Between[1])}
		if foundA && foundB && c.claim(d, at, "link", pair) {
			c.plan.Links = append(c.plan.Links, &Link{Between: [2]*Region{a, b}, BitsPerSecond: l.BitsPerSecond})
		}
	}
}

func (c *compiler) addBlocks(d *psdoc.Document) {
	for i, b := range d.ClientBlocks {
		at := fmt.Sprintf("clientBlocks[%d]", i)
		f, found := lookUp(c, d, at+".failureDomain", "failure domain", b.FailureDomain, c.plan.domains)
		if err := psblock.Check(b.Prefix); err != nil {
			c.fault(d, at+".prefix", "%s", err)
			continue
		}
		if found && c.claim(d, at+".prefix", "client block", b.Prefix.Masked()) {
			c.plan.Blocks = append(c.plan.Blocks, Block{Prefix: b.Prefix.Masked(), Domain: f})
		}
	}
}
