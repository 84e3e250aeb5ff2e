package psvm

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"persimmonstep/internal/connection/pspeer"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
	"persimmonstep/internal/version/psversion"
)

const (
	methodVersion = "version.get"
	// confirmInterval is the time between two questions to a VM that lags.
	confirmInterval = 50 * time.Millisecond
)

// versionInForce answers which version a VM has in force.
type versionInForce struct {
	Version uint64 `json:"version"`
}

// confirmer asks the VMs which version they have in force.
type confirmer struct {
	self     psdoc.Name
	follower *psversion.Follower
	hub      *pspeer.Hub
}

func newConfirmer(self psdoc.Name, f *psversion.Follower, h *pspeer.Hub) *confirmer {
	h.Handle(methodVersion, func(_ context.Context, _ psdoc.Name, params json.RawMessage) (any, error) {
		var in versionInForce
		if err := json.Unmarshal(params, &in); err != nil {
			return nil, err
		}
		if in.Version > f.Plan().Version {
			f.Learn(in.Version)
		}
		return versionInForce{Version: f.Plan().Version}, nil
	})
	return &confirmer{self: self, follower: f, hub: h}
}

// Confirm waits until all VMs of the plan have the version or the context ends.
func (c *confirmer) Confirm(ctx context.Context, version uint64) (confirmed, missing []psdoc.Name) {
	c.await(ctx, func() bool {
		if c.follower.Plan().Version < version {
			c.follower.Learn(version)
		}
		return c.follower.Plan().Version >= version
	})
	var mutex sync.Mutex
	var asking sync.WaitGroup
	for _, v := range c.follower.Plan().VMs {
		asking.Go(func() {
			found := c.await(ctx, func() bool { return c.versionOf(ctx, v, version) >= version })
			mutex.Lock()
			defer mutex.Unlock()
			if found {
				confirmed = append(confirmed, v.Name)
			} else {
				missing = append(missing, v.Name)
			}
		})
	}
	asking.Wait()
	slices.Sort(confirmed)
	slices.Sort(missing)
	return confirmed, missing
}

func (c *confirmer) versionOf(ctx context.Context, v *psplan.VM, expected uint64) uint64 {
	if v.Name == c.self {
		return c.follower.Plan().Version
	}
	var out versionInForce
	if c.hub.Call(ctx, pspeer.Peer{Name: v.Name, Address: v.Peer}, methodVersion, versionInForce{Version: expected}, &out) != nil {
		return 0
	}
	return out.Version
}

// await repeats a question until it is answered with yes or the context ends.
func (c *confirmer) await(ctx context.Context, ask func() bool) bool {
	for {
		if ask() {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(confirmInterval):
		}
	}
}
