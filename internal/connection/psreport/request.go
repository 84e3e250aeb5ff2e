package psreport

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// minAskTimeout is the least time that a question waits for its answer. A VM that has not
	// answered yet gets firstAskTimeout, any other askFactor times the time that it usually takes.
	minAskTimeout   = 70 * time.Millisecond
	firstAskTimeout = 250 * time.Millisecond
	askFactor       = 3
	// delayWeight is the weight of one answer in the usual time.
	delayWeight = 0.2
	// keptAnswers is the number of answers that are kept for questions that come again.
	keptAnswers = 512
)

// delays are the usual times of other VMs until they answer. The zero value knows none.
type delays struct {
	mutex sync.Mutex
	usual map[netip.AddrPort]time.Duration
}

// observe takes in how long an answer took.
func (d *delays) observe(vm netip.AddrPort, took time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.usual == nil {
		d.usual = make(map[netip.AddrPort]time.Duration)
	}
	if old, found := d.usual[vm]; found {
		took = old + time.Duration(delayWeight*float64(took-old))
	}
	d.usual[vm] = took
}

// timeout returns how long a question to a VM waits.
func (d *delays) timeout(vm netip.AddrPort) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	usual, found := d.usual[vm]
	if !found {
		return firstAskTimeout
	}
	return min(firstAskTimeout, max(minAskTimeout, askFactor*usual))
}

// question identifies a question of another VM.
type question struct {
	from netip.AddrPort
	id   uint64
}

// answers holds the latest answers, so that a question that is asked again, because its answer was late
// or lost, takes no second token. The zero value holds none.
type answers struct {
	given map[question][]byte
	order [keptAnswers]question
	next  int
}

func (a *answers) get(q question) ([]byte, bool) {
	data, found := a.given[q]
	return data, found
}

func (a *answers) put(q question, data []byte) {
	if a.given == nil {
		a.given = make(map[question][]byte)
	}
	delete(a.given, a.order[a.next])
	a.order[a.next] = q
	a.next = (a.next + 1) % keptAnswers
	a.given[q] = data
}
