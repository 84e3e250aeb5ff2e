package psconfig

import (
	"cmp"
	"slices"
	"strings"
)

// Index answers look-ups in a configuration.
type Index struct {
	Configuration *Configuration

	// hosts lists each host's routes, the longest prefix first.
	hosts    map[string][]*Route
	keys     map[Digest]*Workspace
	services map[string]*Service
	// named are the workspaces by name.
	named map[string]*Workspace
}

// NewIndex indexes a configuration that has no findings.
func NewIndex(c *Configuration) *Index {
	x := &Index{
		Configuration: c, hosts: make(map[string][]*Route),
		keys: make(map[Digest]*Workspace), services: make(map[string]*Service),
		named: make(map[string]*Workspace),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		x.hosts[r.Host] = append(x.hosts[r.Host], r)
	}
	for _, list := range x.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		x.named[w.Name] = w
		for _, key := range w.Keys {
			x.keys[key] = w
		}
	}
	for i := range c.Services {
		x.services[c.Services[i].Name] = &c.Services[i]
	}
	return x
}

// Route returns the route of the host whose prefix is the longest one that begins the path.
func (x *Index) Route(host, path string) (*Route, bool) {
	for _, r := range x.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Workspace returns the workspace that holds a key.
func (x *Index) Workspace(key string) (*Workspace, bool) {
	w, found := x.keys[DigestOf(key)]
	return w, found
}

// Named returns a workspace by its name.
func (x *Index) Named(name string) (*Workspace, bool) {
	w, found := x.named[name]
	return w, found
}

// Service returns a service by its name.
func (x *Index) Service(name string) (*Service, bool) {
	s, found := x.services[name]
	return s, found
}

// HasWorkspaces reports whether requests need keys.
func (x *Index) HasWorkspaces() bool { return len(x.Configuration.Workspaces) > 0 }

// AllowedRegions returns the regions in which a request may run. Where all is true there is
// no restriction; where both the route and the workspace have one, both bind.
func AllowedRegions(r *Route, w *Workspace) (regions []string, all bool) {
	var own []string
	if w != nil {
		own = w.AllowedRegions
	}
	switch {
	case len(r.AllowedRegions) == 0 && len(own) == 0:
		return nil, true
	case len(r.AllowedRegions) == 0:
		return own, false
	case len(own) == 0:
		return r.AllowedRegions, false
	}
	for _, v := range r.AllowedRegions {
		if slices.Contains(own, v) {
			regions = append(regions, v)
		}
	}
	return regions, false
}

// Priority returns the rank of a request: the workspace's, or else the route's.
func Priority(r *Route, w *Workspace) int {
	if w != nil && w.Priority != nil {
		return *w.Priority
	}
	return r.Priority
}
