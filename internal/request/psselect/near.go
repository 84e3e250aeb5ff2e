package psselect

import (
	"persimmonstep/internal/request/psplacement"
	"persimmonstep/internal/version/psconfig"
)

// prefersNear reports whether servers of the VM's failure domain are preferred, so that a body need not leave it.
//
// It answers uneven servers: a failure domain with one of twenty servers gets as many uploads as the others, and that server
// would be full while others are free. So the uploads of a failure domain with less than an even part of the slots stay
// there in proportion to its part. Which objects these are is decided by a hash, so that each has one preferred server.
func (r *Request) prefersNear(options []Option) bool {
	if r.Route.Kind != psconfig.Upload {
		return true
	}
	near, total, domains := 0, 0, 0
	seen := make(map[string]bool, len(options))
	for i := range options {
		e := &options[i].View.Entry
		total += e.Slots
		if e.FailureDomain == r.From.FailureDomain {
			near += e.Slots
		}
		if !seen[e.FailureDomain] {
			seen[e.FailureDomain] = true
			domains++
		}
	}
	position := float64(psplacement.Score(r.Object, nearSalt)>>32) / (1 << 32)
	return position*float64(total) < float64(near*domains)
}

// nearSalt keeps the hash that decides on the preference independent of those of the servers.
const nearSalt = "near"
