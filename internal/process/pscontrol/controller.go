package pscontrol

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"persimmonstep/internal/process/psdiscover"
	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/psfollow"
	"persimmonstep/internal/process/psnode"
	"persimmonstep/internal/process/psorders"
	"persimmonstep/internal/process/psregistry"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/process/psshare"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/internal/version/psmoment"
	"persimmonstep/platform"
)

// Store is what the control reads and writes of the platform's store.
type Store interface {
	psfollow.Store
	psdiscover.Store
}

// Prober asks a backend server how it is.
type Prober interface {
	Probe(ctx context.Context, e psserver.Entry, path string) (platform.Health, error)
}

// Peers sends this VM's reports.
type Peers interface {
	// Report sends a report to each of the VMs.
	Report(r *psfleet.Report, to []psfleet.Identity) error
	// Notice sends a notice to each of the VMs.
	Notice(n *psfleet.Notice, to []psfleet.Identity) error
	// Digest sends a digest to each of the VMs.
	Digest(d *psfleet.Digest, to []psfleet.Identity) error
}

// Demands tells what callers ask for.
type Demands interface {
	// Demands returns the requests per second that callers ask for, by workspace.
	Demands(now time.Time) map[string]float64
}

// Crashes tells and learns which requests were at servers that crashed.
type Crashes interface {
	// Crashes returns this VM's counts of crashes by request.
	Crashes(now time.Time) map[uint64]int
	// Learn takes in what another VM says of crashes.
	Learn(vm string, crashes map[uint64]int, now time.Time)
}

// Options are what a control needs.
type Options struct {
	Settings *psnode.Settings
	Identity psfleet.Identity
	Store    Store
	Prober   Prober
	// Believers is asked while the store is lost.
	Believers Believers
	Peers     Peers
	Demands   Demands
	Crashes   Crashes
	Logger    hclog.Logger
	// Now gives monotonic time.
	Now func() time.Time
}

// Control owns what a VM believes. Its state belongs to the goroutine of [Control.Run].
type Control struct {
	options  Options
	events   chan event
	snapshot atomic.Pointer[Snapshot]
	follower *psfollow.Follower
	// discovery learns of the other VMs.
	discovery *psdiscover.Discovery
	// running ends with the control.
	running context.Context
	// leaving says that the VM takes no new callers.
	leaving atomic.Bool

	orders   *psorders.Orders
	servers  *psregistry.Registry
	fleet    *psfleet.Fleet
	shares   *psshare.Shares
	sequence int64
	// reported is the latest own report, with the whole identity.
	reported psfleet.Report
	digester psfleet.Digester
	// serversAt is the moment that the servers are as of.
	serversAt psmoment.Moment
	// newerSince is since when a live VM has a newer configuration; zero if none has.
	newerSince time.Time
	// grownAt is the number of the report before which the fleet grew last, and grownTo its size.
	grownAt int64
	grownTo int
	// failed says when this VM found servers down, and leavings when they told that they end.
	failed   map[string]time.Time
	leavings map[psserver.Run]time.Time
	silent   map[string]bool
}

// New returns a control that knows nothing yet.
func New(o Options) *Control {
	c := &Control{
		options: o, events: make(chan event, eventBacklog), orders: psorders.New(o.Logger),
		servers: psregistry.New(o.Settings.Regions, o.Logger), fleet: psfleet.New(o.Identity), shares: psshare.New(),
		failed: map[string]time.Time{}, leavings: map[psserver.Run]time.Time{}, silent: map[string]bool{},
	}
	c.running = context.Background()
	c.follower = psfollow.New(psfollow.Options{
		Self: o.Identity, Store: o.Store, Near: c, Sink: c, Peers: c, Logger: o.Logger, Now: o.Now,
	})
	c.discovery = psdiscover.New(psdiscover.Options{
		Self: o.Identity, FirstStart: o.Settings.FirstStart, Store: o.Store, FleetSize: c.FleetSize, Logger: o.Logger, Now: o.Now,
		Take: c.takePublished,
	})
	c.publish()
	return c
}

// eventBacklog is the number of events that may wait for the control's goroutine.
const eventBacklog = 256

// Snapshot returns what the VM believes now.
func (c *Control) Snapshot() *Snapshot { return c.snapshot.Load() }

// Leave takes the VM out of the directory and tells the other VMs.
func (c *Control) Leave() {
	c.leaving.Store(true)
	c.tell(leaveEvent{})
}

// StoreLost reports whether a table of the store can't be read now.
func (c *Control) StoreLost() bool { return c.follower.Lost() }

// Ready reports whether the VM can serve and takes callers.
func (c *Control) Ready() bool {
	s := c.Snapshot()
	return !c.leaving.Load() && s.Serves()
}

// Heard takes in another VM's report.
func (c *Control) Heard(r *psfleet.Report) { c.tell(reportEvent{r}) }

// Digested takes in the reports that a VM passes on.
func (c *Control) Digested(d *psfleet.Digest) { c.tell(digestEvent{d}) }

// Noticed takes in what the VM that reads the store for the region tells.
func (c *Control) Noticed(n *psfleet.Notice) { c.follower.Noticed(n) }

// TakeOrders takes in the operator's orders.
func (c *Control) TakeOrders(o platform.Orders, whole, returning bool) {
	c.tell(ordersEvent{o, psorders.Reading{Whole: whole, Returning: returning}})
}

// TakeServers takes in entries of servers.
func (c *Control) TakeServers(s platform.Servers, whole, returning bool) {
	c.tell(serversEvent{s, psregistry.Reading{Whole: whole, Returning: returning}})
}

// FleetSize returns the number of VMs that may be in use.
func (c *Control) FleetSize() int { return c.Snapshot().FleetSize }

// Tells reports whether this VM is the first of its region that lives, as far as it knows.
func (c *Control) Tells() bool { return c.Snapshot().tells }

// Notice tells the other VMs of the region.
func (c *Control) Notice(n *psfleet.Notice) {
	i := c.options.Identity
	to := lo.Filter(c.Snapshot().holders, func(v psfleet.Identity, _ int) bool { return v.Region == i.Region && v.VM != i.VM })
	if err := c.options.Peers.Notice(n, to); err != nil {
		c.options.Logger.Debug("notice not sent to all VMs", "error", err.Error())
	}
}

// ServerFailed takes in that a server could not be connected to, or that none of its requests was answered.
// The request that showed it is named in the log.
func (c *Control) ServerFailed(s *psserver.Server, reason Reason, requestID string) {
	e := s.Entry()
	if !s.Fail(c.options.Now()) {
		return
	}
	psevent.ServerFailed.Log(c.options.Logger, e.ID, e.Service, string(reason), requestID)
	c.tell(failedEvent{s, reason})
}

// TakeWishes takes in what a server says of requests to come, in the answer to a request or, without an
// id, to a probe.
func (c *Control) TakeWishes(s *psserver.Server, w platform.Wishes, requestID string) {
	e := s.Entry()
	if w.Leaving && s.Leave() {
		psevent.ServerLeaves.Log(c.options.Logger, e.ID, e.Service, requestID)
		c.tell(leavingEvent{e.Run()})
	}
	if w.Quiet > 0 {
		counts := s.Quiet(w.Quiet, c.options.Now())
		psevent.ServerQuiet.Log(c.options.Logger, e.ID, e.Service, requestID, w.Quiet.String(), counts.String())
	}
}

// Reason is why a server is taken for failed.
type Reason string

const (
	// ReasonUnreachable servers took no connection.
	ReasonUnreachable Reason = "unreachable"
	// ReasonCrashed servers lost a request and took no connection then.
	ReasonCrashed Reason = "crashed"
	// ReasonSilent servers left all requests unanswered.
	ReasonSilent Reason = "silent"
	// ReasonTold servers are down according to another VM.
	ReasonTold Reason = "told"
)

// takePublished takes in what other VMs have published, and returns when that is done.
func (c *Control) takePublished(rows map[string][]byte) {
	e := vmsEvent{rows, make(chan struct{})}
	c.tell(e)
	select {
	case <-e.taken:
	case <-c.running.Done():
	}
}

// event is something that changes what the VM believes.
type event interface{ event() }

type (
	ordersEvent struct {
		orders  platform.Orders
		reading psorders.Reading
	}
	serversEvent struct {
		servers platform.Servers
		reading psregistry.Reading
	}
	vmsEvent struct {
		rows map[string][]byte
		// taken is closed when requests and questions go by it.
		taken chan struct{}
	}
	reportEvent struct{ report *psfleet.Report }
	digestEvent struct{ digest *psfleet.Digest }
	failedEvent struct {
		server *psserver.Server
		reason Reason
	}
	// configurationEvent is a newer configuration that another VM told.
	configurationEvent struct{ configuration *psconfig.Configuration }
	leavingEvent       struct{ run psserver.Run }
	leaveEvent         struct{}
	beliefsEvent       struct {
		vm      string
		beliefs psfleet.Beliefs
		// start says that a VM that starts takes them in place of the store's tables.
		start bool
		// unchanged says that the VM believes what it told last.
		unchanged bool
	}
)

func (ordersEvent) event()        {}
func (serversEvent) event()       {}
func (vmsEvent) event()           {}
func (reportEvent) event()        {}
func (digestEvent) event()        {}
func (failedEvent) event()        {}
func (configurationEvent) event() {}
func (leavingEvent) event()       {}
func (leaveEvent) event()         {}
func (beliefsEvent) event()       {}

// tell passes an event to the control's goroutine. Reports may be dropped; the next ones say the same.
func (c *Control) tell(e event) {
	if !isReport(e) {
		c.events <- e
		return
	}
	select {
	case c.events <- e:
	default:
	}
}

// isReport reports whether an event only tells how other VMs are.
func isReport(e event) bool {
	switch e.(type) {
	case reportEvent, digestEvent:
		return true
	default:
		return false
	}
}

// Run follows the store and the other VMs until the context ends.
func (c *Control) Run(ctx context.Context) {
	c.running = ctx
	go c.follower.Run(ctx)
	go c.discovery.Run(ctx)
	go c.followVMsBeliefs(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	digests := time.NewTimer(c.fleet.DigestInterval())
	defer digests.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.events:
			c.take(e)
			if isReport(e) {
				// What other VMs report counts from this VM's next report on.
				continue
			}
			if v, found := e.(vmsEvent); found {
				c.publish()
				close(v.taken)
				continue
			}
		case <-timer.C:
			c.report()
			timer.Reset(c.fleet.Interval())
		case <-digests.C:
			c.digest()
			digests.Reset(c.fleet.DigestInterval())
			continue
		}
		c.publish()
	}
}

func (c *Control) take(e event) {
	now := c.options.Now()
	switch e := e.(type) {
	case ordersEvent:
		c.takeOrders(e.orders, e.reading, now)
	case serversEvent:
		c.orders.LogUnread(e.servers.Unread)
		c.servers.Take(e.servers, e.reading, now)
		c.serversAt = psmoment.Later(c.serversAt, e.servers.At)
	case vmsEvent:
		c.takeVMs(e.rows, now)
	case reportEvent:
		c.takeReport(e.report, now, now)
	case digestEvent:
		c.takeDigest(e.digest, now)
	case failedEvent:
		c.takeFailed(e, now)
	case configurationEvent:
		c.orders.Configure(e.configuration, psmoment.Moment{})
	case leavingEvent:
		c.leavings[e.run] = now
	case leaveEvent:
		c.report()
		c.digest()
	case beliefsEvent:
		c.takeBeliefs(e, now)
	}
}

func (c *Control) takeOrders(o platform.Orders, e psorders.Reading, now time.Time) {
	t := c.orders.Take(o, e)
	for _, d := range t.Released {
		c.takeBack(d, now)
	}
	if t.Restored {
		// What this VM published of itself may be gone.
		c.discovery.Restored()
	}
}

// takeBack takes the servers of a failure domain for cold until probes tell how they are.
func (c *Control) takeBack(domain string, now time.Time) {
	for _, s := range c.servers.In(domain) {
		if v, found := c.service(s); found {
			s.AssumeCold(v.ColdStart, now)
			c.probe(s, 0)
		}
	}
}

// service returns the service of a server.
func (c *Control) service(s *psserver.Server) (*psconfig.Service, bool) {
	return c.orders.Service(s.Entry().Service)
}
