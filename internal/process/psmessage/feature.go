package psmessage

// Features are what a VM's build can do for other VMs, as bits. While VMs of two builds run side by side, a VM must not
// be asked for what it doesn't state, and its silence about something that it doesn't state means nothing. Builds from
// before the first feature state none, although some of them forward requests.
type Features uint32

const (
	// Forwarding VMs send requests of other VMs to servers.
	Forwarding Features = 1 << iota
	// LinkState VMs monitor their links to the servers: their reports say if these are lost, and name no server as failed
	// because of that.
	LinkState
	// Departures VMs apply what others have read in the store of servers that leave. To other VMs such servers are named as
	// leaving.
	Departures
	// BusyWorkspaces VMs report the workspaces that send them far more requests than usual.
	BusyWorkspaces
	// Leases VMs state in their reports what they lend of the fleet's limits, and publish whether they own a part of them.
	Leases
)

// CurrentFeatures are those of this build.
const CurrentFeatures = Forwarding | LinkState | Departures | BusyWorkspaces | Leases

// Has reports whether all of the given features are stated.
func (f Features) Has(wanted Features) bool { return f&wanted == wanted }

// HelperRank orders the VMs through which a VM at a location can send requests: by distance, but those that may be unable
// to help come after all others.
func (i Identity) HelperRank(failureDomain, region string) int {
	rank := i.Distance(failureDomain, region)
	if !i.Features.Has(Forwarding | LinkState) {
		rank += maxDistance + 1
	}
	return rank
}
