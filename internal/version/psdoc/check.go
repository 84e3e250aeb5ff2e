package psdoc

import (
	"fmt"
	"strings"

	"persimmonstep/internal/version/pstoml"
)

// checker collects the findings of one document.
type checker struct {
	document *Document
	findings pstoml.Findings
}

// require adds a finding unless the condition holds or the value was already found faulty.
func (c *checker) require(condition bool, path, message string) {
	if condition || c.document.Faulty(path) {
		return
	}
	c.findings = append(c.findings, c.document.Finding(path, message))
}

// check finds the faults that need no other document.
func (d *Document) check() pstoml.Findings {
	c := &checker{document: d}
	c.require(d.Document != "", "document", "the document needs a name: document = \"…\"")
	c.checkTopology()
	c.checkServers()
	c.checkWorkspaces()
	c.checkRoutes()
	c.checkRest()
	return c.findings
}

func (c *checker) checkTopology() {
	for i, r := range c.document.Regions {
		c.require(r.Name != "", fmt.Sprintf("regions[%d].name", i), "a region needs a name")
	}
	for i, f := range c.document.FailureDomains {
		at := fmt.Sprintf("failureDomains[%d]", i)
		c.require(f.Name != "", at+".name", "a failure domain needs a name")
		c.require(f.Region != "", at+".region", "a failure domain needs a region")
	}
	for i, v := range c.document.VMs {
		at := fmt.Sprintf("vms[%d]", i)
		c.require(v.Name != "", at+".name", "a VM needs a name")
		c.require(v.FailureDomain != "", at+".failureDomain", "a VM needs a failureDomain")
		c.require(v.Callers.IsValid(), at+".callers", "a VM needs the address callers, such as \"10.0.0.1:8443\"")
		c.require(v.Peer.IsValid(), at+".peer", "a VM needs the address peer")
		c.require(v.Operator.IsValid(), at+".operator", "a VM needs the address operator")
		c.require(v.Weight == nil || *v.Weight > 0, at+".weight", "the weight must be above 0")
	}
}

func (c *checker) checkServers() {
	for i, s := range c.document.Servers {
		at := fmt.Sprintf("servers[%d]", i)
		c.require(s.Name != "", at+".name", "a backend server needs a name")
		c.require(s.FailureDomain != "", at+".failureDomain", "a backend server needs a failureDomain")
		c.require(s.Address.IsValid(), at+".address", "a backend server needs an address")
		c.require(s.Pool != "", at+".pool", "a backend server needs a pool")
		c.require(s.Slots > 0, at+".slots", "slots must be above 0")
		c.require(s.Connections == nil || *s.Connections > 0, at+".connections", "connections must be above 0")
	}
}

func (c *checker) checkWorkspaces() {
	for i, w := range c.document.Workspaces {
		at := fmt.Sprintf("workspaces[%d]", i)
		c.require(w.Name != "", at+".name", "a workspace needs a name")
		c.require(w.Rate > 0, at+".rate", "the rate must be above 0 requests per second")
		c.require(w.Burst >= 1, at+".burst", "the burst must be at least 1 request")
		c.require(w.Weight == nil || *w.Weight > 0, at+".weight", "the weight must be above 0")
	}
	for i, k := range c.document.Keys {
		at := fmt.Sprintf("keys[%d]", i)
		c.require(k.ID != "", at+".id", "a key needs an id")
		c.require(k.Workspace != "", at+".workspace", "a key needs a workspace")
		c.require(k.Digest != Digest{}, at+".digest", "a key needs a digest")
	}
}

func (c *checker) checkRoutes() {
	for i, r := range c.document.Routes {
		at := fmt.Sprintf("routes[%d]", i)
		c.require(r.Name != "", at+".name", "a route needs a name")
		c.require(strings.HasPrefix(r.Prefix, "/"), at+".prefix", "the prefix must begin with /")
		c.require(!strings.HasPrefix(r.Prefix, "/.well-known/"), at+".prefix", "the prefix /.well-known/ is reserved")
		c.require(r.Kind != "", at+".kind", "a route needs a kind: lookup, exclusive or upload")
		c.require(r.Pool != "", at+".pool", "a route needs a pool")
		c.require(!r.Open || r.Kind == KindLookup, at+".open", "only a lookup route can be open to all")
		c.require(r.MaxBodyBytes == nil || *r.MaxBodyBytes >= 0, at+".maxBodyBytes", "maxBodyBytes must not be negative")
		c.checkShift(at+".shift", r.Shift)
	}
}

func (c *checker) checkShift(at string, s *Shift) {
	if s == nil {
		return
	}
	c.require(s.Fraction == nil || (*s.Fraction >= 0 && *s.Fraction <= 1), at+".fraction", "the fraction must be from 0 to 1")
	c.require(s.Rate == nil || *s.Rate >= 0, at+".rate", "the rate must not be negative")
	c.require(s.BytesPerSecond == nil || *s.BytesPerSecond >= 0, at+".bytesPerSecond", "bytesPerSecond must not be negative")
	c.require(s.GrowthPerMinute == nil || (*s.GrowthPerMinute > 0 && *s.GrowthPerMinute <= 1), at+".growthPerMinute", "growthPerMinute must be above 0 and at most 1")
}

func (c *checker) checkRest() {
	for i, l := range c.document.Links {
		at := fmt.Sprintf("links[%d]", i)
		c.require(len(l.Between) == 2 && l.Between[0] != l.Between[1], at+".between", "a link is between two regions")
		c.require(l.BitsPerSecond > 0, at+".bitsPerSecond", "bitsPerSecond must be above 0")
	}
	for i, r := range c.document.Drains {
		c.require(r.Server != "", fmt.Sprintf("drains[%d].server", i), "a drain needs a server")
	}
	for i, b := range c.document.ClientBlocks {
		at := fmt.Sprintf("clientBlocks[%d]", i)
		c.require(b.Prefix.IsValid(), at+".prefix", "a client block needs a prefix such as \"192.0.2.0/24\"")
		c.require(b.FailureDomain != "", at+".failureDomain", "a client block needs a failureDomain")
	}
}
