// Package psrate limits the request rate of a workspace over all VMs together.
//
// It answers this load pattern: one workspace sends many times its rate to all VMs at once
// while the others stay within theirs, VMs fail and restart, and the network between some of
// them is partitioned. Each VM owns an equal part of the rate. It lends what its own callers don't
// need to VMs whose callers need more, by the demands that all VMs report ([Terms]). VMs with alike
// demands use their own parts, however these grow and whether or not reports arrive.
//
// A rate that is too small to split is granted by one VM, the owner of its tokens.
//
// The package does no I/O and reads no clock.
package psrate

// Limit is the rate and burst of a workspace over all VMs.
type Limit struct {
	// Rate is in requests per second; 0 means no limit.
	Rate  float64
	Burst float64
}

const (
	// minSplitRate is the rate per VM, in requests per second, below which a workspace's rate is not
	// split. Random arrivals would find the bucket of one VM empty while that of another one is
	// full, so one VM owns the tokens.
	minSplitRate = 3
	// minOwnerRate is the lowest rate of an owner, in requests per second, because 0 means no limit.
	minOwnerRate = 1e-3
)

// The shares of a workspace's rate that isn't split: of the primary owner of the tokens, and of the backup owner
// that is asked when the primary doesn't answer.
const (
	PrimaryShare = 0.88
	BackupShare  = 0.12
)

// SingleOwner reports whether one VM owns the tokens of a limit in a fleet of fleetSize VMs.
func SingleOwner(l Limit, fleetSize int) bool {
	return l.Rate > 0 && l.Rate < minSplitRate*float64(fleetSize)
}

// OwnerLimit returns what an owner with a share grants of a limit. fraction is the fraction of the limit that the VMs own for
// which it is the owner. The rest is left to the owners that the other VMs may use during a partition.
func OwnerLimit(l Limit, share, fraction float64) Limit {
	share *= min(1, fraction)
	return Limit{Rate: max(minOwnerRate, l.Rate*share), Burst: l.Burst * share}
}
