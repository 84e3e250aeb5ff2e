package pslint_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"persimmonstep/internal/request/psadmission"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/internal/version/pslint"
)

const second = time.Second

// valid returns a configuration and a fleet without any finding.
func valid() (*psconfig.Configuration, *pslint.Fleet) {
	route := func(name string, k psconfig.Kind) psconfig.Route {
		return psconfig.Route{
			Name: name, Host: "eggs.test", Prefix: "/" + name + "/", Kind: k, Timeout: 2 * second, TargetLatency: second / 5, MaxAttempts: 2, Priority: 1,
			Backends: []psconfig.Backend{{Service: "prices", Weight: 9}, {Service: "ledger", Weight: 1}}, AllowedRegions: []string{"north", "south"},
		}
	}
	service := func(name string) psconfig.Service {
		return psconfig.Service{Name: name, HealthPath: "/healthz", MaxConnections: 40, ColdStart: second, ColdPerSecond: 10}
	}
	c := &psconfig.Configuration{
		Version: 7, Routes: []psconfig.Route{route("boards", psconfig.Idempotent), route("photos", psconfig.Upload)},
		Services: []psconfig.Service{service("prices"), service("ledger")},
		Workspaces: []psconfig.Workspace{
			{Name: "trays", Keys: []psconfig.Digest{"a"}, Rate: 10, Burst: 5, AllowedRegions: []string{"north"}},
			{Name: "carts", Keys: []psconfig.Digest{"b"}, Priority: lo.ToPtr(2)},
		},
		Limits: psconfig.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * second, IdleTimeout: 15 * second},
	}
	f := &pslint.Fleet{
		Regions: []string{"north", "south"}, VMs: 4, RoundTrip: 10 * time.Millisecond,
		Runs: map[string]time.Duration{"boards": 100 * time.Millisecond},
	}
	for _, s := range []string{"prices", "ledger"} {
		f.Servers = append(f.Servers, pslint.Server{s, "north"}, pslint.Server{s, "north"}, pslint.Server{s, "south"})
	}
	return c, f
}

func texts(findings []pslint.Finding) []string {
	return lo.Map(findings, func(f pslint.Finding, _ int) string { return string(f.Severity) + " " + string(f.Code) + " " + f.Path })
}

// TestRules guards against a rule that no longer reports its finding, or reports others with it.
func TestRules(t *testing.T) {
	c, f := valid()
	qt.Assert(t, pslint.Check(c, *f), qt.HasLen, 0)
	for want, change := range map[string]func(c *psconfig.Configuration, f *pslint.Fleet){
		"error route-hidden routes[1].prefix": func(c *psconfig.Configuration, _ *pslint.Fleet) { c.Routes[1].Prefix = "/boards/" },
		"error key-shared workspaces[1].keys[0]": func(c *psconfig.Configuration, _ *pslint.Fleet) {
			c.Workspaces[1].Keys = []psconfig.Digest{"a"}
		},
		"warning host-unmatched routes[0].host": func(c *psconfig.Configuration, _ *pslint.Fleet) { c.Routes[0].Host = "eggs.test:8080" },
		"warning host-unmatched routes[1].host": func(c *psconfig.Configuration, _ *pslint.Fleet) { c.Routes[1].Host = "*.eggs.test" },
		"warning prefix-escaped routes[0].prefix": func(c *psconfig.Configuration, _ *pslint.Fleet) {
			c.Routes[0].Prefix = "/caf%C3%A9/"
		},
		"warning prefix-escaped routes[1].prefix": func(c *psconfig.Configuration, _ *pslint.Fleet) { c.Routes[1].Prefix = "/photos?of=/" },
		"warning weight-zero routes[0].backends[1].weight": func(c *psconfig.Configuration, _ *pslint.Fleet) {
			c.Routes[0].Backends[1].Weight = 0
		},
		"warning service-unused services[2]": func(c *psconfig.Configuration, _ *pslint.Fleet) {
			c.Services = append(c.Services, psconfig.Service{Name: "spare"})
		},
		"warning health-path services[0].healthPath": func(c *psconfig.Configuration, _ *pslint.Fleet) { c.Services[0].HealthPath = "healthz" },
		"warning health-path services[1].healthPath": func(c *psconfig.Configuration, _ *pslint.Fleet) { c.Services[1].HealthPath = "/h?deep=1" },
		"warning key-not-required routes[1].public": func(c *psconfig.Configuration, _ *pslint.Fleet) {
			c.Workspaces, c.Routes[0].Public = nil, true
		},
		"warning key-empty workspaces[0].keys[0]": func(c *psconfig.Configuration, _ *pslint.Fleet) {
			c.Workspaces[0].Keys[0] = psconfig.DigestOf("")
		},
		"warning workspace-without-key workspaces[0], warning no-key workspaces": func(c *psconfig.Configuration, _ *pslint.Fleet) {
			c.Workspaces = []psconfig.Workspace{{Name: "carts"}}
		},
		"warning workspace-without-key workspaces[0]": func(c *psconfig.Configuration, _ *pslint.Fleet) {
			c.Workspaces[0].Keys, c.Workspaces[1].Priority = nil, nil
		},
		"warning workspaces-unused workspaces": func(c *psconfig.Configuration, _ *pslint.Fleet) {
			c.Routes[0].Public, c.Routes[1].Public = true, true
		},
		"warning priority-unused routes[1].priority": func(c *psconfig.Configuration, _ *pslint.Fleet) {
			c.Workspaces[0].Priority, c.Routes[0].Public = lo.ToPtr(0), true
		},
		"warning region-unknown routes[0].allowedRegions[1]": func(c *psconfig.Configuration, _ *pslint.Fleet) {
			c.Routes[0].AllowedRegions[1] = "sounth"
		},
		"warning region-unknown workspaces[0].allowedRegions[1]": func(c *psconfig.Configuration, _ *pslint.Fleet) {
			c.Workspaces[0].AllowedRegions = []string{"north", "nroth"}
		},
		"warning regions-disjoint workspaces[0].allowedRegions": func(c *psconfig.Configuration, f *pslint.Fleet) {
			c.Routes[0].AllowedRegions, c.Routes[0].MaxAttempts, f.Servers = []string{"south"}, 1, nil
		},
		"warning no-server routes[0].allowedRegions": func(c *psconfig.Configuration, f *pslint.Fleet) {
			c.Routes[0].AllowedRegions, c.Routes[0].MaxAttempts, c.Workspaces[0].AllowedRegions = []string{"south"}, 1, nil
			f.Servers = f.Servers[:5]
		},
		"warning no-server routes[0].backends[0].service": func(c *psconfig.Configuration, f *pslint.Fleet) {
			c.Routes = c.Routes[:1]
			c.Routes[0].AllowedRegions, f.Servers = nil, f.Servers[3:]
		},
		"warning no-server workspaces[0].allowedRegions": func(c *psconfig.Configuration, f *pslint.Fleet) {
			c.Routes = c.Routes[:1]
			c.Routes[0].AllowedRegions, c.Routes[0].MaxAttempts = nil, 1
			c.Services = append(c.Services, psconfig.Service{Name: "photos"})
			c.Routes[0].Backends = append(c.Routes[0].Backends, psconfig.Backend{Service: "photos", Weight: 1})
			f.Servers = append(f.Servers, pslint.Server{"photos", "south"})
		},
		"warning attempts-above-servers routes[0].maxAttempts": func(c *psconfig.Configuration, _ *pslint.Fleet) {
			c.Routes[0].MaxAttempts, c.Routes[0].Backends = 4, c.Routes[0].Backends[:1]
		},
		"warning target-above-timeout routes[0].targetLatency": func(c *psconfig.Configuration, _ *pslint.Fleet) {
			c.Routes[0].TargetLatency = 3 * second
		},
		"warning target-zero routes[0].targetLatency": func(c *psconfig.Configuration, _ *pslint.Fleet) { c.Routes[0].TargetLatency = 0 },
		"warning timeout-below-run routes[0].timeout": func(_ *psconfig.Configuration, f *pslint.Fleet) { f.Runs["boards"] = 3 * second },
		"warning attempts-above-timeout routes[0].maxAttempts": func(_ *psconfig.Configuration, f *pslint.Fleet) {
			f.Runs["boards"] = 2*second - 9*time.Millisecond
		},
		"warning burst-without-rate workspaces[0].burst":   func(c *psconfig.Configuration, _ *pslint.Fleet) { c.Workspaces[0].Rate = 0 },
		"warning rate-below-burst workspaces[0].rate":      func(c *psconfig.Configuration, _ *pslint.Fleet) { c.Workspaces[0].Rate = 0.001 },
		"warning cold-rate-zero services[0].coldPerSecond": func(c *psconfig.Configuration, _ *pslint.Fleet) { c.Services[0].ColdPerSecond = 0 },
		"warning connections-below-vms services[0].maxConnections": func(c *psconfig.Configuration, _ *pslint.Fleet) {
			c.Services[0].MaxConnections = 7
		},
		"warning limit-negative limits.maxHeaderBytes": func(c *psconfig.Configuration, _ *pslint.Fleet) { c.Limits.MaxHeaderBytes = -1 },
		"warning limit-negative limits.maxBodyBytes":   func(c *psconfig.Configuration, _ *pslint.Fleet) { c.Limits.MaxBodyBytes = -1 },
		"warning limit-negative limits.headerTimeout":  func(c *psconfig.Configuration, _ *pslint.Fleet) { c.Limits.HeaderTimeout = -1 },
		"warning limit-negative limits.idleTimeout":    func(c *psconfig.Configuration, _ *pslint.Fleet) { c.Limits.IdleTimeout = -1 },
		"warning header-time-above-idle limits.headerTimeout": func(c *psconfig.Configuration, _ *pslint.Fleet) {
			c.Limits.HeaderTimeout = 20 * second
		},
		"warning header-time-above-idle limits.idleTimeout": func(c *psconfig.Configuration, _ *pslint.Fleet) {
			c.Limits.HeaderTimeout, c.Limits.IdleTimeout = 0, 5*second
		},
		"warning header-excludes-route limits.maxHeaderBytes": func(c *psconfig.Configuration, _ *pslint.Fleet) { c.Limits.MaxHeaderBytes = 20 },
		"warning body-limits-upload-route limits.maxBodyBytes": func(c *psconfig.Configuration, _ *pslint.Fleet) {
			c.Limits.MaxBodyBytes = 1000
		},
		"warning body-below-header limits.maxBodyBytes": func(c *psconfig.Configuration, _ *pslint.Fleet) {
			c.Limits.MaxBodyBytes, c.Routes[1].Kind = 1000, psconfig.Download
		},
	} {
		t.Run(want, func(t *testing.T) {
			c, f := valid()
			change(c, f)
			got := ""
			for _, v := range lo.Uniq(texts(pslint.Check(c, *f))) {
				got += ", " + v
			}
			qt.Assert(t, got, qt.Equals, ", "+want)
		})
	}
}

// TestAllAllowedRegionsAreUnknown guards against a finding that doesn't say that nothing can run.
func TestAllAllowedRegionsAreUnknown(t *testing.T) {
	c, f := valid()
	c.Routes[0].AllowedRegions, f.Servers, c.Workspaces[0].AllowedRegions = []string{"east"}, nil, nil
	findings := pslint.Check(c, *f)
	qt.Assert(t, findings, qt.HasLen, 1)
	qt.Assert(t, findings[0].Text, qt.Contains, "all requests are refused")
}

// TestNothingIsReportedOfUnknownFleet guards against findings about regions, servers and VMs that are not known.
func TestNothingIsReportedOfUnknownFleet(t *testing.T) {
	c, _ := valid()
	c.Routes[0].AllowedRegions, c.Workspaces[0].AllowedRegions, c.Routes[0].MaxAttempts = []string{"east"}, nil, 50
	c.Services[0].MaxConnections = 1
	qt.Assert(t, pslint.Check(c, pslint.Fleet{}), qt.HasLen, 0)
}

// TestSmallBodiesWithDefaultHeaderLimit guards against a finding about a header limit that the operator didn't give.
func TestSmallBodiesWithDefaultHeaderLimit(t *testing.T) {
	c, f := valid()
	c.Limits, c.Routes[1].Kind = psconfig.Limits{MaxBodyBytes: 4096}, psconfig.AtMostOnce
	qt.Assert(t, pslint.Check(c, *f), qt.HasLen, 0)
}

// TestRequestWithoutTargetMustNotWait shows what target-zero states.
func TestRequestWithoutTargetMustNotWait(t *testing.T) {
	r := psadmission.Request{Expected: 50 * time.Millisecond, Wait: time.Millisecond, Remaining: second, MeanRun: 40 * time.Millisecond}
	rejected, found := psadmission.Decide(r).(psadmission.Rejected)
	qt.Assert(t, found, qt.IsTrue)
	qt.Assert(t, rejected.ForSlots(), qt.IsTrue)
}
