package psattempt

import "persimmonstep/internal/process/pssnapshot"

const (
	// connectionShare is the share of a server's maximum connections that all VMs together use.
	connectionShare = 0.8
	// unknownLimit is the connection limit of one VM for a server whose maximum is unknown.
	unknownLimit = 2
)

// ConnectionLimit returns the maximum number of one VM's connections to a server of a service. The VM may open one more to
// probe the server, so that the connections of all VMs together stay within the server's maximum if that allows each VM
// two of them. A lower maximum is exceeded, because no rule chooses the VMs that may send to the server.
func ConnectionLimit(s *pssnapshot.Snapshot, service string) int {
	v, found := s.Index.Service(service)
	if !found || v.MaxConnections == 0 {
		return unknownLimit
	}
	return limitOf(v.MaxConnections, s.FleetSize)
}

// limitOf divides a server's maximum among the VMs of a fleet.
func limitOf(maximum, fleet int) int {
	return max(1, min(int(connectionShare*float64(maximum))/fleet, maximum/fleet-1))
}
