package psplan

// connectionReserve is the part of a server's connections that is not handed out. It covers
// VMs that are not yet on the same version, and operators' own connections.
const connectionReserve = 0.1

// ConnectionsOf is the number of connections to a backend server that a VM in the failure
// domain may keep open. Half of what the server holds is for the VMs of its own failure
// domain, the rest for all others, so that the sum over all VMs stays within it. It is 0
// where so many VMs share that a VM must not keep one open between two requests.
func ConnectionsOf(p *Plan, s *Server, from *Domain) int {
	usable := int(float64(s.Connections) * (1 - connectionReserve))
	near := len(s.Domain.VMs)
	far := len(p.VMs) - near
	switch {
	case far == 0:
		return usable / max(near, 1)
	case near == 0:
		return usable / far
	case from == s.Domain:
		return usable / 2 / near
	}
	return (usable - usable/2) / far
}
