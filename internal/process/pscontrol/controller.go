// Package pscontrol is the control plane of a VM: it maintains the VM's view of the system, by which requests
// are routed.
//
// A single goroutine, [Controller.Run], applies events from the store, the other VMs and the request path. It
// publishes an immutable [pssnapshot.Snapshot] that requests read without locks. While the store is unreachable the VM
// fetches the state of a VM that still reads it, and in a large fleet a starting VM does so to limit
// the load on the store.
package pscontrol

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"persimmonstep/internal/process/psannouncement"
	"persimmonstep/internal/process/psavailability"
	"persimmonstep/internal/process/psdesiredstate"
	"persimmonstep/internal/process/psdiscovery"
	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/pshealth"
	"persimmonstep/internal/process/pslease"
	"persimmonstep/internal/process/pslimit"
	"persimmonstep/internal/process/pslink"
	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/psnode"
	"persimmonstep/internal/process/pspause"
	"persimmonstep/internal/process/psregistry"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/process/psshare"
	"persimmonstep/internal/process/pssnapshot"
	"persimmonstep/internal/process/pssync"
	"persimmonstep/internal/process/pswatch"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/internal/version/psrevision"
	"persimmonstep/platform"
)

// Store is the access to the platform's store.
type Store interface {
	pswatch.Store
	psdiscovery.Store
}

// PeerSender sends messages to other VMs.
type PeerSender interface {
	// Report sends a report to each of the VMs.
	Report(r *psmessage.Report, to []psmessage.Identity) error
	// Notice sends a notice to each of the VMs.
	Notice(n *psmessage.Notice, to []psmessage.Identity) error
	// Digest sends a digest to each of the VMs.
	Digest(d *psmessage.Digest, to []psmessage.Identity) error
}

// TokenSource measures the demand of the workspaces, and grants probes to servers with a limit.
type TokenSource interface {
	// Demands returns the rate of callers' requests, in requests per second, by workspace.
	Demands(now time.Time) map[string]float64
	// Update applies the shares of a new snapshot.
	Update(s *pssnapshot.Snapshot)
	// TakeProbe reports whether a probe may be sent to a server.
	TakeProbe(ctx context.Context, s *pssnapshot.Snapshot, server *psserver.Server) bool
}

// CrashTracker counts, for each request fingerprint, the crashes of servers that were running the request.
type CrashTracker interface {
	// Crashes returns this VM's own counts, by fingerprint.
	Crashes(now time.Time) map[uint64]int
	// RecordPeerCrashes merges another VM's counts.
	RecordPeerCrashes(vm string, crashes map[uint64]int, now time.Time)
	// ForgetSuspected removes the crashes that may be due to this VM's own links.
	ForgetSuspected()
}

// UsageTracker finds the workspaces that send far more requests than usual.
type UsageTracker interface {
	// Busy returns those that this VM finds by itself.
	Busy(now time.Time) []string
	// RecordPeer records those that another VM finds.
	RecordPeer(vm string, busy []string, now time.Time)
}

// Options are the dependencies of a [Controller].
type Options struct {
	Settings *psnode.Settings
	Identity psmessage.Identity
	Store    Store
	Prober   pshealth.Prober
	// Fetcher fetches the state of other VMs: when this VM starts in a large fleet, while the store is
	// unreachable, after a notice of a newer desired state, and when another VM has a newer configuration.
	Fetcher pssync.Fetcher
	Peers   PeerSender
	Tokens  TokenSource
	Crashes CrashTracker
	Usage   UsageTracker
	// Links monitors this VM's links to the backend servers.
	Links  *pslink.Monitor
	Logger hclog.Logger
	// Now returns the current time with a monotonic reading, and SinceBoot the time since the VM's boot, including that for
	// which it was suspended.
	Now       func() time.Time
	SinceBoot func() time.Duration
}

// Controller owns a VM's view of the system. Its state belongs to the goroutine of [Controller.Run]; other
// goroutines enqueue events and read the snapshot.
type Controller struct {
	options  Options
	events   chan event
	snapshot atomic.Pointer[pssnapshot.Snapshot]
	watcher  *pswatch.Watcher
	syncer   *pssync.Syncer
	health   *pshealth.Checker
	// discovery finds the other VMs.
	discovery *psdiscovery.Discovery
	// runContext ends when [Controller.Run] returns.
	runContext context.Context
	startedAt  time.Time
	// leaving is set once the VM takes no new callers.
	leaving atomic.Bool
	// mayGrant is set once the VM may use a part of the fleet's limits.
	mayGrant atomic.Bool

	desiredState *psdesiredstate.Replica
	servers      *psregistry.Registry
	fleet        *psfleet.Fleet
	leases       *pslease.Book
	pauses       *pspause.Detector
	shares       *psshare.Shares
	sharesLog    *psshare.Log
	// vmsRead is set once the published VMs were read.
	vmsRead  bool
	sequence int64
	// lastReport is this VM's latest report, with the full identity.
	lastReport psmessage.Report
	digester   psfleet.Digester
	// newerConfiguration finds a VM that has a newer configuration.
	newerConfiguration psfleet.NewerConfiguration
	// resizedSequence is the sequence number of the first report after the fleet size last changed, and
	// reportedSize that size.
	resizedSequence int64
	reportedSize    int
	announcements   *psannouncement.Announcements
	liveness        *psfleet.LivenessLog
	availability    psavailability.Recorder
}

// New returns a controller without a configuration, servers or known VMs.
func New(o Options) *Controller {
	c := &Controller{
		options: o, startedAt: o.Now(), events: make(chan event, eventQueueSize), desiredState: psdesiredstate.New(o.Logger),
		fleet: psfleet.New(o.Identity), leases: pslease.New(o.Identity, o.Now()), pauses: pspause.New(o.SinceBoot, o.Now()), shares: psshare.New(), sharesLog: psshare.NewLog(o.Logger),
		announcements: psannouncement.New(), liveness: psfleet.NewLivenessLog(o.Logger),
	}
	c.availability = psavailability.Recorder{
		Logger: o.Logger, LimitLog: pslimit.NewLog(o.Logger), Now: o.Now,
		OnLeaving:      func(r psserver.Run) { c.enqueue(serverLeavingEvent{r}) },
		OnLimitChanged: func(r psserver.Run) { c.enqueue(serverLimitEvent{r}) },
	}
	c.servers = psregistry.New(psregistry.Options{
		Regions: o.Settings.Regions, Heartbeat: o.Settings.HeartbeatInterval, Logger: o.Logger,
		Reserved: func(a netip.AddrPort) bool { return o.Settings.Listens(a) || c.fleet.Listens(a) },
	})
	c.runContext = context.Background()
	c.health = &pshealth.Checker{Prober: o.Prober, Owner: c, Logger: o.Logger, Now: o.Now}
	c.discovery = psdiscovery.New(psdiscovery.Options{
		Self: o.Identity, FirstStart: o.Settings.FirstStart, Store: o.Store, FleetSize: c.FleetSize, Logger: o.Logger, Now: o.Now,
		Apply: c.applyPublished,
	})
	c.syncer = pssync.New(pssync.Options{
		Self: o.Identity, FirstStart: o.Settings.FirstStart, Fetcher: o.Fetcher, Sink: c, Snapshot: c.Snapshot, Logger: o.Logger,
		StoreFailing: func() bool { return c.watcher.Failing() }, Discovered: c.discovery.Attempted(),
	})
	c.watcher = pswatch.New(pswatch.Options{
		Self: o.Identity, Store: o.Store, PeerSource: c.syncer, Sink: c, Peers: c, Contact: o.Settings.Bounds.Contact, Heartbeat: o.Settings.HeartbeatInterval,
		Logger: o.Logger, Now: o.Now,
	})
	c.publish()
	return c
}

const (
	// holdingTimeout is how long a VM that starts may wait for its share of the fleet's limits.
	holdingTimeout = time.Second
	// guestTimeout is how long a VM without a part of its own may wait until it can borrow, while others take callers. It covers
	// the time that this takes in a fleet of 84 VMs.
	guestTimeout = 6 * time.Second
)

// eventQueueSize is the number of events that can wait for the controller's goroutine.
const eventQueueSize = 256

// Snapshot returns the latest published view.
func (c *Controller) Snapshot() *pssnapshot.Snapshot { return c.snapshot.Load() }

// Leave removes the VM from the directory and notifies the other VMs.
func (c *Controller) Leave() {
	c.leaving.Store(true)
	c.enqueue(leaveEvent{})
}

// StoreLost reports whether a table of the store is currently unreadable.
func (c *Controller) StoreLost() bool { return c.watcher.Lost() }

// StoreSilence returns the time since the store last responded for the table for which that is longest; 0 before the
// first response.
func (c *Controller) StoreSilence() time.Duration { return c.watcher.Silence() }

// Ready reports whether the VM has the state to serve requests and takes callers. A VM that starts isn't ready, for a limited
// time, before it may use its share of the fleet's limits: it would refuse requests within the rates of their workspaces.
func (c *Controller) Ready() bool {
	s := c.Snapshot()
	timeout := holdingTimeout
	if s.Holding.Total() <= 0 && len(s.VMs) > 1 {
		timeout = guestTimeout
	}
	mayGrant := c.mayGrant.Load() || c.options.Now().Sub(c.startedAt) >= timeout
	return !c.leaving.Load() && s.CanServe() && mayGrant
}

// ReceiveReport processes another VM's report.
func (c *Controller) ReceiveReport(r *psmessage.Report) { c.enqueue(reportEvent{r}) }

// ReceiveDigest processes reports that a VM forwards.
func (c *Controller) ReceiveDigest(d *psmessage.Digest) { c.enqueue(digestEvent{d}) }

// ReceiveNotice processes a notice of the VM that reads the store for the region.
func (c *Controller) ReceiveNotice(n *psmessage.Notice) { c.watcher.HandleNotice(n) }

// ApplyDesiredState processes the operator's desired state from the watcher of the store.
func (c *Controller) ApplyDesiredState(state platform.DesiredState, full, afterRestore bool) {
	c.enqueue(desiredStateEvent{state, psdesiredstate.ReadInfo{Full: full, AfterRestore: afterRestore}})
}

// ApplyServers processes server entries from the watcher of the store.
func (c *Controller) ApplyServers(s platform.Servers, full, recovering bool) {
	c.enqueue(serversEvent{s, psregistry.UpdateInfo{Full: full, Recovering: recovering}})
}

// FleetSize returns the number of known VMs, this one included.
func (c *Controller) FleetSize() int { return c.Snapshot().FleetSize }

// IsRelay reports whether this VM relays store changes to its region. That is the first live VM of the region,
// as far as this VM knows.
func (c *Controller) IsRelay() bool { return c.Snapshot().RelaysStore }

// SendNotice sends a notice to the other VMs of the region.
func (c *Controller) SendNotice(n *psmessage.Notice) {
	self := c.options.Identity
	to := lo.Filter(c.Snapshot().RecentVMs, func(v psmessage.Identity, _ int) bool { return v.Region == self.Region && v.VM != self.VM })
	if err := c.options.Peers.Notice(n, to); err != nil {
		c.options.Logger.Debug("sending a notice failed for at least one VM", "error", err.Error())
	}
}

// ServerFailed takes a server out of use that accepted no connection or left all its requests unanswered, and
// starts probing it. The log names the request that detected the failure. While the links to all servers are lost, a
// failure shows nothing about the server.
func (c *Controller) ServerFailed(s *psserver.Server, reason pshealth.Reason, requestID string) {
	e := s.Entry()
	if c.options.Links.Lost() || !s.MarkFailed(c.options.Now()) {
		return
	}
	psevent.ServerFailed.Log(c.options.Logger, e.ID, e.Service, string(reason), requestID)
	c.enqueue(serverFailedEvent{s, reason})
}

// UpdateAvailability processes what a server announces in a response.
func (c *Controller) UpdateAvailability(s *psserver.Server, a psavailability.Announcement) {
	c.availability.Update(s, a)
}

// applyPublished processes what VMs have published. complete states that this VM had been published when that was read. It
// returns when the snapshot includes the VMs.
func (c *Controller) applyPublished(rows map[string][]byte, complete bool) {
	applied := make(chan struct{})
	c.enqueue(vmsEvent{rows, complete, applied})
	c.awaitPublished(applied)
}

// awaitPublished waits until the published snapshot includes an event, or the controller ends.
func (c *Controller) awaitPublished(applied <-chan struct{}) {
	select {
	case <-applied:
	case <-c.runContext.Done():
	}
}

// event is an input to the controller's goroutine.
type event interface{ event() }

type (
	desiredStateEvent struct {
		desiredState platform.DesiredState
		info         psdesiredstate.ReadInfo
	}
	serversEvent struct {
		servers platform.Servers
		info    psregistry.UpdateInfo
	}
	vmsEvent struct {
		rows map[string][]byte
		// complete states that this VM had been published when the rows were read.
		complete bool
		// applied is closed once the published snapshot includes the rows.
		applied chan struct{}
	}
	reportEvent       struct{ report *psmessage.Report }
	digestEvent       struct{ digest *psmessage.Digest }
	serverFailedEvent struct {
		server *psserver.Server
		reason pshealth.Reason
	}
	// configurationEvent carries a newer configuration from another VM.
	configurationEvent struct{ configuration *psconfig.Configuration }
	serverLeavingEvent struct{ run psserver.Run }
	// serverDownEvent reports a server that other VMs can't be expected to reach either.
	serverDownEvent struct{ id string }
	// linksEvent reports that the links to all servers were lost or restored.
	linksEvent struct {
		// applied is closed once the published snapshot says so.
		applied chan struct{}
	}
	serverLimitEvent struct{ run psserver.Run }
	leaveEvent       struct{}
	// heirEvent asks for a VM to which this one can leave its part of the limits; empty if there is none.
	heirEvent struct{ reply chan string }
	// endEvent states that this VM ends, and to which VM it leaves its part; empty if there is none.
	endEvent       struct{ heir string }
	peerStateEvent struct{ pssync.PeerState }
)

func (desiredStateEvent) event()  {}
func (serversEvent) event()       {}
func (vmsEvent) event()           {}
func (reportEvent) event()        {}
func (digestEvent) event()        {}
func (serverFailedEvent) event()  {}
func (configurationEvent) event() {}
func (serverLeavingEvent) event() {}
func (serverDownEvent) event()    {}
func (linksEvent) event()         {}
func (serverLimitEvent) event()   {}
func (leaveEvent) event()         {}
func (heirEvent) event()          {}
func (endEvent) event()           {}
func (peerStateEvent) event()     {}

// enqueue passes an event to the controller's goroutine. While the queue is full, reports are dropped, since
// the next report of their VM replaces them; for other events the caller waits.
func (c *Controller) enqueue(e event) {
	if !isReport(e) {
		c.events <- e
		return
	}
	select {
	case c.events <- e:
	default:
	}
}

// isReport reports whether an event only carries the reports of other VMs.
func isReport(e event) bool {
	switch e.(type) {
	case reportEvent, digestEvent:
		return true
	default:
		return false
	}
}

// awaitedBy returns the channel to close once the published snapshot includes an event; nil if nothing waits for that.
func awaitedBy(e event) chan struct{} {
	switch e := e.(type) {
	case vmsEvent:
		return e.applied
	case linksEvent:
		return e.applied
	default:
		return nil
	}
}

// Run processes events, store changes and timers until the context ends.
func (c *Controller) Run(ctx context.Context) {
	c.runContext = ctx
	go c.watcher.Run(ctx)
	go c.discovery.Run(ctx)
	go c.syncer.Run(ctx)
	go c.options.Links.Run(ctx, c)
	reportTimer := time.NewTimer(0)
	defer reportTimer.Stop()
	digestTimer := time.NewTimer(c.fleet.NextDigest(c.age()))
	defer digestTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.events:
			c.noteActivity()
			c.apply(e)
			if isReport(e) {
				// Changes from other VMs' reports are published with this VM's next report.
				continue
			}
			if applied := awaitedBy(e); applied != nil {
				c.publish()
				close(applied)
				continue
			}
		case <-reportTimer.C:
			c.noteActivity()
			c.sendReport()
			reportTimer.Reset(c.fleet.NextReport(c.age()))
		case <-digestTimer.C:
			c.publishDigest()
			digestTimer.Reset(c.fleet.NextDigest(c.age()))
			continue
		}
		c.publish()
	}
}

// age returns how long ago this VM started.
func (c *Controller) age() time.Duration { return c.options.Now().Sub(c.startedAt) }

// noteActivity records that this process is active. What it knows of other VMs is older than it seems after a suspension.
func (c *Controller) noteActivity() {
	if suspended := c.pauses.Active(c.options.Now()); suspended > 0 {
		c.fleet.Age(suspended)
		c.shares.Age(suspended)
	}
}

func (c *Controller) apply(e event) {
	now := c.options.Now()
	switch e := e.(type) {
	case desiredStateEvent:
		c.applyDesiredState(e.desiredState, e.info, now)
	case serversEvent:
		c.desiredState.LogUnreadable(e.servers.Unreadable)
		c.servers.Apply(e.servers, e.info, now)
		for _, d := range c.servers.TakeDepartures() {
			c.announcements.Departed(d, now)
		}
	case vmsEvent:
		c.applyVMs(e, now)
	case reportEvent:
		c.applyReport(e.report, c.pauses.ReceivedAt(now), now)
	case digestEvent:
		c.applyDigest(e.digest, now)
	case serverFailedEvent:
		c.applyFailure(e)
	case configurationEvent:
		c.desiredState.ApplyConfiguration(e.configuration, psrevision.Revision{})
	case serverLeavingEvent:
		c.announcements.Leaving(e.run, now)
	case serverDownEvent:
		c.announcements.Failed(e.id, now)
	case linksEvent:
		c.applyLinkChange(now)
	case serverLimitEvent:
		c.announcements.LimitChanged(e.run, now)
	case leaveEvent:
		c.sendReport()
		c.publishDigest()
	case heirEvent:
		heir, _ := c.leases.Heir(c.fleet, now)
		e.reply <- heir
	case endEvent:
		c.leases.End(e.heir)
		c.sendReport()
	case peerStateEvent:
		c.applyPeerState(e, now)
	}
}

func (c *Controller) applyDesiredState(state platform.DesiredState, info psdesiredstate.ReadInfo, now time.Time) {
	result := c.desiredState.Apply(state, info)
	for _, d := range result.Released {
		c.readmitDomain(d, now)
	}
	if result.Restored {
		// The restore may have removed the identity that this VM published.
		c.discovery.HandleRestore()
	}
}

// readmitDomain returns the servers of a failure domain to use after its evacuation. They count as cold until
// probes return their cold time.
func (c *Controller) readmitDomain(domain string, now time.Time) {
	for _, s := range c.servers.InDomain(domain) {
		if v, found := c.service(s); found {
			s.AssumeCold(v.ColdStart, now)
			go c.health.Run(c.runContext, s, v.HealthPath)
		}
	}
}

func (c *Controller) service(s *psserver.Server) (*psconfig.Service, bool) {
	return c.desiredState.Service(s.Entry().Service)
}
