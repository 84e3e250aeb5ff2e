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
	// Losses asks for a summary of why requests were not served in target.
	Losses bool
	// targetSource returns where callers get their targets from.
	targetSource func(e *experiment) psload.TargetSource
}

// System returns the policy that sends requests through the system under test.
func System() Policy {
	return Policy{Name: "persimmonstep", targetSource: func(*experiment) psload.TargetSource { return psload.DirectoryTargets{} }}
}

// Baseline returns the policy that sends requests directly to random backend servers, without rate limits,
// placement or any information about other requests.
func Baseline() Policy {
	return Policy{Name: "direct", targetSource: func(e *experiment) psload.TargetSource {
		servers := lo.GroupBy(e.system.Ready.Servers, func(v psdev.ReadyServer) string { return v.Service })
		byRoute := make(map[string][]psload.Target)
		for _, p := range e.firm.Pools {
			byRoute[p.Name] = lo.Map(servers[p.ServiceName()], func(v psdev.ReadyServer, _ int) psload.Target {
				return psload.Target{Name: v.ID, Address: v.Address}
			})
		}
		return psload.DirectTargets{Servers: byRoute}
	}}
}
