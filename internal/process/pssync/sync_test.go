package pssync_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/pssnapshot"
	"persimmonstep/internal/process/pssync"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/internal/version/psrevision"
)

// peers are other VMs that all have the same state, and record what the syncer applies.
type peers struct {
	state   psmessage.ControlState
	applied []psrevision.Revision
}

func (p *peers) Fetch(context.Context, psmessage.Identity, string) (psmessage.StateResponse, error) {
	return psmessage.StateResponse{State: p.state}, nil
}

func (p *peers) FetchDesiredState(context.Context, psmessage.Identity) (psmessage.ControlState, error) {
	return p.state, nil
}

func (*peers) ApplyPeerState(pssync.PeerState) {}

func (p *peers) ApplyPeerDesiredState(state psmessage.ControlState) {
	p.applied = append(p.applied, state.DesiredStateRevision)
}

func (*peers) ApplyPeerConfiguration(*psconfig.Configuration) {}

// TestFetchDesiredStateRequiresTheRevision fetches the desired state from a VM after a notice. A state older than the
// announced revision, and an unknown VM, must be reported as failures and not be applied.
func TestFetchDesiredStateRequiresTheRevision(t *testing.T) {
	p := &peers{state: psmessage.ControlState{DesiredStateRevision: psrevision.New(0, 7)}}
	s := pssync.New(pssync.Options{
		Self: psmessage.Identity{VM: "vm-1"}, Fetcher: p, Sink: p, Logger: hclog.NewNullLogger(),
		Snapshot: func() *pssnapshot.Snapshot {
			return &pssnapshot.Snapshot{RecentVMs: []psmessage.Identity{{VM: "vm-1"}, {VM: "vm-2"}}}
		},
	})
	revision, found := s.FetchDesiredState(t.Context(), "vm-2", psrevision.New(0, 7))
	qt.Assert(t, found, qt.IsTrue)
	qt.Assert(t, revision, qt.Equals, psrevision.New(0, 7))
	limited, stop := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer stop()
	_, found = s.FetchDesiredState(limited, "vm-2", psrevision.New(0, 8))
	qt.Assert(t, found, qt.IsFalse)
	_, found = s.FetchDesiredState(t.Context(), "vm-unknown", psrevision.New(0, 7))
	qt.Assert(t, found, qt.IsFalse)
	qt.Assert(t, p.applied, qt.DeepEquals, []psrevision.Revision{psrevision.New(0, 7)})
}
