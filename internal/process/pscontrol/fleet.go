package pscontrol

import (
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/request/psoutlier"
)

// failedSpan is how long other VMs are told of a server that failed or leaves.
const failedSpan = 3 * time.Second

// newerAfter is how long another VM has a newer configuration before it is asked for it.
const newerAfter = time.Second

func (c *Control) takeVMs(rows map[string][]byte, now time.Time) {
	for name, value := range rows {
		i, err := psfleet.DecodeIdentity(value)
		if err != nil {
			psevent.RowUnread.Log(c.options.Logger, name, 0, err.Error())
			continue
		}
		c.fleet.AddIdentity(i, now)
	}
}

// takeReport takes in a report that was heard at a moment, by this VM or by one that passes it on.
func (c *Control) takeReport(r *psfleet.Report, heardAt, now time.Time) {
	before, fresh := c.fleet.ApplyReport(r, heardAt)
	if !fresh {
		return
	}
	if before.Report == nil || before.Report.Incarnation != r.Incarnation || c.silent[r.VM] {
		delete(c.silent, r.VM)
		psevent.PeerHeard.Log(c.options.Logger, r.VM, r.Incarnation, silence(before, now))
	}
	c.options.Crashes.Learn(r.VM, r.Crashes, now)
	c.learnLeaving(r.Leaving)
	for id, lag := range r.Slow {
		if s, found := c.servers.Get(id); found {
			s.Lagging(lag, now)
		}
	}
	for _, id := range r.Failed {
		if s, found := c.servers.Get(id); found && before.Report != nil && !slices.Contains(before.Report.Failed, id) {
			c.learnFailed(s, now)
		}
	}
}

// learnLeaving takes out servers that told another VM that they end.
func (c *Control) learnLeaving(runs []psserver.Run) {
	for _, r := range runs {
		s, found := c.servers.Get(r.ID)
		if !found || s.Entry().Run() != r || !s.Leave() {
			continue
		}
		psevent.ServerLeaves.Log(c.options.Logger, r.ID, s.Entry().Service, "")
	}
}

// silence is how long a VM was silent, as text; empty if it was never heard.
func silence(p psfleet.Peer, now time.Time) string {
	if p.ReceivedAt.IsZero() {
		return ""
	}
	return now.Sub(p.ReceivedAt).String()
}

// takeDigest takes in reports that were passed on, and passes those of another failure domain on to
// the neighbours.
func (c *Control) takeDigest(d *psfleet.Digest, now time.Time) {
	for i := range d.Reports {
		r := d.Reports[i].Report
		c.takeReport(&r, now.Add(-d.Reports[i].Age), now)
	}
	if d.Relayed || d.FailureDomain == c.options.Identity.FailureDomain {
		return
	}
	passed := *d
	passed.Relayed = true
	c.sendDigest(&passed, identities(c.fleet.DomainPeers()))
}

// digest tells the other failure domains about the own one, if that is this VM's task.
func (c *Control) digest() {
	now := c.options.Now()
	place, found := c.fleet.DigestRank(now)
	if !found {
		return
	}
	if d := c.digester.Digest(c.fleet, c.reported, now); d != nil {
		c.sendDigest(d, c.fleet.DigestReceivers(place, c.digester.Round(), now))
	}
}

func (c *Control) sendDigest(d *psfleet.Digest, to []psfleet.Identity) {
	if err := c.options.Peers.Digest(d, to); err != nil {
		c.options.Logger.Debug("digest not sent to all VMs", "error", err.Error())
	}
}

func identities(peers []*psfleet.Peer) []psfleet.Identity {
	return lo.Map(peers, func(p *psfleet.Peer, _ int) psfleet.Identity { return p.Identity })
}

// learnFailed takes out a server that another VM found down, until a probe tells otherwise.
func (c *Control) learnFailed(s *psserver.Server, now time.Time) {
	if !s.Fail(now) {
		return
	}
	e := s.Entry()
	psevent.ServerFailed.Log(c.options.Logger, e.ID, e.Service, string(ReasonTold), "")
	c.takeFailed(failedEvent{s, ReasonTold}, now)
}

// report tells the other VMs about this one and notes which of them are silent.
func (c *Control) report() {
	now := c.options.Now()
	c.sequence++
	r := &psfleet.Report{
		Identity: c.options.Identity, Sequence: c.sequence, Ready: c.Ready(), ReadsStore: !c.follower.Lost(), Version: c.orders.Version(),
		Demands: c.options.Demands.Demands(now), Crashes: c.options.Crashes.Crashes(now), Failed: recent(c.failed, now),
		Leaving: recent(c.leavings, now), Slow: c.slow(now),
	}
	c.shares.Record(r.Demands)
	if n := c.fleet.Size(); n != c.grownTo {
		c.grownTo, c.grownAt = n, c.sequence
	}
	c.reported = *r
	r.Shorten(c.grownAt)
	for _, p := range c.fleet.Peers() {
		c.noteSilence(p, now)
	}
	to := c.fleet.Peers()
	if c.fleet.Hierarchical() {
		to = c.fleet.DomainPeers()
	}
	if err := c.options.Peers.Report(r, identities(to)); err != nil {
		c.options.Logger.Debug("report not sent to all VMs", "error", err.Error())
	}
}

func (c *Control) noteSilence(p *psfleet.Peer, now time.Time) {
	if p.Report == nil || c.fleet.Live(p, now) || c.silent[p.Identity.VM] {
		return
	}
	c.silent[p.Identity.VM] = true
	psevent.PeerSilent.Log(c.options.Logger, p.Identity.VM, now.Sub(p.ReceivedAt).String())
}

// recent returns what was noted lately, and forgets the rest.
func recent[K comparable](noted map[K]time.Time, now time.Time) []K {
	maps.DeleteFunc(noted, func(_ K, at time.Time) bool { return now.Sub(at) > failedSpan })
	return lo.Keys(noted)
}

// slow returns the lags of servers that this VM sees to be slower than the others of their service.
func (c *Control) slow(now time.Time) map[string]float64 {
	m := map[string]float64{}
	for _, list := range c.Snapshot().Servers {
		lags := lo.Map(list, func(s *psserver.Server, _ int) float64 { return s.OwnLag(now) })
		for i, outlier := range psoutlier.Find(lags) {
			if outlier {
				m[list[i].Entry().ID] = lags[i]
			}
		}
	}
	return m
}

// publish makes what the VM believes visible to requests.
func (c *Control) publish() {
	now := c.options.Now()
	parts, even := c.shares.RateShares(c.fleet, c.orders.Index, now)
	c.snapshot.Store(&Snapshot{
		Index: c.orders.Index, Servers: c.servers.ByService(), ServersAt: c.servers.ReadAt, Evacuated: c.orders.Evacuated,
		Parts: parts, EvenPart: even, FleetSize: c.fleet.Size(), VMs: c.vms(now),
		changes: c.orders.Changes + c.servers.Changes(), ordersAt: c.orders.At, serversAt: c.serversAt, newer: c.newerVM(now),
		tells:   c.fleet.IsStoreRelay(now),
		readers: c.fleet.StoreReaders(now), holders: c.fleet.ShareHolders(now),
	})
}

// newerVM returns a live VM that has had a newer configuration for longer than it takes all VMs to read
// one; nil if there is none. The store may have come back from a copy without it, or this VM from a
// time when it couldn't read it.
func (c *Control) newerVM(now time.Time) *psfleet.Identity {
	newest, found := c.fleet.NewestConfiguration(now)
	if c.orders.Index == nil || !found || newest.Version <= c.orders.Version() {
		c.newerSince = time.Time{}
		return nil
	}
	if c.newerSince.IsZero() {
		c.newerSince = now
	}
	if now.Sub(c.newerSince) < newerAfter {
		return nil
	}
	return &newest.Identity
}

// vms lists the VMs that take callers.
func (c *Control) vms(now time.Time) []VM {
	var list []VM
	if !c.leaving.Load() {
		list = append(list, vmOf(c.options.Identity))
	}
	for _, p := range c.fleet.Peers() {
		if c.fleet.Live(p, now) && p.Report.Ready {
			list = append(list, vmOf(p.Identity))
		}
	}
	return list
}

func vmOf(i psfleet.Identity) VM {
	return VM{Name: i.VM, Region: i.Region, FailureDomain: i.FailureDomain, Callers: i.CallerAddress.String()}
}
