package psvm

import (
	"persimmonstep/internal/process/pspool"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
	"persimmonstep/internal/version/psversion"
)

// ownedSlots grants this VM the slots of the servers that it owns.
type ownedSlots struct {
	self  psdoc.Name
	plans *psversion.Follower
}

// Limit returns the server's slots if this VM owns them.
func (o ownedSlots) Limit(s *psplan.Server) int {
	if v := pspool.Owner(o.plans.Plan(), s); v != nil && v.Name == o.self {
		return s.Slots
	}
	return 0
}
