package pshealth

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psplatform"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

const (
	// HealthPath is the path that is probed.
	HealthPath = "/healthz"
	// stepInterval is the time between two reviews of all servers.
	stepInterval = 100 * time.Millisecond
	// probeInterval is the time between two probes of a server that is out or leaving, and
	// the silence after which the owner of a server's slots probes it.
	probeInterval = time.Second
	// probeTimeout bounds one probe.
	probeTimeout = 900 * time.Millisecond
	// maxProbes bounds the probes under way.
	maxProbes = 32
	// maxProbeBytes bounds what is read of a probe's answer.
	maxProbeBytes = 4 << 10
	// listInterval is the time between two looks at the platform's list.
	listInterval = time.Second
)

// result is the end of a probe.
type result struct {
	// reached says that a connection was opened; timeout that it was waited for in vain.
	reached, timeout bool
	// answered says that an answer came.
	answered bool
	// well says that the answer is 200, or 404 from a server without a health path.
	well bool
	// draining says that the server says it is leaving.
	draining bool
}

// due lists the servers to probe now and marks them: those that are out or leaving, and
// those of which this VM owns the slots and has heard nothing for a while.
func (t *Tracker) due() []*psplan.Server {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.options.Now()
	under := 0
	var out []*psplan.Server
	for _, r := range *t.records.Load() {
		if r.probing {
			under++
		}
	}
	for _, r := range *t.records.Load() {
		if under+len(out) >= maxProbes {
			break
		}
		if r.wantsProbe(now) {
			r.probing, r.probeAt = true, now
			out = append(out, r.server)
		}
	}
	return out
}

func (r *record) wantsProbe(now time.Time) bool {
	if r.probing || now.Sub(r.probeAt) < r.probePeriod() {
		return false
	}
	if v, ok := r.phase.(ejected); ok {
		return !now.Before(v.until)
	}
	if r.isOut() || !r.drainingAt.IsZero() {
		return true
	}
	return r.owned && now.Sub(r.seenAt) >= probeInterval
}

// probePeriod spreads the probes of different servers.
func (r *record) probePeriod() time.Duration {
	const spread = 8
	return probeInterval - time.Duration(xxhash.Sum64String(string(r.server.Name))%spread)*probeInterval/(4*spread)
}

// probed takes in the end of a probe.
func (t *Tracker) probed(s *psplan.Server, v result) {
	t.mutex.Lock()
	r := t.record(s)
	if r == nil {
		t.mutex.Unlock()
		return
	}
	now := t.options.Now()
	r.probing = false
	r.takeProbe(v, now)
	changed := t.review(t.pools[r.server.Pool], now)
	t.mutex.Unlock()
	t.options.Metrics.probed(v)
	psevent.ServerProbed.Log(t.options.Logger, s.Name, v.reached, v.well, v.draining)
	if changed {
		t.notify()
	}
}

func (r *record) takeProbe(v result, now time.Time) {
	switch {
	case !v.reached:
		r.missConnection(v.timeout)
		return
	case v.draining:
		r.drainingAt = now
	case v.answered:
		r.drainingAt = time.Time{}
	}
	if v.answered {
		r.seenAt = now
	}
	r.connect()
	r.probedWell = v.well
	if v.answered && !v.well && !v.draining {
		r.unwellAt = now
	}
}

// prober sends probes over connections of their own.
type prober struct {
	client *http.Client
}

func newProber() *prober {
	t := &http.Transport{DisableKeepAlives: true}
	return &prober{client: &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}}
}

func (p *prober) probe(ctx context.Context, s *psplan.Server) result {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Address.String()+HealthPath, nil)
	if err != nil {
		panic("pshealth: " + err.Error())
	}
	a, err := p.client.Do(r)
	if err != nil {
		return result{reached: !isDial(err), timeout: isTimeout(err)}
	}
	defer a.Body.Close() //nolint:errcheck // the connection is closed anyway
	_, _ = io.CopyN(io.Discard, a.Body, maxProbeBytes)
	return result{
		reached: true, answered: true,
		well:     a.StatusCode == http.StatusOK || a.StatusCode == http.StatusNotFound,
		draining: a.Header.Get(headerDraining) == "true",
	}
}

// Lister looks at the platform's list on behalf of a failure domain.
type Lister struct {
	// Self is the VM's own name.
	Self psdoc.Name
	// Plans gives the plan in force.
	Plans Plans
	// List is the platform's list.
	List psplatform.List
	// Heard tells when another VM was last heard of.
	Heard func(vm psdoc.Name) time.Time
	// Tracker takes in what the list says.
	Tracker *Tracker
}

// silentSpan is the silence after which the next VM of a domain looks at the list.
const silentSpan = 1500 * time.Millisecond

// Run looks at the list until the context ends. One VM of each failure domain looks and
// tells the others by heartbeat, so that the list is read once a second for each domain.
func (l *Lister) Run(ctx context.Context) {
	for {
		if l.isTurn(time.Now()) {
			l.look(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(listInterval):
		}
	}
}

// isTurn reports whether no VM before this one in its domain is heard of.
func (l *Lister) isTurn(now time.Time) bool {
	p := l.Plans.Plan()
	self, found := p.VM(l.Self)
	if !found {
		return false
	}
	for _, v := range p.VMs {
		if v.Name == l.Self {
			return true
		}
		if v.Domain.Name == self.Domain.Name && now.Sub(l.Heard(v.Name)) < silentSpan {
			return false
		}
	}
	return true
}

func (l *Lister) look(ctx context.Context) {
	machines, _, err := l.List.Machines(ctx)
	if err != nil {
		return
	}
	p := l.Plans.Plan()
	var names []psdoc.Name
	for _, m := range machines {
		n := psdoc.Name(m.Name)
		if _, isServer := p.Server(n); isServer && m.State == psplatform.MachineLeaving {
			names = append(names, n)
		}
	}
	l.Tracker.HearList(names)
}

// Run reviews and probes servers until the context ends.
func (t *Tracker) Run(ctx context.Context) {
	p := newProber()
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	var probing sync.WaitGroup
	defer probing.Wait()
	for {
		t.Step()
		for _, s := range t.due() {
			probing.Go(func() { t.probed(s, p.probe(ctx, s)) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
