package psvm

import (
	"context"
	"net/http"

	"persimmonstep/internal/process/pspool"
	"persimmonstep/internal/request/psclaim"
	"persimmonstep/internal/request/psproblem"
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

// unclaimed refuses requests with an Idempotency-Key, which need claims.
type unclaimed struct{}

// Begin refuses.
func (unclaimed) Begin(context.Context, psclaim.Request) (psclaim.Result, error) {
	return nil, psproblem.New(http.StatusServiceUnavailable, "noClaims", "claims are not available")
}
