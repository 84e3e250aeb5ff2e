// Package psscenario defines what an experiment runs: a model of a firm's installation, its load, and
// a timetable of faults to inject.
package psscenario

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"persimmonstep/internal/version/pstoml"
)

const (
	defaultSpan   = 8 * time.Second
	defaultWarmUp = 3 * time.Second
	defaultLoad   = 0.6
	defaultFactor = 5
	maxSpan       = time.Minute
)

// Scenario is the definition of one experiment, read from a TOML file.
type Scenario struct {
	// Name identifies the scenario.
	Name string `toml:"name"`
	// Seed is the seed of the random load.
	Seed uint64 `toml:"seed"`
	// Span is how long the load lasts; 8 s if absent.
	Span pstoml.Duration `toml:"span"`
	// WarmUp is the time before the load, in which VMs get their shares of the rates and the token buckets
	// fill; 3 s if absent.
	WarmUp pstoml.Duration `toml:"warmUp"`
	// Load is the rate at which each workspace sends, as a fraction of its limit; 0.6 if absent.
	Load float64 `toml:"load"`
	// Busy is a workspace that sends a multiple of its rate.
	Busy *Busy `toml:"busy"`
	// Settle is how long the load lasts before requests count as in target or not.
	Settle pstoml.Duration `toml:"settle"`
	// Site is the installation; the models of the firms if absent.
	Site *Site `toml:"site"`
	// Surges are times of a multiple load of a route or a workspace of the site.
	Surges []Surge `toml:"surges"`
	// Faults is the timetable of faults to inject.
	Faults []Fault `toml:"faults"`
}

// Busy is a workspace that exceeds its rate.
type Busy struct {
	// Workspace is the index of the workspace; 0 is the largest.
	Workspace int `toml:"workspace"`
	// Factor is the ratio of the load to its rate; 5 if absent.
	Factor float64 `toml:"factor"`
}

// FaultKind is the kind of an injected fault.
type FaultKind string

const (
	// FaultKillVM stops a VM as a crash does.
	FaultKillVM FaultKind = "killVM"
	// FaultStopVM shuts down a VM gracefully.
	FaultStopVM FaultKind = "stopVM"
	// FaultKillRegion stops all VMs and backend servers of a region as a crash does.
	FaultKillRegion FaultKind = "killRegion"
	// FaultPartitionRegion drops all traffic between the VMs of a region and the others, and its calls to the store.
	FaultPartitionRegion FaultKind = "cutRegion"
	// FaultPartitionAll drops all traffic between VMs, and all calls to the store.
	FaultPartitionAll FaultKind = "cutAll"
	// FaultPlatformDown makes the store reject every call.
	FaultPlatformDown FaultKind = "platformDown"
	// FaultSlowServer makes a backend server ten times slower.
	FaultSlowServer FaultKind = "slowServer"
	// FaultKillServer stops a backend server as a crash does.
	FaultKillServer FaultKind = "killServer"
	// FaultDrain makes a backend server register as draining.
	FaultDrain FaultKind = "drain"
	// FaultRevokeKey revokes the key of a workspace.
	FaultRevokeKey FaultKind = "withdrawKey"
	// FaultPoison starts a stream of requests that crash each backend server that runs them.
	FaultPoison FaultKind = "poison"
	// FaultLeave makes a backend server announce its shutdown in all its responses, but not in its registration.
	FaultLeave FaultKind = "leave"
	// FaultPause makes a backend server reject all requests and ask for a pause.
	FaultPause FaultKind = "quiet"
	// FaultRestore restores the store, when the fault ends, from a snapshot taken when it began. A
	// second later, servers and the operator have rewritten what the store lost.
	FaultRestore FaultKind = "restore"
	// FaultLimit makes backend servers name a limit on the requests that they take from all VMs.
	FaultLimit FaultKind = "limit"
	// FaultCutFromServers partitions VMs from all backend servers. Callers, the store and other VMs still reach them.
	FaultCutFromServers FaultKind = "cutFromServers"
)

// CutKind is what becomes of the connections of a VM that is cut off from the backend servers.
type CutKind string

const (
	// CutHang connections get no response, and new ones aren't established.
	CutHang CutKind = ""
	// CutReset connections are reset, and new ones refused.
	CutReset CutKind = "reset"
	// CutRefuse keeps open connections and refuses new ones.
	CutRefuse CutKind = "refuse"
)

// UnmarshalText decodes a kind. It returns an error if the kind is unknown.
func (k *FaultKind) UnmarshalText(text []byte) error {
	switch v := FaultKind(text); v {
	case FaultKillVM, FaultStopVM, FaultKillRegion, FaultPartitionRegion, FaultPartitionAll, FaultPlatformDown,
		FaultSlowServer, FaultKillServer, FaultDrain, FaultRevokeKey, FaultPoison, FaultLeave, FaultPause, FaultRestore, FaultLimit,
		FaultCutFromServers:
		*k = v
		return nil
	}
	return errors.Errorf("unknown fault kind %q", text)
}

// Fault is one entry of the timetable.
type Fault struct {
	// At is when the fault begins, relative to the start of the load.
	At pstoml.Duration `toml:"at"`
	// Until is when the fault ends; if absent, it lasts to the end of the run. A VM that was stopped or killed is
	// started again at its end. Other faults that are single events ignore it.
	Until pstoml.Duration `toml:"until"`
	// Kind is the kind of the fault.
	Kind FaultKind `toml:"kind"`
	// Target is the index of the affected VM, region, backend server or workspace.
	Target int `toml:"target"`
	// Count is the number of backend servers that name limits, or of VMs that are cut off from the servers, beginning
	// with the target; 1 if absent.
	Count int `toml:"count"`
	// Cut is what becomes of the connections of VMs that are cut off; they hang if absent.
	Cut CutKind `toml:"cut"`
	// Limits are the limits that they name one after the other, each for a second, in requests per second.
	Limits []float64 `toml:"limits"`
}

// Parse decodes a scenario. Its error is of type pstoml.Findings if the file is invalid.
func Parse(file string, data []byte) (*Scenario, error) {
	s, source, findings := pstoml.Decode[Scenario](file, data)
	if source != nil {
		findings = append(findings, s.validate(source)...)
	}
	if len(findings) > 0 {
		findings.Sort()
		return nil, findings
	}
	s.setDefaults()
	return &s, nil
}

func (s *Scenario) setDefaults() {
	if s.Span.Duration == 0 {
		s.Span.Duration = defaultSpan
	}
	if s.WarmUp.Duration == 0 {
		s.WarmUp.Duration = defaultWarmUp
	}
	if s.Load == 0 {
		s.Load = defaultLoad
	}
	if s.Busy != nil && s.Busy.Factor == 0 {
		s.Busy.Factor = defaultFactor
	}
}

func (s *Scenario) validate(source *pstoml.Source) pstoml.Findings {
	var findings pstoml.Findings
	require := func(condition bool, path, message string) {
		if !condition && !source.Invalid(path) {
			findings = append(findings, source.Finding(path, message))
		}
	}
	require(s.Name != "", "name", "the scenario needs a name")
	require(s.Span.Duration <= maxSpan, "span", "the span must be at most one minute")
	require(s.Load >= 0 && s.Load <= 4, "load", "the load must be between 0 and 4")
	s.validateSite(require)
	if s.Busy != nil {
		require(s.Site == nil, "busy", "a site has surges in place of a busy workspace")
		require(s.Busy.Workspace >= 0 && s.Busy.Workspace < len(workspaceWeights), "busy.workspace", "there is no such workspace")
	}
	for i, f := range s.Faults {
		at := fmt.Sprintf("faults[%d]", i)
		require(f.Kind != "", at+".kind", "the fault needs a kind")
		require(f.Target >= 0 && f.Target < s.targetCount(f), at+".target", "there is no such target")
		require((f.Kind == FaultLimit) == (len(f.Limits) > 0), at+".limits", "a limit has values, and no other fault has any")
		require(!slices.ContainsFunc(f.Limits, func(v float64) bool { return !(v >= 0) || math.IsInf(v, 0) }), at+".limits", "limits must not be negative or infinite")
		require(f.Count >= 0 && f.Target+f.Count <= s.targetCount(f), at+".count", "there are fewer targets")
		require(slices.Contains([]CutKind{CutHang, CutReset, CutRefuse}, f.Cut), at+".cut", "there is no such cut")
		require(f.Until.Duration == 0 || f.Until.Duration > f.At.Duration, at+".until", "the fault ends before it begins")
	}
	return findings
}

// targetCount returns the number of possible targets of the fault. It is the same for both firms.
func (s *Scenario) targetCount(f Fault) int {
	vms, servers, workspaces := vmCount, serverCount, len(workspaceWeights)
	if s.Site != nil {
		vms, workspaces = s.Site.VMs, len(s.Site.Workspaces)
		servers = lo.SumBy(s.Site.Pools, func(p SitePool) int { return lo.Sum(p.Servers) })
	}
	switch f.Kind {
	case FaultKillVM, FaultStopVM, FaultCutFromServers:
		return vms
	case FaultKillRegion, FaultPartitionRegion:
		return regionCount
	case FaultSlowServer, FaultKillServer, FaultDrain, FaultLeave, FaultPause, FaultLimit:
		return servers
	case FaultRevokeKey, FaultPoison:
		return workspaces
	}
	return 1
}
