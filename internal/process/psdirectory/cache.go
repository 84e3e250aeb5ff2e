package psdirectory

import (
	"sync"
	"time"

	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

const (
	// refreshInterval is the longest time that an encoded answer is given again. It is short
	// beside [TTL], for which callers keep the answer anyway.
	refreshInterval = 250 * time.Millisecond
	// maxCached bounds the answers held, at some 600 bytes each.
	maxCached = 4096
)

// question is what an answer depends on besides the plan and the state of the VMs.
type question struct {
	home      *psplan.Domain
	workspace psdoc.Name
	turn      uint64
}

// cached is an encoded answer.
type cached struct {
	body []byte
	made time.Time
}

// cache holds encoded answers of one plan. Its zero value is empty.
type cache struct {
	mutex   sync.RWMutex
	plan    *psplan.Plan
	answers map[question]cached
}

// get returns an answer of the plan that is fresh at the time.
func (c *cache) get(p *psplan.Plan, q question, now time.Time) ([]byte, bool) {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	if c.plan != p {
		return nil, false
	}
	v, found := c.answers[q]
	return v.body, found && now.Sub(v.made) < refreshInterval
}

// put keeps an answer. A full cache starts over, which costs each question one ranking.
func (c *cache) put(p *psplan.Plan, q question, v cached) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.plan != p || len(c.answers) >= maxCached {
		c.plan, c.answers = p, make(map[question]cached)
	}
	c.answers[q] = v
}
