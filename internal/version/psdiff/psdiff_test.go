package psdiff_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"persimmonstep/internal/version/psconfig"
	"persimmonstep/internal/version/psdiff"
	"persimmonstep/internal/version/pslint"
)

const second = time.Second

func configuration(version int64) *psconfig.Configuration {
	return &psconfig.Configuration{
		Version: version,
		Routes: []psconfig.Route{
			{
				Name: "boards", Host: "eggs.test", Prefix: "/boards/", Timeout: 2 * second, TargetLatency: second / 5, MaxAttempts: 2,
				Backends: []psconfig.Backend{{Service: "prices", Weight: 9}, {Service: "ledger", Weight: 1}}, AllowedRegions: []string{"north", "south"},
			},
			{Name: "all", Host: "eggs.test", Prefix: "/", MaxAttempts: 1, Affinity: true, Kind: psconfig.Idempotent, Backends: []psconfig.Backend{{Service: "prices", Weight: 1}}},
		},
		Services: []psconfig.Service{{Name: "prices", HealthPath: "/h", MaxConnections: 40, ColdStart: second, ColdPerSecond: 10}, {Name: "ledger"}},
		Workspaces: []psconfig.Workspace{
			{Name: "trays", Keys: []psconfig.Digest{"a", "b"}, Rate: 10, Burst: 5},
			{Name: "carts", Keys: []psconfig.Digest{"c"}},
		},
	}
}

// TestChanges guards against a change that is not listed, or not with the reason to look at it twice.
func TestChanges(t *testing.T) {
	for want, change := range map[string]func(c *psconfig.Configuration){
		"": func(c *psconfig.Configuration) {
			c.Routes[0], c.Routes[1] = c.Routes[1], c.Routes[0]
			c.Routes[1].AllowedRegions = []string{"south", "north"}
			c.Routes[0].Backends[0].Weight = 100
		},
		"warning moves-traffic routes[0].host": func(c *psconfig.Configuration) { c.Routes[0].Host = "eggs.example" },
		"warning moves-traffic routes[1].prefix": func(c *psconfig.Configuration) {
			c.Routes[1].Prefix = "/all/"
		},
		"note changed routes[0].name":          func(c *psconfig.Configuration) { c.Routes[0].Name = "panels" },
		"warning moves-traffic routes[1].name": func(c *psconfig.Configuration) { c.Routes[1].Name = "rest" },
		"warning moves-traffic routes[2]": func(c *psconfig.Configuration) {
			c.Routes = append(c.Routes, psconfig.Route{Name: "today", Host: "eggs.test", Prefix: "/boards/today/"})
		},
		"note added routes[2]": func(c *psconfig.Configuration) {
			c.Routes = append(c.Routes, psconfig.Route{Name: "x", Host: "y.test", Prefix: "/"})
		},
		"warning moves-traffic routes[0] in force":                                           func(c *psconfig.Configuration) { c.Routes = c.Routes[1:] },
		"warning may-run-again routes[0].kind":                                               func(c *psconfig.Configuration) { c.Routes[0].Kind = psconfig.Idempotent },
		"note changed routes[1].kind":                                                        func(c *psconfig.Configuration) { c.Routes[1].Kind = psconfig.AtMostOnce },
		"warning shortens-time routes[0].timeout":                                            func(c *psconfig.Configuration) { c.Routes[0].Timeout = second },
		"warning shortens-time routes[1].timeout":                                            func(c *psconfig.Configuration) { c.Routes[1].Timeout = second },
		"note changed routes[0].timeout":                                                     func(c *psconfig.Configuration) { c.Routes[0].Timeout = 0 },
		"note changed routes[0].targetLatency":                                               func(c *psconfig.Configuration) { c.Routes[0].TargetLatency = second },
		"note changed routes[0].priority":                                                    func(c *psconfig.Configuration) { c.Routes[0].Priority = 4 },
		"note changed routes[0].maxAttempts":                                                 func(c *psconfig.Configuration) { c.Routes[0].MaxAttempts = 3 },
		"warning opens-route routes[0].public":                                               func(c *psconfig.Configuration) { c.Routes[0].Public = true },
		"warning moves-traffic routes[1].affinity":                                           func(c *psconfig.Configuration) { c.Routes[1].Affinity = false },
		"warning moves-traffic routes[0].allowedRegions":                                     func(c *psconfig.Configuration) { c.Routes[0].AllowedRegions = nil },
		"warning moves-traffic routes[0].backends, warning moves-traffic routes[0].backends": func(c *psconfig.Configuration) { c.Routes[0].Backends[0].Weight = 1 },
		"note added services[2]":                                                             func(c *psconfig.Configuration) { c.Services = append(c.Services, psconfig.Service{Name: "x"}) },
		"note removed services[1] in force":                                                  func(c *psconfig.Configuration) { c.Services = c.Services[:1] },
		"note changed services[0].healthPath":                                                func(c *psconfig.Configuration) { c.Services[0].HealthPath = "/ok" },
		"warning lowers-limit services[0].maxConnections":                                    func(c *psconfig.Configuration) { c.Services[0].MaxConnections = 20 },
		"note changed services[0].coldStart":                                                 func(c *psconfig.Configuration) { c.Services[0].ColdStart = 2 * second },
		"warning lowers-rate services[0].coldPerSecond":                                      func(c *psconfig.Configuration) { c.Services[0].ColdPerSecond = 0 },
		"warning lowers-rate workspaces[0].rate":                                             func(c *psconfig.Configuration) { c.Workspaces[0].Rate = 9 },
		"warning lowers-rate workspaces[1].rate":                                             func(c *psconfig.Configuration) { c.Workspaces[1].Rate = 9 },
		"warning lifts-limit workspaces[0].rate":                                             func(c *psconfig.Configuration) { c.Workspaces[0].Rate = 0 },
		"warning lowers-rate workspaces[0].burst":                                            func(c *psconfig.Configuration) { c.Workspaces[0].Burst = 1 },
		"note changed workspaces[0].burst":                                                   func(c *psconfig.Configuration) { c.Workspaces[0].Burst = 6 },
		"note changed workspaces[0].priority":                                                func(c *psconfig.Configuration) { c.Workspaces[0].Priority = lo.ToPtr(0) },
		"warning moves-traffic workspaces[0].allowedRegions":                                 func(c *psconfig.Configuration) { c.Workspaces[0].AllowedRegions = []string{"north"} },
		"warning withdraws-key workspaces[0].keys":                                           func(c *psconfig.Configuration) { c.Workspaces[0].Keys = []psconfig.Digest{"a"} },
		"note changed workspaces[0].keys":                                                    func(c *psconfig.Configuration) { c.Workspaces[0].Keys = []psconfig.Digest{"a", "b", "d"} },
		"warning moves-key workspaces[0].keys, note changed workspaces[1].keys": func(c *psconfig.Configuration) {
			c.Workspaces[0].Keys, c.Workspaces[1].Keys = []psconfig.Digest{"a"}, []psconfig.Digest{"c", "b"}
		},
		"warning withdraws-key workspaces[1] in force": func(c *psconfig.Configuration) { c.Workspaces = c.Workspaces[:1] },
		"note added workspaces[2]":                     func(c *psconfig.Configuration) { c.Workspaces = append(c.Workspaces, psconfig.Workspace{Name: "x"}) },
		"warning opens-route workspaces, warning withdraws-key workspaces[0] in force, warning withdraws-key workspaces[1] in force": func(c *psconfig.Configuration) { c.Workspaces = nil },
		"warning lowers-limit limits.maxHeaderBytes":                          func(c *psconfig.Configuration) { c.Limits.MaxHeaderBytes = 8 << 10 },
		"warning lowers-limit limits.maxBodyBytes":                            func(c *psconfig.Configuration) { c.Limits.MaxBodyBytes = 1 << 20 },
		"warning shortens-time limits.headerTimeout":                          func(c *psconfig.Configuration) { c.Limits.HeaderTimeout = 9 * second },
		"warning shortens-time limits.idleTimeout":                            func(c *psconfig.Configuration) { c.Limits.IdleTimeout = 9 * second },
		"note changed limits.idleTimeout":                                     func(c *psconfig.Configuration) { c.Limits.IdleTimeout = 200 * second },
		"note changed limits.maxHeaderBytes":                                  func(c *psconfig.Configuration) { c.Limits.MaxHeaderBytes = 128 << 10 },
		"note changed routes[0].maxAttempts, error version-not-newer version": func(c *psconfig.Configuration) { c.Version, c.Routes[0].MaxAttempts = 7, 1 },
	} {
		t.Run(want, func(t *testing.T) {
			next := configuration(8)
			change(next)
			qt.Assert(t, describe(psdiff.Compare(configuration(7), next, true)), qt.Equals, want)
		})
	}
}

func describe(findings []pslint.Finding) string {
	return strings.Join(lo.Map(findings, func(f pslint.Finding, _ int) string {
		text := string(f.Severity) + " " + string(f.Code) + " " + f.Path
		if f.InForce {
			text += " in force"
		}
		return text
	}), ", ")
}

// TestReverseChanges guards against risks that are seen in one direction only.
func TestReverseChanges(t *testing.T) {
	old, next := configuration(7), configuration(8)
	old.Routes[0].Public = true
	qt.Assert(t, describe(psdiff.Compare(old, next, true)), qt.Equals, "warning requires-key routes[0].public")
	old = configuration(7)
	old.Workspaces = nil
	qt.Assert(t, describe(psdiff.Compare(old, next, true)), qt.Equals,
		"warning requires-key workspaces, note added workspaces[0], note added workspaces[1]")
}

// TestKeysOfAStateAreNotCompared guards against a state, which has no keys, that makes all keys look new.
func TestKeysOfAStateAreNotCompared(t *testing.T) {
	old, next := configuration(7), configuration(8)
	for i := range old.Workspaces {
		old.Workspaces[i].Keys = nil
	}
	qt.Assert(t, psdiff.Compare(old, next, false), qt.HasLen, 0)
	next.Workspaces = next.Workspaces[:1]
	qt.Assert(t, describe(psdiff.Compare(old, next, false)), qt.Equals, "warning withdraws-key workspaces[1] in force")
}

func TestRemovedWorkspaceWithoutKeys(t *testing.T) {
	old, next := configuration(7), configuration(8)
	old.Workspaces = append(old.Workspaces, psconfig.Workspace{Name: "spare"})
	qt.Assert(t, describe(psdiff.Compare(old, next, true)), qt.Equals, "note removed workspaces[2] in force")
	old.Workspaces[2].Keys, next.Workspaces[0].Keys = []psconfig.Digest{"b"}, []psconfig.Digest{"a", "b"}
	old.Workspaces[0].Keys = []psconfig.Digest{"a"}
	qt.Assert(t, describe(psdiff.Compare(old, next, true)), qt.Equals, "note changed workspaces[0].keys, warning moves-key workspaces[2] in force")
}

// TestNoKeyIsPrinted guards against texts that contain a key or its digest.
func TestNoKeyIsPrinted(t *testing.T) {
	old, next := configuration(7), configuration(8)
	digest := psconfig.DigestOf("secret")
	old.Workspaces[0].Keys, next.Workspaces[1].Keys = []psconfig.Digest{digest}, []psconfig.Digest{digest, "x"}
	findings := psdiff.Compare(old, next, true)
	qt.Assert(t, len(findings) > 2, qt.IsTrue)
	for _, f := range findings {
		qt.Check(t, f.Text+f.From+f.To, qt.Not(qt.Contains), string(digest))
	}
}
