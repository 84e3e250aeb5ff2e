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
	// learnInterval is the time between two looks at the own version.
	learnInterval = 10 * time.Millisecond
)

// confirmer asks the VMs which version they have in force.
type confirmer struct {
	follower *psversion.Follower
	fanout   *psfanout.Fanout
}

func newConfirmer(f *psversion.Follower, o *psfanout.Fanout) *confirmer {
	o.Handle(topicVersion, func(_ context.Context, _ psdoc.Name, params json.RawMessage) bool {
		var version uint64
		if json.Unmarshal(params, &version) != nil {
			return false
		}
		if version > f.Plan().Version {
			f.Learn(version)
		}
		return f.Plan().Version >= version
	})
	return &confirmer{follower: f, fanout: o}
}

// Confirm waits until all VMs of the plan have the version or the context ends.
func (c *confirmer) Confirm(ctx context.Context, version uint64) (confirmed, missing []psdoc.Name) {
	// The plan of the version itself lists the VMs that are to confirm it.
	c.awaitOwn(ctx, version)
	confirmed, missing, err := c.fanout.Ask(ctx, topicVersion, version)
	if err != nil {
		panic("psvm: " + err.Error())
	}
	return confirmed, missing
}

func (c *confirmer) awaitOwn(ctx context.Context, version uint64) {
	t := time.NewTicker(learnInterval)
	defer t.Stop()
	for c.follower.Plan().Version < version {
		c.follower.Learn(version)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
