package psattempt

import "persimmonstep/internal/process/pssnapshot"

const (
	// connectionShare is the share of a server's maximum connections that all VMs together use.
	connectionShare = 0.8
	// minConnections is the minimum connection limit of one VM for one server.
	minConnections = 2
)

// ConnectionLimit returns the maximum number of one VM's connections to a server of a service.
func ConnectionLimit(s *pssnapshot.Snapshot, service string) int {
	v, found := s.Index.Service(service)
	if !found {
		return minConnections
	}
	return max(minConnections, int(connectionShare*float64(v.MaxConnections))/s.FleetSize)
}
