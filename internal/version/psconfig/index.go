package psconfig

import (
	"cmp"
	"slices"
	"strings"
)

// Index answers look-ups in a configuration.
type Index struct {
	Configuration *Configuration

	// routesByHost lists each host's routes, the longest prefix first.
	routesByHost     map[string][]*Route
	workspacesByKey  map[Digest]*Workspace
	servicesByName   map[string]*Service
	workspacesByName map[string]*Workspace
}

// NewIndex indexes a configuration for which [Configuration.Check] returns no findings.
func NewIndex(c *Configuration) *Index {
	x := &Index{
		Configuration: c, routesByHost: make(map[string][]*Route),
		workspacesByKey: make(map[Digest]*Workspace), servicesByName: make(map[string]*Service),
		workspacesByName: make(map[string]*Workspace),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		x.routesByHost[r.Host] = append(x.routesByHost[r.Host], r)
	}
	for _, list := range x.routesByHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		x.workspacesByName[w.Name] = w
		for _, key := range w.Keys {
			x.workspacesByKey[key] = w
		}
	}
	for i := range c.Services {
		x.servicesByName[c.Services[i].Name] = &c.Services[i]
	}
	return x
}

// Route returns the host's route with the longest prefix of the path.
func (x *Index) Route(host, path string) (*Route, bool) {
	for _, r := range x.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// WorkspaceByKey returns the workspace to which an API key belongs.
func (x *Index) WorkspaceByKey(key string) (*Workspace, bool) {
	w, found := x.workspacesByKey[DigestOf(key)]
	return w, found
}

// WorkspaceByName returns a workspace by its name.
func (x *Index) WorkspaceByName(name string) (*Workspace, bool) {
	w, found := x.workspacesByName[name]
	return w, found
}

// Service returns a service by its name.
func (x *Index) Service(name string) (*Service, bool) {
	s, found := x.servicesByName[name]
	return s, found
}

// HasWorkspaces reports whether requests on routes that are not public require an API key.
func (x *Index) HasWorkspaces() bool { return len(x.Configuration.Workspaces) > 0 }

// AllowedRegions returns the regions in which a request may run: those that both the route and the
// workspace allow. If neither restricts them, unrestricted is true.
func AllowedRegions(r *Route, w *Workspace) (regions []string, unrestricted bool) {
	var workspaceRegions []string
	if w != nil {
		workspaceRegions = w.AllowedRegions
	}
	switch {
	case len(r.AllowedRegions) == 0 && len(workspaceRegions) == 0:
		return nil, true
	case len(r.AllowedRegions) == 0:
		return workspaceRegions, false
	case len(workspaceRegions) == 0:
		return r.AllowedRegions, false
	}
	for _, v := range r.AllowedRegions {
		if slices.Contains(workspaceRegions, v) {
			regions = append(regions, v)
		}
	}
	return regions, false
}

// Priority returns the priority of a request: the workspace's, or the route's if the workspace has
// none.
func Priority(r *Route, w *Workspace) int {
	if w != nil && w.Priority != nil {
		return *w.Priority
	}
	return r.Priority
}
