package pscontrol

import (
	"time"

	"persimmonstep/internal/process/pslink"
	"persimmonstep/internal/process/psserver"
)

// RegisteredServers lists the servers that can be expected to accept connections.
func (c *Controller) RegisteredServers() []psserver.Entry {
	var list []psserver.Entry
	for _, servers := range c.Snapshot().Servers {
		for _, s := range servers {
			if !s.Leaving() {
				list = append(list, s.Entry())
			}
		}
	}
	return list
}

// LinksChanged processes that the links to all servers were lost or restored. It returns when requests are served
// accordingly.
func (c *Controller) LinksChanged(bool) {
	applied := make(chan struct{})
	c.enqueue(linksEvent{applied})
	c.awaitPublished(applied)
}

// ServerLinksLost reports whether this VM reaches no server.
func (c *Controller) ServerLinksLost() bool { return c.options.Links.Lost() }

// applyLinkChange forgets what this VM concluded about the servers from requests that its links have lost, and tells the
// other VMs of the change.
func (c *Controller) applyLinkChange(now time.Time) {
	c.announcements.ForgetFailed()
	c.options.Crashes.ForgetSuspected()
	for _, servers := range c.servers.ByService() {
		for _, s := range servers {
			s.ForgetFailures(now.Add(-pslink.MaxDelay), now)
		}
	}
	c.sendReport()
	c.publishDigest()
}
