package psconfig

import (
	"fmt"
	"strings"
)

// Code identifies the rule that a finding results from.
type Code string

// The rules of [Configuration.Check].
const (
	CodeNameMissing    Code = "name-missing"
	CodeNameTaken      Code = "name-taken"
	CodeNegative       Code = "negative"
	CodeHostMissing    Code = "host-missing"
	CodePrefixInvalid  Code = "prefix-invalid"
	CodeRouteHidden    Code = "route-hidden"
	CodeKindUnknown    Code = "kind-unknown"
	CodeNoAttempt      Code = "no-attempt"
	CodeNoBackend      Code = "no-backend"
	CodeServiceUnknown Code = "service-unknown"
	CodeNoWeight       Code = "no-weight"
	CodeKeyShared      Code = "key-shared"
)

// Finding is a fault in a configuration.
type Finding struct {
	// Path locates the invalid value, such as "routes[3].prefix".
	Path string `json:"place"`
	// Text describes the fault.
	Text string `json:"text"`
	// Code identifies the rule; empty for unknown parts of a document.
	Code Code `json:"-"`
}

// String returns the finding as "path: text".
func (f Finding) String() string { return f.Path + ": " + f.Text }

type checker struct {
	findings []Finding
}

func (c *checker) require(holds bool, code Code, path, format string, args ...any) {
	if !holds {
		c.findings = append(c.findings, Finding{path, fmt.Sprintf(format, args...), code})
	}
}

func (c *checker) requireNotNegative(v float64, path string) {
	c.require(v >= 0, CodeNegative, path, "must not be negative")
}

// Check returns all faults of the configuration. VMs ignore a configuration that has any.
func (c *Configuration) Check() []Finding {
	k := &checker{}
	services := map[string]bool{}
	for i, s := range c.Services {
		k.service(fmt.Sprintf("services[%d]", i), s, services)
		services[s.Name] = true
	}
	first := map[string]string{}
	names := map[string]bool{}
	for i, r := range c.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		k.route(path, r, services)
		earlier, hidden := first[r.Host+r.Prefix]
		k.require(!hidden, CodeRouteHidden, path+".prefix", "duplicate prefix %q: route %q of host %q hides it", r.Prefix, earlier, r.Host)
		if !hidden {
			first[r.Host+r.Prefix] = r.Name
		}
		k.require(!names[r.Name], CodeNameTaken, path+".name", "duplicate name %q", r.Name)
		names[r.Name] = true
	}
	k.workspaces(c.Workspaces)
	k.requireNotNegative(float64(c.Version), "version")
	return k.findings
}

func (c *checker) service(path string, s Service, names map[string]bool) {
	c.require(s.Name != "", CodeNameMissing, path+".name", "must not be empty")
	c.require(!names[s.Name], CodeNameTaken, path+".name", "duplicate name %q", s.Name)
	c.requireNotNegative(float64(s.MaxConnections), path+".maxConnections")
	c.requireNotNegative(s.ColdPerSecond, path+".coldPerSecond")
	c.requireNotNegative(s.ColdStart.Seconds(), path+".coldStart")
}

func (c *checker) route(path string, r Route, services map[string]bool) {
	c.require(r.Host != "", CodeHostMissing, path+".host", "must not be empty")
	c.require(strings.HasPrefix(r.Prefix, "/") && strings.HasSuffix(r.Prefix, "/"), CodePrefixInvalid, path+".prefix",
		"%q must begin and end with a slash", r.Prefix)
	c.require(r.Kind <= Download, CodeKindUnknown, path+".kind", "unknown kind %d", r.Kind)
	c.requireNotNegative(r.Timeout.Seconds(), path+".timeout")
	c.requireNotNegative(r.TargetLatency.Seconds(), path+".targetLatency")
	c.require(r.MaxAttempts >= 1, CodeNoAttempt, path+".maxAttempts", "must be at least 1")
	c.require(len(r.Backends) > 0, CodeNoBackend, path+".backends", "at least one backend is required")
	sum := 0.0
	for i, b := range r.Backends {
		backend := fmt.Sprintf("%s.backends[%d]", path, i)
		c.require(services[b.Service], CodeServiceUnknown, backend+".service", "unknown service %q", b.Service)
		c.require(b.Weight >= 0, CodeNegative, backend+".weight", "weight of %q must not be negative", b.Service)
		sum += b.Weight
	}
	c.require(sum > 0, CodeNoWeight, path+".backends", "sum of the weights must be positive")
}

func (c *checker) workspaces(list []Workspace) {
	names := map[string]bool{}
	keys := map[Digest]string{}
	for i, w := range list {
		path := fmt.Sprintf("workspaces[%d]", i)
		c.require(w.Name != "", CodeNameMissing, path+".name", "must not be empty")
		c.require(!names[w.Name], CodeNameTaken, path+".name", "duplicate name %q", w.Name)
		c.requireNotNegative(w.Rate, path+".rate")
		c.requireNotNegative(w.Burst, path+".burst")
		names[w.Name] = true
		for j, key := range w.Keys {
			owner, found := keys[key]
			c.require(!found, CodeKeyShared, fmt.Sprintf("%s.keys[%d]", path, j), "key already belongs to workspace %q", owner)
			keys[key] = w.Name
		}
	}
}
