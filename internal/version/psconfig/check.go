package psconfig

import (
	"fmt"
	"strings"
)

// Finding is a fault of a configuration and its place.
type Finding struct {
	// Place is the path of the faulty value, such as "routes[3].prefix".
	Path string `json:"place"`
	// Text says what is wrong with it.
	Text string `json:"text"`
}

// String joins the place and the text.
func (f Finding) String() string { return f.Path + ": " + f.Text }

// checker collects findings.
type checker struct {
	findings []Finding
}

func (c *checker) require(holds bool, place, format string, args ...any) {
	if !holds {
		c.findings = append(c.findings, Finding{place, fmt.Sprintf(format, args...)})
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
	places := map[string]bool{}
	names := map[string]bool{}
	for i, r := range c.Routes {
		k.route(fmt.Sprintf("routes[%d]", i), r, services)
		k.require(!places[r.Host+r.Prefix], fmt.Sprintf("routes[%d].prefix", i), "host %q has %q twice", r.Host, r.Prefix)
		k.require(!names[r.Name], fmt.Sprintf("routes[%d].name", i), "%q stands twice", r.Name)
		places[r.Host+r.Prefix] = true
		names[r.Name] = true
	}
	k.workspaces(c.Workspaces)
	k.require(c.Version >= 0, "version", "is negative")
	return k.findings
}

func (c *checker) service(place string, s Service, known map[string]bool) {
	c.require(s.Name != "", place+".name", "is empty")
	c.require(!known[s.Name], place+".name", "%q stands twice", s.Name)
	c.require(s.MaxConnections >= 0 && s.ColdPerSecond >= 0 && s.ColdStart >= 0, place, "a bound is negative")
}

func (c *checker) route(place string, r Route, services map[string]bool) {
	c.require(r.Host != "", place+".host", "is empty")
	c.require(strings.HasPrefix(r.Prefix, "/") && strings.HasSuffix(r.Prefix, "/"), place+".prefix", "%q does not begin and end with a slash", r.Prefix)
	c.require(r.Kind <= Download, place+".kind", "%d is no kind", r.Kind)
	c.require(r.Timeout >= 0 && r.TargetLatency >= 0, place, "a time is negative")
	c.require(r.MaxAttempts >= 1, place+".maxAttempts", "is below 1")
	c.require(len(r.Backends) > 0, place+".backends", "there are none")
	sum := 0.0
	for _, b := range r.Backends {
		c.require(services[b.Service], place+".backends", "service %q is unknown", b.Service)
		c.require(b.Weight >= 0, place+".backends", "the weight of %q is negative", b.Service)
		sum += b.Weight
	}
	c.require(sum > 0, place+".backends", "the weights add up to 0")
}

func (c *checker) workspaces(list []Workspace) {
	names := map[string]bool{}
	keys := map[Digest]string{}
	for i, w := range list {
		place := fmt.Sprintf("workspaces[%d]", i)
		c.require(w.Name != "", place+".name", "is empty")
		c.require(!names[w.Name], place+".name", "%q stands twice", w.Name)
		c.require(w.Rate >= 0 && w.Burst >= 0, place, "a rate or burst is negative")
		names[w.Name] = true
		for _, key := range w.Keys {
			owner, found := keys[key]
			c.require(!found, place+".keys", "a key is also held by %q", owner)
			keys[key] = w.Name
		}
	}
}
