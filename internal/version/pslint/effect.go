package pslint

import (
	"fmt"
	"net"
	"net/url"
	"strings"

	"persimmonstep/internal/version/psconfig"
)

// The rules for entries that can never match or take effect.
const (
	CodeHostUnmatched       psconfig.Code = "host-unmatched"
	CodePrefixEscaped       psconfig.Code = "prefix-escaped"
	CodeWeightZero          psconfig.Code = "weight-zero"
	CodeServiceUnused       psconfig.Code = "service-unused"
	CodeHealthPath          psconfig.Code = "health-path"
	CodeKeyNotRequired      psconfig.Code = "key-not-required"
	CodeKeyEmpty            psconfig.Code = "key-empty"
	CodeNoKey               psconfig.Code = "no-key"
	CodeWorkspaceWithoutKey psconfig.Code = "workspace-without-key"
	CodeWorkspacesUnused    psconfig.Code = "workspaces-unused"
	CodePriorityUnused      psconfig.Code = "priority-unused"
)

// effects reports entries that can never match or take effect.
func (l *linter) effects() {
	c := l.configuration
	used := map[string]bool{}
	for i, r := range c.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		l.match(path, r)
		for j, b := range r.Backends {
			used[b.Service] = true
			if b.Weight == 0 {
				l.warn(CodeWeightZero, fmt.Sprintf("%s.backends[%d].weight", path, j),
					"service %q gets no request of route %q: its weight is 0", b.Service, r.Name)
			}
		}
	}
	for i, s := range c.Services {
		path := fmt.Sprintf("services[%d]", i)
		if !used[s.Name] {
			l.warn(CodeServiceUnused, path, "no route uses service %q", s.Name)
		}
		if s.HealthPath != "" && (s.HealthPath[0] != '/' || strings.ContainsAny(s.HealthPath, "?#")) {
			l.warn(CodeHealthPath, path+".healthPath",
				"%q is not a path that begins with a slash: servers of %q that fail would stay out of use", s.HealthPath, s.Name)
		}
	}
	l.keys()
}

// match reports a route that no request has the host or the path for.
func (l *linter) match(path string, r psconfig.Route) {
	_, _, err := net.SplitHostPort(r.Host)
	if err == nil || strings.ContainsAny(r.Host, "*/?#@ \t") {
		l.warn(CodeHostUnmatched, path+".host", "no request has the host %q: hosts are compared as a whole, without a port", r.Host)
	}
	if decoded, err := url.PathUnescape(r.Prefix); err == nil && decoded != r.Prefix || strings.ContainsAny(r.Prefix, "?#") {
		l.warn(CodePrefixEscaped, path+".prefix",
			"%q matches no usual request: paths are compared after decoding and without a query", r.Prefix)
	}
}

// keys reports workspaces, keys and priorities without effect.
func (l *linter) keys() {
	c := l.configuration
	keyed := KeyedRoutes(c)
	withKeys, withPriority := 0, 0
	for i, w := range c.Workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		if len(w.Keys) == 0 {
			l.warn(CodeWorkspaceWithoutKey, path, "workspace %q has no key, so that no request belongs to it", w.Name)
			continue
		}
		withKeys++
		if w.Priority != nil {
			withPriority++
		}
		for j, k := range w.Keys {
			if k == psconfig.DigestOf("") {
				l.warn(CodeKeyEmpty, fmt.Sprintf("%s.keys[%d]", path, j), "the key is empty: callers without a key count as workspace %q", w.Name)
			}
		}
	}
	switch {
	case len(c.Workspaces) == 0:
		l.withoutWorkspaces()
	case len(c.Routes) > 0 && len(keyed) == 0:
		l.warn(CodeWorkspacesUnused, "workspaces", "all routes are public: the limits of workspaces never apply")
	case len(keyed) > 0 && withKeys == 0:
		l.warn(CodeNoKey, "workspaces", "no workspace has a key: all requests of routes that aren't public are refused with 401")
	case withPriority == withKeys:
		l.priorities()
	}
}

// withoutWorkspaces reports routes that seem to require a key.
func (l *linter) withoutWorkspaces() {
	for i, r := range l.configuration.Routes {
		if !r.Public {
			l.warn(CodeKeyNotRequired, fmt.Sprintf("routes[%d].public", i),
				"route %q isn't public, but needs no key as long as there is no workspace", r.Name)
		}
	}
}

// priorities reports priorities of routes, where all workspaces have their own.
func (l *linter) priorities() {
	for i, r := range l.configuration.Routes {
		if !r.Public && r.Priority != 0 {
			l.warn(CodePriorityUnused, fmt.Sprintf("routes[%d].priority", i),
				"no request of route %q gets its priority %d: all workspaces have their own", r.Name, r.Priority)
		}
	}
}
