package psvm

import (
	"context"
	"encoding/json"
	"time"

	"persimmonstep/internal/connection/psfanout"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psversion"
)

const (
	topicVersion = "version"
	// learnWait bounds the wait for a version before a VM answers that it does not have it.
	learnWait = 250 * time.Millisecond
	// learnInterval is the time between two looks at the own version.
	learnInterval = 10 * time.Millisecond
)

// confirmer asks the VMs which version they have in force.
type confirmer struct {
	follower *psversion.Follower
	fanout   *psfanout.Fanout
}

func newConfirmer(self psdoc.Name, f *psversion.Follower, o *psfanout.Fanout) *confirmer {
	o.Handle(topicVersion, func(ctx context.Context, from psdoc.Name, params json.RawMessage) bool {
		var version uint64
		if json.Unmarshal(params, &version) != nil {
			return false
		}
		if from == self {
			from = ""
		}
		ctx, cancel := context.WithTimeout(ctx, learnWait)
		defer cancel()
		return awaitVersion(ctx, f, version, from)
	})
	return &confirmer{follower: f, fanout: o}
}

// Confirm waits until all VMs of the plan have the version or the context ends.
func (c *confirmer) Confirm(ctx context.Context, version uint64) (confirmed, missing []psdoc.Name) {
	// The plan of the version itself lists the VMs that are to confirm it.
	awaitVersion(ctx, c.follower, version, "")
	confirmed, missing, err := c.fanout.Ask(ctx, topicVersion, version)
	if err != nil {
		panic("psvm: " + err.Error())
	}
	return confirmed, missing
}

// awaitVersion has the follower fetch a version and reports whether it came into force
// before the context ended.
func awaitVersion(ctx context.Context, f *psversion.Follower, version uint64, from psdoc.Name) bool {
	t := time.NewTicker(learnInterval)
	defer t.Stop()
	if f.Plan().Version < version {
		f.LearnFrom(version, from)
	}
	for f.Plan().Version < version {
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
		}
	}
	return true
}
