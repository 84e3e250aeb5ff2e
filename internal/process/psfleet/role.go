package psfleet

import (
	"cmp"
	"slices"
	"time"

	"persimmonstep/internal/process/psmessage"
)

// IsRelay reports whether this VM is the relay of its region, which announces the store's changes to the
// other VMs: no VM before it in the order is live and reads the store. A known VM that has sent no report yet
// counts as one that does, for as long as it was discovered recently.
func (f *Fleet) IsRelay(now time.Time) bool {
	for _, p := range f.Peers() {
		if p.Identity.Region != f.self.Region || !p.Identity.Before(f.self) {
			continue
		}
		if f.Live(p, now) && p.Report.ReadsStore || p.Report == nil && f.Recent(p, now) {
			return false
		}
	}
	return true
}

// StoreReaders returns the other live VMs that read the store, themselves or through a relay.
func (f *Fleet) StoreReaders(now time.Time) []psmessage.Identity {
	var list []psmessage.Identity
	for _, p := range f.Peers() {
		if f.Live(p, now) && p.Report.ReadsStore {
			list = append(list, p.Identity)
		}
	}
	return list
}

// Helpers returns the other live VMs that reach backend servers and take requests, those that are nearer to this VM first.
// VMs that don't state that they forward requests and know the state of their links come after all others.
func (f *Fleet) Helpers(now time.Time) []psmessage.Identity {
	var list []psmessage.Identity
	for _, p := range f.Peers() {
		if f.Live(p, now) && p.Report.Ready && !p.Report.NoServers {
			list = append(list, p.Identity)
		}
	}
	slices.SortStableFunc(list, func(a, b psmessage.Identity) int {
		return cmp.Compare(a.HelperRank(f.self.FailureDomain, f.self.Region), b.HelperRank(f.self.FailureDomain, f.self.Region))
	})
	return list
}

// AllLiveHave reports whether all other live VMs state features.
func (f *Fleet) AllLiveHave(wanted psmessage.Features, now time.Time) bool {
	for _, p := range f.Peers() {
		if f.Live(p, now) && !p.Identity.Features.Has(wanted) {
			return false
		}
	}
	return true
}

// NewestConfiguration returns the report of the live VM with the newest configuration, with its full
// identity. It returns false if no live VM has a configuration.
func (f *Fleet) NewestConfiguration(now time.Time) (psmessage.Report, bool) {
	var newest psmessage.Report
	for _, p := range f.Peers() {
		if f.Live(p, now) && p.Report.Version > newest.Version {
			newest = *p.Report
			newest.Identity = p.Identity
		}
	}
	return newest, newest.Version > 0
}

// newerConfigurationDelay is how long another VM must have a newer configuration before this VM fetches it. All VMs need
// less to read one from the store.
const newerConfigurationDelay = time.Second

// NewerConfiguration finds a VM that has a newer configuration for some time. This happens when the store was restored
// from a backup without that configuration, or when this VM could not read the store while the configuration was there.
// The zero value is ready to use.
type NewerConfiguration struct {
	// since is since when a live VM has reported a newer configuration; zero if none does.
	since time.Time
}

// VM returns a live VM that has had a newer configuration than a version for newerConfigurationDelay. It returns nil if there
// is none, or the version is 0, which stands for no configuration.
func (n *NewerConfiguration) VM(f *Fleet, version int64, now time.Time) *psmessage.Identity {
	newest, found := f.NewestConfiguration(now)
	if !found || version == 0 || newest.Version <= version {
		n.since = time.Time{}
		return nil
	}
	if n.since.IsZero() {
		n.since = now
	}
	if now.Sub(n.since) < newerConfigurationDelay {
		return nil
	}
	return &newest.Identity
}
