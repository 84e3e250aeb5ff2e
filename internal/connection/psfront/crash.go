package psfront

import (
	"net"
	"sync"
	"time"

	"persimmonstep/internal/process/pscontrol"
	"persimmonstep/internal/process/psevent"
)

const (
	// checkInterval is the least time between two looks whether a server crashed.
	checkInterval = 300 * time.Millisecond
	// checkTimeout bounds a look.
	checkTimeout = 300 * time.Millisecond
)

// checks remembers when servers were looked at. The zero value is empty.
type checks struct {
	mutex sync.Mutex
	last  map[string]time.Time
	down  map[string]time.Time
}

// due reports whether a server may be looked at now.
func (k *checks) due(id string, now time.Time) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.last == nil {
		k.last = make(map[string]time.Time)
		k.down = make(map[string]time.Time)
	}
	if now.Sub(k.last[id]) < checkInterval {
		return false
	}
	k.last[id] = now
	return true
}

// found notes that a server is down.
func (k *checks) found(id string, now time.Time) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.down[id] = now
}

// isDown reports whether a server was found down lately.
func (k *checks) isDown(id string, now time.Time) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return now.Sub(k.down[id]) < checkInterval
}

// checkCrash looks whether a server that lost a request crashed: it then takes no connections.
func (g *Gate) checkCrash(c *call, s selection) {
	id := s.view.Entry.ID
	now := g.options.Now()
	if !g.checks.due(id, now) {
		if g.checks.isDown(id, now) {
			g.countCrash(c, s, now)
		}
		return
	}
	probe, err := net.DialTimeout("tcp", s.view.Entry.Address.String(), checkTimeout)
	if err == nil {
		_ = probe.Close()
		return
	}
	now = g.options.Now()
	g.checks.found(id, now)
	g.beliefs.ServerFailed(s.server, pscontrol.ReasonCrashed, c.headers.ID)
	g.countCrash(c, s, now)
}

func (g *Gate) countCrash(c *call, s selection, now time.Time) {
	n := g.poison.Crashed(c.fingerprint, now)
	psevent.RequestCounted.Log(g.options.Logger, c.headers.ID, uint64(c.fingerprint), s.view.Entry.ID, n)
}
