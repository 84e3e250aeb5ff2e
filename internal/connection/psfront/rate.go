package psfront

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/psrate"
)

const (
	// maxRateAfter bounds when callers over their rate come back.
	maxRateAfter = 5 * time.Second
	// minRateSpread is the span over which callers over their rate come back at least.
	minRateSpread = 100 * time.Millisecond
	// silentSpan is how long a keeper that didn't answer isn't asked again.
	silentSpan = time.Second
	// unaskedAfter is when callers come back if no keeper of their tokens answers.
	unaskedAfter = 300 * time.Millisecond
)

// errSilent says that a VM isn't asked because it didn't answer lately.
var errSilent = errors.New("the VM did not answer lately")

// Lenders asks other VMs for tokens.
type Lenders interface {
	Take(ctx context.Context, to netip.AddrPort, t psfleet.Take) (psfleet.Grant, error)
}

// checkRate counts the call against its workspace's rate.
func (c *call) checkRate(ctx context.Context) outcome {
	w := c.workspace
	if w == nil || w.Rate <= 0 {
		return nil
	}
	l := psrate.Limit{Rate: w.Rate, Burst: w.Burst}
	if psrate.Kept(l, c.snapshot.FleetSize) {
		return c.askRate(ctx)
	}
	part, found := c.snapshot.Parts[w.Name]
	if !found {
		part = c.snapshot.EvenPart
	}
	granted, wait := c.gate.takeSplit(w.Name, l, part, c.gate.options.Now())
	if granted {
		return nil
	}
	return c.overRate(wait)
}

func (c *call) overRate(wait time.Duration) outcome {
	after := wait + time.Duration(c.gate.spread()*float64(wait+minRateSpread))
	return rejected{http.StatusTooManyRequests, "overRate", min(maxRateAfter, after)}
}

// askRate asks the keeper of the workspace's tokens, or the one that stands in for it.
func (c *call) askRate(ctx context.Context) outcome {
	first, second := c.snapshot.Keepers(c.workspace.Name)
	for _, k := range []struct {
		vm     psfleet.Identity
		second bool
	}{{first, false}, {second, true}} {
		g, err := c.gate.ask(ctx, k.vm, psfleet.Take{Workspace: c.workspace.Name, Second: k.second})
		switch {
		case err != nil:
			continue
		case g.Granted:
			return nil
		}
		return c.overRate(g.Wait)
	}
	if ctx.Err() != nil && c.request.Context().Err() != nil {
		return left{}
	}
	return rejected{http.StatusServiceUnavailable, "keeperSilent", unaskedAfter}
}

// ask asks a VM for a token. One that didn't answer lately isn't asked.
func (g *Gate) ask(ctx context.Context, vm psfleet.Identity, t psfleet.Take) (psfleet.Grant, error) {
	if vm.VM == g.options.Settings.Name {
		return g.Lend(t), nil
	}
	if g.isSilent(vm.VM) {
		return psfleet.Grant{}, errSilent
	}
	a, err := g.options.Lenders.Take(ctx, vm.Peers, t)
	if err != nil && ctx.Err() == nil {
		g.noteSilent(vm.VM)
	}
	return a, err
}

func (g *Gate) isSilent(vm string) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.options.Now().Before(g.silentUntil[vm])
}

func (g *Gate) noteSilent(vm string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.silentUntil[vm] = g.options.Now().Add(silentSpan)
}

// Lend grants a token that this VM keeps for all.
func (g *Gate) Lend(t psfleet.Take) psfleet.Grant {
	s := g.beliefs.Snapshot()
	if s.Index == nil {
		return psfleet.Grant{Wait: unaskedAfter}
	}
	w, found := s.Index.Named(t.Workspace)
	if !found {
		return psfleet.Grant{Wait: unaskedAfter}
	}
	l := psrate.KeptLimit(psrate.Limit{Rate: w.Rate, Burst: w.Burst}, t.Second, s.HeardPart())
	g.mutex.Lock()
	defer g.mutex.Unlock()
	b, found := g.kept[t]
	if !found {
		b = psrate.NewBucket(g.begun)
		g.kept[t] = b
	}
	granted, wait := b.Take(l, 1, g.options.Now())
	return psfleet.Grant{Granted: granted, Wait: wait}
}

// takeSplit takes a token of this VM's part of a workspace's rate.
func (g *Gate) takeSplit(name string, l psrate.Limit, part float64, now time.Time) (bool, time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	b, found := g.buckets[name]
	if !found {
		b = psrate.NewBucket(g.begun)
		g.buckets[name] = b
	}
	return b.Take(l, part, now)
}
