package psconfig_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/version/psconfig"
)

func route(name, prefix string) psconfig.Route {
	return psconfig.Route{Name: name, Host: "eggs.test", Prefix: prefix, MaxAttempts: 1, Backends: []psconfig.Backend{{Service: "prices", Weight: 1}}}
}

func valid() *psconfig.Configuration {
	return &psconfig.Configuration{
		Version:    1,
		Services:   []psconfig.Service{{Name: "prices"}},
		Routes:     []psconfig.Route{route("all", "/"), route("boards", "/boards/"), route("today", "/boards/today/")},
		Workspaces: []psconfig.Workspace{{Name: "trays", Keys: []psconfig.Digest{"k-1"}}, {Name: "carts", Keys: []psconfig.Digest{"k-2"}}},
	}
}

func ExampleIndex_Route() {
	x := psconfig.NewIndex(valid())
	for _, path := range []string{"/boards/today/1", "/boards/1", "/orders/"} {
		r, _ := x.Route("eggs.test", path)
		fmt.Println(path, r.Name)
	}
	// Output:
	// /boards/today/1 today
	// /boards/1 boards
	// /orders/ all
}

func TestCheckReportsPathOfEachFinding(t *testing.T) {
	qt.Assert(t, valid().Check(), qt.HasLen, 0)
	for path, change := range map[string]func(c *psconfig.Configuration){
		"routes[1].prefix":              func(c *psconfig.Configuration) { c.Routes[1].Prefix = "/boards" },
		"routes[2].prefix":              func(c *psconfig.Configuration) { c.Routes[2].Prefix = "/boards/" },
		"routes[0].maxAttempts":         func(c *psconfig.Configuration) { c.Routes[0].MaxAttempts = 0 },
		"routes[0].backends":            func(c *psconfig.Configuration) { c.Routes[0].Backends = []psconfig.Backend{{Service: "prices"}} },
		"routes[0].backends[0].service": func(c *psconfig.Configuration) { c.Routes[0].Backends[0].Service = "other" },
		"routes[0].backends[1].weight": func(c *psconfig.Configuration) {
			c.Routes[0].Backends = append(c.Routes[0].Backends, psconfig.Backend{Service: "prices", Weight: -0.5})
		},
		"routes[0].timeout":          func(c *psconfig.Configuration) { c.Routes[0].Timeout = -1 },
		"routes[0].targetLatency":    func(c *psconfig.Configuration) { c.Routes[0].TargetLatency = -1 },
		"services[0].maxConnections": func(c *psconfig.Configuration) { c.Services[0].MaxConnections = -1 },
		"services[0].coldPerSecond":  func(c *psconfig.Configuration) { c.Services[0].ColdPerSecond = -0.1 },
		"services[0].coldStart":      func(c *psconfig.Configuration) { c.Services[0].ColdStart = -1 },
		"workspaces[1].keys[0]":      func(c *psconfig.Configuration) { c.Workspaces[1].Keys[0] = "k-1" },
		"workspaces[0].rate":         func(c *psconfig.Configuration) { c.Workspaces[0].Rate = -1 },
		"workspaces[0].burst":        func(c *psconfig.Configuration) { c.Workspaces[0].Burst = -1 },
		"services[0].name":           func(c *psconfig.Configuration) { c.Services = append([]psconfig.Service{{}}, c.Services...) },
		"services[1].name":           func(c *psconfig.Configuration) { c.Services = append(c.Services, c.Services[0]) },
		"routes[0].host":             func(c *psconfig.Configuration) { c.Routes[0].Host = "" },
		"routes[1].kind":             func(c *psconfig.Configuration) { c.Routes[1].Kind = psconfig.Download + 1 },
		"routes[2].name":             func(c *psconfig.Configuration) { c.Routes[2].Name = "all" },
		"workspaces[0].name":         func(c *psconfig.Configuration) { c.Workspaces[0].Name = "" },
		"workspaces[1].name":         func(c *psconfig.Configuration) { c.Workspaces[1].Name = "trays" },
		"version":                    func(c *psconfig.Configuration) { c.Version = -1 },
	} {
		t.Run(path, func(t *testing.T) {
			c := valid()
			change(c)
			findings := c.Check()
			qt.Assert(t, findings, qt.HasLen, 1)
			qt.Assert(t, findings[0].Path, qt.Equals, path)
		})
	}
}

// TestRouteWithoutBackends guards against a route that a VM accepts and can send nowhere.
func TestRouteWithoutBackends(t *testing.T) {
	c := valid()
	c.Routes[0].Backends = nil
	findings := c.Check()
	qt.Assert(t, findings, qt.HasLen, 2)
	qt.Assert(t, findings[0].Code, qt.Equals, psconfig.CodeNoBackend)
	qt.Assert(t, findings[1].Code, qt.Equals, psconfig.CodeNoWeight)
}

func TestAllowedRegionsIntersectRouteAndWorkspace(t *testing.T) {
	r, w := &psconfig.Route{}, &psconfig.Workspace{}
	_, unrestricted := psconfig.AllowedRegions(r, w)
	qt.Assert(t, unrestricted, qt.IsTrue)
	w.AllowedRegions = []string{"north", "south"}
	regions, unrestricted := psconfig.AllowedRegions(r, w)
	qt.Assert(t, unrestricted, qt.IsFalse)
	qt.Assert(t, regions, qt.DeepEquals, []string{"north", "south"})
	r.AllowedRegions = []string{"south", "east"}
	regions, _ = psconfig.AllowedRegions(r, w)
	qt.Assert(t, regions, qt.DeepEquals, []string{"south"})
}

func TestWorkspaceIsFoundByKeyDigest(t *testing.T) {
	c := valid()
	c.Workspaces[0].Keys = []psconfig.Digest{psconfig.DigestOf("k-9")}
	x := psconfig.NewIndex(c)
	w, found := x.WorkspaceByKey("k-9")
	qt.Assert(t, found, qt.IsTrue)
	qt.Assert(t, w.Name, qt.Equals, "trays")
	_, found = x.WorkspaceByKey(string(psconfig.DigestOf("k-9")))
	qt.Assert(t, found, qt.IsFalse)
}
