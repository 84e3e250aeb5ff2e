package psversion

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

const (
	// pollInterval is the time between two looks of a domain's poller at the head.
	pollInterval = 250 * time.Millisecond
	// idleInterval is the mean time between two looks of the other VMs.
	idleInterval = 10 * time.Second
	// maxHints is the number of hints that may wait; heartbeats repeat those that are lost.
	maxHints = 16
)

// Follower keeps the plan of the largest version that this VM has seen.
//
// One VM of each failure domain polls the platform's head. The others learn of a version
// from a peer and take its content from that peer, as a delta where both know a base.
type Follower struct {
	store  *Store
	logger hclog.Logger
	plan   atomic.Pointer[psplan.Plan]
	hints  chan hint
	shelf  shelf
	// looks asks for a look at the platform; found carries the contents that it brought.
	looks chan struct{}
	found chan *Content
	// installed is called with each plan once it is in force.
	installed func(p *psplan.Plan, from psdoc.Name)
	// polls reports whether this VM is its domain's poller.
	polls func() bool
	peers Peers
	// compiler belongs to the goroutine that installs versions.
	compiler Compiler
}

// hint says that a version exists.
type hint struct {
	version uint64
	// from is the VM that has it; empty says that the platform has.
	from psdoc.Name
}

// NewFollower returns a follower with the empty plan.
func NewFollower(s *Store, l hclog.Logger) *Follower {
	f := &Follower{
		store: s, logger: l, hints: make(chan hint, maxHints),
		looks: make(chan struct{}, 1), found: make(chan *Content),
		installed: func(*psplan.Plan, psdoc.Name) {},
		polls:     func() bool { return true },
	}
	f.plan.Store(psplan.Empty())
	return f
}

// Connect lets the follower exchange contents with other VMs, and poll only while polls
// reports true. It must be called before Run.
func (f *Follower) Connect(p Peers, polls func() bool) {
	f.peers, f.polls = p, polls
	p.Handle(methodContent, f.answerContent)
}

// OnInstall sets a function that is called with each plan once it is in force, and with the
// VM that it came from, which is empty for the platform. It must be called before Run.
func (f *Follower) OnInstall(g func(p *psplan.Plan, from psdoc.Name)) {
	f.installed = g
}

// Plan returns the plan in force.
func (f *Follower) Plan() *psplan.Plan {
	return f.plan.Load()
}

// Learn tells the follower that the platform has a version.
func (f *Follower) Learn(version uint64) {
	f.LearnFrom(version, "")
}

// LearnFrom tells the follower that another VM has a version.
func (f *Follower) LearnFrom(version uint64, from psdoc.Name) {
	select {
	case f.hints <- hint{version: version, from: from}:
	default:
	}
}

// Run follows the head until the context ends. It is the only writer of the plan. A look at
// the platform has a goroutine of its own, so that a slow platform holds up no peer's news.
func (f *Follower) Run(ctx context.Context) {
	looking := make(chan struct{})
	go func() {
		defer close(looking)
		f.look(ctx)
	}()
	defer func() { <-looking }()
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-f.found:
			f.install(c, "")
		case h := <-f.hints:
			f.follow(ctx, h)
		}
	}
}

// look looks at the platform's head until the context ends.
func (f *Follower) look(ctx context.Context) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	asked := true
	idle := time.Now()
	for {
		if asked || f.Plan().Version == 0 || f.polls() || !time.Now().Before(idle) {
			f.refresh(ctx)
			idle = time.Now().Add(idleInterval/2 + rand.N(idleInterval))
		}
		asked = false
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-f.looks:
			asked = true
		}
	}
}

// follow goes after a version that is said to exist.
func (f *Follower) follow(ctx context.Context, h hint) {
	if h.version <= f.Plan().Version {
		return
	}
	if h.from != "" && f.fetch(ctx, h) == nil {
		return
	}
	select {
	case f.looks <- struct{}{}:
	default:
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
	select {
	case f.found <- c:
	case <-ctx.Done():
	}
}

// install puts a content in force unless a larger version is. The VM that it came from is
// empty for the platform.
func (f *Follower) install(c *Content, from psdoc.Name) {
	if c.Version <= f.Plan().Version {
		return
	}
	p, err := f.compiler.Compile(c)
	if err != nil {
		psevent.VersionFailed.Log(f.logger, err)
		return
	}
	f.shelf.add(c)
	f.plan.Store(p)
	f.installed(p, from)
	psevent.VersionInForce.Log(f.logger, p.Version)
}
