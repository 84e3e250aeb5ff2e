package pslease_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/pstoken"
	"persimmonstep/internal/version/psconfig"
)

const (
	// window, tolerance and slack are those of the bound on what all VMs grant together.
	window    = 5 * time.Second
	tolerance = 1.1
	slack     = 20
)

// tokenClient requests tokens of one VM of a model from others.
type tokenClient struct {
	model *model
	vm    *modelVM
}

func (c tokenClient) RequestToken(_ context.Context, to netip.AddrPort, q psmessage.TokenRequest) (psmessage.TokenResponse, error) {
	m := c.model
	for _, v := range m.vms {
		away := !v.running || v.pausedUntil.After(m.now) || m.cut[[2]int{c.vm.number, v.number}] || m.cut[[2]int{v.number, c.vm.number}]
		if v.identity.PeerAddress == to && !away {
			return v.tokens.Grant(&v.snapshot, q), nil
		}
	}
	return psmessage.TokenResponse{}, errors.New("request token: no response")
}

// take asks a VM for a token of a workspace.
func (v *modelVM) take(workspace string) bool {
	if v.snapshot.Index == nil {
		return false
	}
	w, _ := v.snapshot.Index.WorkspaceByName(workspace)
	_, granted := v.tokens.Take(context.Background(), &v.snapshot, w, false).(pstoken.Granted)
	return granted
}

// grants counts the tokens of each workspace that all VMs together grant.
type grants struct {
	workspaces []psconfig.Workspace
	// steps holds the counts of each step, and sums those of the last window.
	steps [][]int
	sums  []int
}

func newGrants(list []psconfig.Workspace) *grants {
	return &grants{workspaces: list, sums: make([]int, len(list))}
}

// add adds the counts of one step.
func (g *grants) add(step []int) {
	g.steps = append(g.steps, step)
	for i, n := range step {
		g.sums[i] += n
		if first := len(g.steps) - 1 - int(window/modelStep); first >= 0 {
			g.sums[i] -= g.steps[first][i]
		}
	}
}

// idleSteps is the mean number of steps after which callers of a VM go away or come back.
const idleSteps = 60

// take takes all tokens that the VMs of a model with callers grant now.
func (g *grants) take(m *model) {
	step := make([]int, len(g.workspaces))
	for _, n := range m.random.Perm(len(m.vms)) {
		v := m.vms[n]
		if m.random.IntN(idleSteps) == 0 {
			v.idle = !v.idle
		}
		if !v.running || v.pausedUntil.After(m.now) || v.idle {
			continue
		}
		for i := range g.workspaces {
			for v.take(g.workspaces[i].Name) {
				step[i]++
			}
		}
	}
	g.add(step)
}

// check checks that the last window has no more grants than the limits allow.
func (g *grants) check(t *testing.T, m *model) {
	t.Helper()
	for i, n := range g.sums {
		if w := g.workspaces[i]; float64(n) > bound(w) {
			m.log(t)
			t.Fatalf("%.2f: %d tokens of %s were granted within %s, %.0f are allowed", m.now.Sub(time.Unix(1000, 0)).Seconds(), n, w.Name, window, bound(w))
		}
	}
}

// bound returns how many requests of a workspace may be granted in a window.
func bound(w psconfig.Workspace) float64 { return (w.Rate*window.Seconds()+w.Burst)*tolerance + slack }
