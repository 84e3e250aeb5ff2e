package pscontrol

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/pshealth"
	"persimmonstep/internal/process/pslease"
	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/process/pssnapshot"
)

// applyVMs adds the VMs that were published.
func (c *Controller) applyVMs(e vmsEvent, now time.Time) {
	first := !c.vmsRead
	c.vmsRead = c.vmsRead || e.complete
	for name, value := range e.rows {
		p, err := psmessage.DecodePublishedVM(value)
		switch {
		case err != nil:
			psevent.RowUnreadable.Log(c.options.Logger, name, 0, err.Error())
		case p.VM == c.options.Identity.VM:
			c.confirm(p.OwnsPart())
		default:
			c.fleet.AddPublished(p, now)
		}
	}
	if first {
		// The sooner the others hear this VM, the sooner it may use its share of the limits.
		c.sendReport()
	}
}

// confirm records whether this VM has published that it owns a part of the fleet's limits.
func (c *Controller) confirm(owner bool) {
	if owner {
		c.leases.Confirm()
	}
}

// updateHolding determines what this VM may use of the fleet's limits.
func (c *Controller) updateHolding(now time.Time) pslease.Holding {
	guest := c.leases.Guest()
	h := c.leases.Update(c.fleet, c.vmsRead, now)
	if guest && !c.leases.Guest() {
		c.discovery.PublishOwner()
	}
	return h
}

// applyReport applies a report. receivedAt is when this VM, or the VM that forwards the report, received it.
func (c *Controller) applyReport(r *psmessage.Report, receivedAt, now time.Time) {
	before, fresh := c.fleet.ApplyReport(r, receivedAt)
	if !fresh {
		return
	}
	c.liveness.Reported(r, before, now)
	c.options.Crashes.RecordPeerCrashes(r.VM, r.Crashes, now)
	c.availability.ApplyReport(r, c.servers, receivedAt)
	for _, d := range r.Departed {
		c.servers.ApplyDeparture(r.VM, d, now)
	}
	if r.Features.Has(psmessage.BusyWorkspaces) {
		c.options.Usage.RecordPeer(r.VM, r.Busy, receivedAt)
	}
	for id, lag := range r.Slow {
		if s, found := c.servers.Get(id); found {
			s.RecordPeerLag(lag, now)
		}
	}
	c.applyPeerFailures(r, before, now)
}

// applyPeerFailures takes servers out of use that another VM newly names as failed. A VM that doesn't know the state of
// its own links says nothing about servers by that.
func (c *Controller) applyPeerFailures(r *psmessage.Report, before psfleet.Peer, now time.Time) {
	if before.Report == nil || !r.Features.Has(psmessage.LinkState) {
		return
	}
	for _, id := range r.Failed {
		if s, found := c.servers.Get(id); found && !slices.Contains(before.Report.Failed, id) {
			c.applyPeerFailure(s, now)
		}
	}
}

// applyDigest applies forwarded reports. A digest that comes directly from another failure domain is relayed to
// the other VMs of this VM's failure domain.
func (c *Controller) applyDigest(d *psmessage.Digest, now time.Time) {
	for i := range d.Reports {
		r := d.Reports[i].Report
		c.applyReport(&r, c.pauses.ReceivedAt(now).Add(-d.Reports[i].Age), now)
	}
	if d.Relayed || d.FailureDomain == c.options.Identity.FailureDomain {
		return
	}
	relayed := *d
	relayed.Relayed = true
	c.sendDigest(&relayed, identities(c.fleet.DomainPeers()))
}

// publishDigest sends the reports of this failure domain to the others, if this VM is one of its digest senders.
func (c *Controller) publishDigest() {
	now := c.options.Now()
	rank, found := c.fleet.DigestRank(now)
	if !found {
		return
	}
	if d := c.digester.Digest(c.fleet, c.lastReport, now); d != nil {
		known, strangers := c.digester.Receivers(c.fleet, rank, now)
		c.sendDigest(d, known)
		if len(strangers) > 0 {
			c.sendDigest(c.fleet.Expand(d), strangers)
		}
	}
}

func (c *Controller) sendDigest(d *psmessage.Digest, to []psmessage.Identity) {
	if err := c.options.Peers.Digest(d, to); err != nil {
		c.options.Logger.Debug("sending a digest failed for at least one VM", "error", err.Error())
	}
}

func identities(peers []*psfleet.Peer) []psmessage.Identity {
	return lo.Map(peers, func(p *psfleet.Peer, _ int) psmessage.Identity { return p.Identity })
}

// applyPeerFailure takes a server out of use that another VM found down, until a probe succeeds.
func (c *Controller) applyPeerFailure(s *psserver.Server, now time.Time) {
	if !s.MarkFailed(now) {
		return
	}
	e := s.Entry()
	psevent.ServerFailed.Log(c.options.Logger, e.ID, e.Service, string(pshealth.ReasonTold), "")
	c.applyFailure(serverFailedEvent{s, pshealth.ReasonTold})
}

// sendReport sends this VM's report to the other VMs and checks which of them have fallen silent.
func (c *Controller) sendReport() {
	now := c.options.Now()
	c.fleet.Forget(now)
	c.sequence++
	r := &psmessage.Report{
		Identity: c.options.Identity, Sequence: c.sequence, Ready: c.Ready(), ReadsStore: !c.watcher.Lost(), Version: c.desiredState.Version(),
		Demands: c.options.Tokens.Demands(now), Crashes: c.options.Crashes.Crashes(now), Busy: c.options.Usage.Busy(now),
	}
	c.updateHolding(now)
	lease := c.leases.Statement()
	r.Lease = &lease
	if r.NoServers = c.options.Links.Lost(); !r.NoServers {
		c.announcements.Fill(r, c.fleet, c.Snapshot().Servers, now)
	}
	c.shares.Record(r.Demands, now)
	if n := c.fleet.Size(); n != c.reportedSize {
		c.reportedSize, c.resizedSequence = n, c.sequence
	}
	c.lastReport = *r
	r.Shorten(c.resizedSequence)
	c.liveness.Check(c.fleet, now)
	to := c.fleet.Peers()
	if c.fleet.Hierarchical() {
		to = c.fleet.DomainPeers()
	}
	if err := c.options.Peers.Report(r, identities(to)); err != nil {
		c.options.Logger.Debug("sending a report failed for at least one VM", "error", err.Error())
	}
}

// publish replaces the snapshot that requests read.
func (c *Controller) publish() {
	now := c.options.Now()
	h := c.updateHolding(now)
	shares := c.shares.RateShares(c.fleet, h, c.desiredState.Index, now)
	v := &pssnapshot.Snapshot{
		Index: c.desiredState.Index, Servers: c.servers.ByService(), ServersReadAt: c.servers.ReadAt, Evacuated: c.desiredState.Evacuated,
		Holding: h, RateShares: shares, FleetSize: c.fleet.Size(), VMs: c.vms(now),
		Changes: c.desiredState.Changes + c.servers.Changes(), DesiredStateRevision: c.desiredState.Revision, ServersRevision: c.servers.Revision(), NewerVM: c.newerConfiguration.VM(c.fleet, c.desiredState.Version(), now),
		RelaysStore:  c.fleet.IsRelay(now),
		StoreReaders: c.fleet.StoreReaders(now), RecentVMs: c.fleet.RecentVMs(now), PropagationTime: c.fleet.PropagationTime(),
		NoServers: c.options.Links.Lost(),
	}
	if v.NoServers {
		v.Helpers = c.fleet.Helpers(now)
	}
	c.sharesLog.Record(h, shares)
	c.options.Tokens.Update(v)
	if h.Settled() && h.Part() > 0 {
		c.mayGrant.Store(true)
	}
	c.snapshot.Store(v)
}

// vms returns the live VMs that take callers, this one first.
func (c *Controller) vms(now time.Time) []pssnapshot.VM {
	var list []pssnapshot.VM
	if !c.leaving.Load() {
		list = append(list, pssnapshot.NewVM(c.options.Identity, c.options.Links.Lost()))
	}
	for _, p := range c.fleet.Peers() {
		if c.fleet.Live(p, now) && p.Report.Ready {
			list = append(list, pssnapshot.NewVM(p.Identity, p.Report.NoServers))
		}
	}
	return list
}
