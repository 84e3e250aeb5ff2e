// Package psscenario says what an experiment plays: the size of a firm, and a timetable of faults.
package psscenario

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/version/pstoml"
)

const (
	defaultSpan   = 8 * time.Second
	defaultWarmUp = 3 * time.Second
	defaultLoad   = 0.6
	defaultFactor = 5
	maxSpan       = time.Minute
)

// Scenario is one experiment, the content of a TOML file.
type Scenario struct {
	// Name identifies the scenario.
	Name string `toml:"name"`
	// Seed draws the load.
	Seed uint64 `toml:"seed"`
	// Span is the time of sending; 8 s when absent.
	Span pstoml.Duration `toml:"span"`
	// WarmUp lets VMs take their shares and buckets fill before the load; 3 s when absent.
	WarmUp pstoml.Duration `toml:"warmUp"`
	// Load is what each workspace sends as a part of its rate; 0.6 when absent.
	Load float64 `toml:"load"`
	// Busy makes one workspace send a multiple of its rate.
	Busy *Busy `toml:"busy"`
	// Faults is the timetable.
	Faults []Fault `toml:"faults"`
}

// Busy is a workspace that sends more than its rate.
type Busy struct {
	// Workspace is the position of the workspace, 0 for the largest.
	Workspace int `toml:"workspace"`
	// Factor is the multiple of its rate; 5 when absent.
	Factor float64 `toml:"factor"`
}

// FaultKind says what happens.
type FaultKind string

const (
	// FaultKillVM ends a VM as a crash would.
	FaultKillVM FaultKind = "killVM"
	// FaultStopVM shuts a VM down gracefully.
	FaultStopVM FaultKind = "stopVM"
	// FaultKillRegion ends all VMs and backend servers of a region.
	FaultKillRegion FaultKind = "killRegion"
	// FaultCutRegion loses what a region's VMs and others send each other, and its calls to the store.
	FaultPartitionRegion FaultKind = "cutRegion"
	// FaultCutAll loses what VMs send each other, and all calls to the store.
	FaultPartitionAll FaultKind = "cutAll"
	// FaultPlatformDown makes the store refuse every call.
	FaultPlatformDown FaultKind = "platformDown"
	// FaultSlowServer makes a backend server ten times slower.
	FaultSlowServer FaultKind = "slowServer"
	// FaultKillServer ends a backend server.
	FaultKillServer FaultKind = "killServer"
	// FaultDrain lets a backend server say that it leaves.
	FaultDrain FaultKind = "drain"
	// FaultWithdrawKey takes the key of a workspace away.
	FaultWithdrawKey FaultKind = "withdrawKey"
	// FaultPoison begins to send a request that crashes each backend server that runs it.
	FaultPoison FaultKind = "poison"
	// FaultLeave lets a backend server say in all its answers that it ends, and nowhere else.
	FaultLeave FaultKind = "leave"
	// FaultQuiet lets a backend server turn all requests away and ask for a time without any.
	FaultPause FaultKind = "quiet"
	// FaultRestore lets the store come back, when the fault ends, from a copy of when it began. A
	// second later servers and operator have written again what it lost.
	FaultRestore FaultKind = "restore"
)

// UnmarshalText checks the kind.
func (k *FaultKind) UnmarshalText(text []byte) error {
	switch v := FaultKind(text); v {
	case FaultKillVM, FaultStopVM, FaultKillRegion, FaultPartitionRegion, FaultPartitionAll, FaultPlatformDown,
		FaultSlowServer, FaultKillServer, FaultDrain, FaultWithdrawKey, FaultPoison, FaultLeave, FaultPause, FaultRestore:
		*k = v
		return nil
	}
	return errors.Errorf("%q is not a fault", text)
}

// Fault is one row of the timetable.
type Fault struct {
	// At is when it begins.
	At pstoml.Duration `toml:"at"`
	// Until is when a cut or an outage ends; it lasts to the end of the run when absent.
	Until pstoml.Duration `toml:"until"`
	// Kind says what happens.
	Kind FaultKind `toml:"kind"`
	// Target is the position of the VM, region, backend server or workspace that it meets.
	Target int `toml:"target"`
}

// Parse reads a scenario. Its error is of type pstoml.Findings where the file has faults.
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
	require(s.Span.Duration <= maxSpan, "span", "the span is at most one minute")
	require(s.Load >= 0 && s.Load <= 4, "load", "the load lies between 0 and 4")
	if s.Busy != nil {
		require(s.Busy.Workspace >= 0 && s.Busy.Workspace < len(workspaceWeights), "busy.workspace", "there is no such workspace")
	}
	for i, f := range s.Faults {
		at := fmt.Sprintf("faults[%d]", i)
		require(f.Kind != "", at+".kind", "the fault needs a kind")
		require(f.Target >= 0 && f.Target < f.targetCount(), at+".target", "there is no such target")
		require(f.Until.Duration == 0 || f.Until.Duration > f.At.Duration, at+".until", "the fault ends before it begins")
	}
	return findings
}

// targets is the number of targets that the fault can choose from, the same for both firms.
func (f Fault) targetCount() int {
	switch f.Kind {
	case FaultKillVM, FaultStopVM:
		return vmCount
	case FaultKillRegion, FaultPartitionRegion:
		return regionCount
	case FaultSlowServer, FaultKillServer, FaultDrain, FaultLeave, FaultPause:
		return serverCount
	case FaultWithdrawKey, FaultPoison:
		return len(workspaceWeights)
	}
	return 1
}
