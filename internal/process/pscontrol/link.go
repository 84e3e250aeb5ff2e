package pscontrol

import (
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

// LinksChanged processes that the links to all servers were lost or restored.
func (*Controller) LinksChanged(bool) {}

// ServerLinksLost reports whether this VM reaches no server.
func (c *Controller) ServerLinksLost() bool { return c.options.Links.Lost() }
