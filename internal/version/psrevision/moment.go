// Package psmoment identifies revisions of the platform's store across restores from a backup.
//
// The store numbers its changes. After a restore from a backup that is some seconds old, the changes
// written since that backup are lost and their version numbers are assigned again to other changes. A
// version is therefore unique only together with the era of the store, which increases with each
// restore.
package psrevision

import "cmp"

// Moment is a revision of the store. The zero value precedes all others and stands for an unknown
// revision.
type Revision struct {
	// Era increases each time the store is restored from a backup.
	Era int64 `json:"era,omitempty"`
	// Version increases with each change within an era.
	Version int64 `json:"version,omitempty"`
}

// At returns the revision with the given era and version.
func New(era, version int64) Revision { return Revision{Era: era, Version: version} }

// IsZero reports whether the revision is unknown.
func (m Revision) IsZero() bool { return m == Revision{} }

// Compare orders revisions by era, then by version.
func (m Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(m.Era, other.Era), cmp.Compare(m.Version, other.Version))
}

// After reports whether m is later than other.
func (m Revision) After(other Revision) bool { return m.Compare(other) > 0 }

// RestoredSince reports whether the store was restored from a backup between the revisions earlier and m.
// It returns false if earlier is unknown.
func (m Revision) RestoredSince(earlier Revision) bool {
	return !earlier.IsZero() && m.Era > earlier.Era
}

// Later returns the later of two revisions.
func Later(a, b Revision) Revision {
	if b.After(a) {
		return b
	}
	return a
}
