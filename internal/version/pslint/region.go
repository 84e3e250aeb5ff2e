package pslint

import (
	"fmt"
	"slices"

	"persimmonstep/internal/version/psconfig"
)

// The rules for allowed regions and servers.
const (
	CodeRegionUnknown        psconfig.Code = "region-unknown"
	CodeRegionsDisjoint      psconfig.Code = "regions-disjoint"
	CodeNoServer             psconfig.Code = "no-server"
	CodeAttemptsAboveServers psconfig.Code = "attempts-above-servers"
)

// regions reports routes and workspaces that no server may run, as far as regions and servers are known.
func (l *linter) regions() {
	c := l.configuration
	for i := range c.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		l.knownRegions(path, c.Routes[i].AllowedRegions)
		l.servers(path, &c.Routes[i])
	}
	for i := range c.Workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		l.knownRegions(path, c.Workspaces[i].AllowedRegions)
		l.combined(path, &c.Workspaces[i])
	}
}

// knownRegions reports allowed regions without a failure domain.
func (l *linter) knownRegions(path string, allowed []string) {
	if len(l.fleet.Regions) == 0 {
		return
	}
	known := func(region string) bool { return slices.Contains(l.fleet.Regions, region) }
	none := ""
	if !slices.ContainsFunc(allowed, known) {
		none = ", nor in any other allowed region: all requests are refused"
	}
	for i, region := range allowed {
		if !known(region) {
			l.warn(CodeRegionUnknown, fmt.Sprintf("%s.allowedRegions[%d]", path, i), "no failure domain is in region %q%s", region, none)
		}
	}
}

// serversIn returns the number of servers of a service in regions.
func (l *linter) serversIn(service string, regions []string, all bool) int {
	n := 0
	for _, s := range l.fleet.Servers {
		if s.Service == service && (all || slices.Contains(regions, s.Region)) {
			n++
		}
	}
	return n
}

// servers reports services of a route that have no server where it may run, or too few for its attempts.
func (l *linter) servers(path string, r *psconfig.Route) {
	if len(l.fleet.Servers) == 0 {
		return
	}
	regions, all := psconfig.AllowedRegions(r, nil)
	for j, b := range r.Backends {
		n := l.serversIn(b.Service, regions, all)
		switch {
		case b.Weight <= 0:
		case n == 0 && all:
			l.warn(CodeNoServer, fmt.Sprintf("%s.backends[%d].service", path, j), "service %q has no server: its requests are refused", b.Service)
		case n == 0:
			l.warn(CodeNoServer, path+".allowedRegions", "service %q has no server in the regions of route %q: its requests are refused", b.Service, r.Name)
		case n < r.MaxAttempts:
			l.warn(CodeAttemptsAboveServers, path+".maxAttempts",
				"%d attempts go to different servers, but service %q has %d where route %q may run", r.MaxAttempts, b.Service, n, r.Name)
		}
	}
}

// combined reports routes of which a workspace's requests can't run, because no region, or none with a server, is allowed for
// both.
func (l *linter) combined(path string, w *psconfig.Workspace) {
	if len(w.AllowedRegions) == 0 || len(w.Keys) == 0 {
		return
	}
	var disjoint, empty []string
	for i := range l.configuration.Routes {
		r := &l.configuration.Routes[i]
		regions, _ := psconfig.AllowedRegions(r, w)
		switch {
		case r.Public:
		case len(regions) == 0:
			disjoint = append(disjoint, r.Name)
		case l.lacksServer(r, regions):
			empty = append(empty, r.Name)
		}
	}
	if len(disjoint) > 0 {
		l.warn(CodeRegionsDisjoint, path+".allowedRegions",
			"workspace %q shares no allowed region with routes %s: its requests there are refused", w.Name, list(disjoint))
	}
	if len(empty) > 0 {
		l.warn(CodeNoServer, path+".allowedRegions",
			"workspace %q: a service of routes %s has no server in the regions that both allow: its requests are refused", w.Name, list(empty))
	}
}

// lacksServer reports whether a service of a route has servers where the route may run, but none in regions.
func (l *linter) lacksServer(r *psconfig.Route, regions []string) bool {
	if len(l.fleet.Servers) == 0 {
		return false
	}
	own, all := psconfig.AllowedRegions(r, nil)
	return slices.ContainsFunc(r.Backends, func(b psconfig.Backend) bool {
		return b.Weight > 0 && l.serversIn(b.Service, regions, false) == 0 && l.serversIn(b.Service, own, all) > 0
	})
}
