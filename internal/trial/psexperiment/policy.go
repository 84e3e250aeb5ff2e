package psexperiment

import (
	"github.com/samber/lo"

	"persimmonstep/internal/trial/psdev"
	"persimmonstep/internal/trial/psload"
)

// Policy is a way to route requests. Experiments compare several of them.
type Policy struct {
	// Name identifies the policy in reports.
	Name string
	// targetSource returns where callers get their targets from.
	targetSource func(s *psdev.System) psload.TargetSource
}

// System returns the policy that sends requests through the system under test.
func System() Policy {
	return Policy{Name: "persimmonstep", targetSource: func(*psdev.System) psload.TargetSource { return psload.DirectoryTargets{} }}
}

// Baseline returns the policy that sends requests directly to random backend servers, without rate limits,
// placement or any information about other requests.
func Baseline() Policy {
	return Policy{Name: "direct", targetSource: func(s *psdev.System) psload.TargetSource {
		servers := lo.GroupBy(s.Ready.Servers, func(v psdev.ReadyServer) string { return v.Service })
		return psload.DirectTargets{Servers: lo.MapValues(servers, func(list []psdev.ReadyServer, _ string) []psload.Target {
			return lo.Map(list, func(v psdev.ReadyServer, _ int) psload.Target { return psload.Target{Name: v.ID, Address: v.Address} })
		})}
	}}
}
