package psversion

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/version/psplan"
)

// pollInterval is the time between two looks at the head.
const pollInterval = 250 * time.Millisecond

// Follower keeps the plan of the largest version that this VM has seen.
type Follower struct {
	store  *Store
	logger hclog.Logger
	plan   atomic.Pointer[psplan.Plan]
	hints  chan uint64
	// installed is called with each plan before it is in force.
	installed func(*psplan.Plan)
}

// NewFollower returns a follower with the empty plan.
func NewFollower(s *Store, l hclog.Logger) *Follower {
	f := &Follower{store: s, logger: l, hints: make(chan uint64, 1), installed: func(*psplan.Plan) {}}
	f.plan.Store(psplan.Empty())
	return f
}

// OnInstall sets a function that is called with each plan before it is in force. It must be
// called before Run.
func (f *Follower) OnInstall(g func(*psplan.Plan)) {
	f.installed = g
}

// Plan returns the plan in force.
func (f *Follower) Plan() *psplan.Plan {
	return f.plan.Load()
}

// Learn tells the follower that a version exists.
func (f *Follower) Learn(version uint64) {
	select {
	case f.hints <- version:
	default:
	}
}

// Run follows the head until the context ends. It is the only writer of the plan.
func (f *Follower) Run(ctx context.Context) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		f.refresh(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-f.hints:
		}
	}
}

func (f *Follower) refresh(ctx context.Context) {
	h, err := f.store.Latest(ctx)
	if err != nil || h.Version <= f.Plan().Version {
		return
	}
	c, err := f.store.Load(ctx, h)
	if err != nil {
		psevent.VersionFailed.Log(f.logger, err)
		return
	}
	f.install(c)
}

// install puts a content in force unless a larger version is.
func (f *Follower) install(c *Content) {
	if c.Version <= f.Plan().Version {
		return
	}
	p, err := c.Compile()
	if err != nil {
		psevent.VersionFailed.Log(f.logger, err)
		return
	}
	f.installed(p)
	f.plan.Store(p)
	psevent.VersionInForce.Log(f.logger, p.Version)
}
