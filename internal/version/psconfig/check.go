package psconfig

import (
	"fmt"
	"strings"
)

// Finding is a fault in a configuration.
type Finding struct {
	// Path locates the invalid value, such as "routes[3].prefix".
	Path string `json:"place"`
	// Text describes the fault.
	Text string `json:"text"`
}

// String returns the finding as "path: text".
func (f Finding) String() string { return f.Path + ": " + f.Text }

type checker struct {
	findings []Finding
}

func (c *checker) require(holds bool, path, format string, args ...any) {
	if !holds {
		c.findings = append(c.findings, Finding{path, fmt.Sprintf(format, args...)})
	}
}

// Check returns all faults of the configuration.
func (c *Configuration) Check() []Finding {
	k := &checker{}
	services := map[string]bool{}
	for i, s := range c.Services {
		k.service(fmt.Sprintf("services[%d]", i), s, services)
		services[s.Name] = true
	}
	prefixes := map[string]bool{}
	names := map[string]bool{}
	for i, r := range c.Routes {
		k.route(fmt.Sprintf("routes[%d]", i), r, services)
		k.require(!prefixes[r.Host+r.Prefix], fmt.Sprintf("routes[%d].prefix", i),
			"host %q: duplicate prefix %q", r.Host, r.Prefix)
		k.require(!names[r.Name], fmt.Sprintf("routes[%d].name", i), "duplicate name %q", r.Name)
		prefixes[r.Host+r.Prefix] = true
		names[r.Name] = true
	}
	k.workspaces(c.Workspaces)
	k.require(c.Version >= 0, "version", "must not be negative")
	return k.findings
}

func (c *checker) service(path string, s Service, names map[string]bool) {
	c.require(s.Name != "", path+".name", "must not be empty")
	c.require(!names[s.Name], path+".name", "duplicate name %q", s.Name)
	c.require(s.MaxConnections >= 0 && s.ColdPerSecond >= 0 && s.ColdStart >= 0, path,
		"connection limit, cold request rate and cold-start duration must not be negative")
}

func (c *checker) route(path string, r Route, services map[string]bool) {
	c.require(r.Host != "", path+".host", "must not be empty")
	c.require(strings.HasPrefix(r.Prefix, "/") && strings.HasSuffix(r.Prefix, "/"), path+".prefix",
		"%q must begin and end with a slash", r.Prefix)
	c.require(r.Kind <= Download, path+".kind", "unknown kind %d", r.Kind)
	c.require(r.Timeout >= 0 && r.TargetLatency >= 0, path, "timeout and target latency must not be negative")
	c.require(r.MaxAttempts >= 1, path+".maxAttempts", "must be at least 1")
	c.require(len(r.Backends) > 0, path+".backends", "at least one backend is required")
	sum := 0.0
	for _, b := range r.Backends {
		c.require(services[b.Service], path+".backends", "unknown service %q", b.Service)
		c.require(b.Weight >= 0, path+".backends", "weight of %q must not be negative", b.Service)
		sum += b.Weight
	}
	c.require(sum > 0, path+".backends", "sum of the weights must be positive")
}

func (c *checker) workspaces(list []Workspace) {
	names := map[string]bool{}
	keys := map[Digest]string{}
	for i, w := range list {
		path := fmt.Sprintf("workspaces[%d]", i)
		c.require(w.Name != "", path+".name", "must not be empty")
		c.require(!names[w.Name], path+".name", "duplicate name %q", w.Name)
		c.require(w.Rate >= 0 && w.Burst >= 0, path, "rate and burst must not be negative")
		names[w.Name] = true
		for _, key := range w.Keys {
			owner, found := keys[key]
			c.require(!found, path+".keys", "key already belongs to workspace %q", owner)
			keys[key] = w.Name
		}
	}
}
