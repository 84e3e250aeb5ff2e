package psexperiment

import (
	"github.com/samber/lo"

	"persimmonstep/internal/process/psdev"
	"persimmonstep/internal/process/psload"
)

// Policy is a way to serve callers that an experiment compares.
type Policy struct {
	// Name identifies the policy in reports.
	Name string
	// choice is how callers find where to send.
	targetSource func(s *psdev.System) psload.TargetSource
}

// Own is what the system does.
func System() Policy {
	return Policy{Name: "persimmonstep", targetSource: func(*psdev.System) psload.TargetSource { return psload.DirectoryTargets{} }}
}

// Baseline lets callers take backend servers at random, without anything in between: no rate,
// no placement, no word of other requests.
func Baseline() Policy {
	return Policy{Name: "direct", targetSource: func(s *psdev.System) psload.TargetSource {
		servers := lo.GroupBy(s.Ready.Servers, func(v psdev.ReadyServer) string { return v.Service })
		return psload.DirectTargets{Servers: lo.MapValues(servers, func(list []psdev.ReadyServer, _ string) []psload.Target {
			return lo.Map(list, func(v psdev.ReadyServer, _ int) psload.Target { return psload.Target{Name: v.ID, Address: v.Address} })
		})}
	}}
}
