// Package psrevision identifies and orders the revisions of the platform's store, also across restores from a
// backup.
//
// The store numbers its changes. After a restore from a backup that is some seconds old, the changes
// written since that backup are lost and their version numbers are assigned again to other changes. A
// version is therefore unique only together with the era of the store, which increases with each
// restore.
package psrevision

import "cmp"

// Revision is a revision of the store. The zero value precedes all others and stands for an unknown
// revision.
type Revision struct {
	// Era increases each time the store is restored from a backup.
	Era int64 `json:"era,omitempty"`
	// Version increases with each change within an era.
	Version int64 `json:"version,omitempty"`
}

// New returns the revision with the given era and version.
func New(era, version int64) Revision { return Revision{Era: era, Version: version} }

// IsZero reports whether the revision is unknown.
func (r Revision) IsZero() bool { return r == Revision{} }

// Compare orders revisions by era, then by version.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Version, other.Version))
}

// After reports whether r is later than other.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// RestoredSince reports whether the store was restored from a backup between the revisions earlier and r.
// It returns false if earlier is unknown.
func (r Revision) RestoredSince(earlier Revision) bool {
	return !earlier.IsZero() && r.Era > earlier.Era
}

// Later returns the later of two revisions.
func Later(a, b Revision) Revision {
	if b.After(a) {
		return b
	}
	return a
}
