package psvm

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/samber/do/v2"

	"persimmonstep/internal/connection/pspeer"
	"persimmonstep/internal/process/psadmin"
	"persimmonstep/internal/process/pswithdrawal"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psversion"
)

const methodVersion = "version.get"

// fleet asks the VMs of the plan what they have in force.
type fleet struct {
	self     psdoc.Name
	follower *psversion.Follower
	hub      *pspeer.Hub
}

func newFleet(self psdoc.Name, f *psversion.Follower, h *pspeer.Hub) *fleet {
	h.Handle(methodVersion, func(context.Context, psdoc.Name, json.RawMessage) (any, error) {
		return f.Plan().Version, nil
	})
	return &fleet{self: self, follower: f, hub: h}
}

// Versions returns the version of each VM that answers before the context ends.
func (f *fleet) Versions(ctx context.Context) map[psdoc.Name]uint64 {
	p := f.follower.Plan()
	out := map[psdoc.Name]uint64{f.self: p.Version}
	var mutex sync.Mutex
	var asking sync.WaitGroup
	for _, v := range p.VMs {
		if v.Name == f.self {
			continue
		}
		asking.Go(func() {
			var version uint64
			if f.hub.Call(ctx, pspeer.Peer{Name: v.Name, Address: v.Peer}, methodVersion, struct{}{}, &version) != nil {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			out[v.Name] = version
		})
	}
	asking.Wait()
	return out
}

// withdrawer joins the set of withdrawn keys with what spreads it.
type withdrawer struct {
	*pswithdrawal.Set
	*pswithdrawal.Spreader
}

func newWithdrawer(i do.Injector) psadmin.Withdrawer {
	return withdrawer{Set: do.MustInvoke[*pswithdrawal.Set](i), Spreader: do.MustInvoke[*pswithdrawal.Spreader](i)}
}
