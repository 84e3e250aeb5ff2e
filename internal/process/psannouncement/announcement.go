// Package psannouncement keeps what a VM announces of backend servers to the other VMs in its reports: which of them
// failed, announced their shutdown, began or ceased to name a limit, or are slow.
//
// A VM announces what it has observed itself. An event is listed until each other VM has had the time to receive a
// report with it.
package psannouncement

import (
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/psserver"
	"persimmonstep/internal/request/psoutlier"
)

const (
	// minSpan is how long an event is listed at least. In a large fleet it is longer, because the latest report
	// reaches other failure domains with a digest.
	minSpan = 3 * time.Second
	// maxLimits and maxDepartures bound the limits and the departures in a report, which is one datagram.
	maxLimits     = 64
	maxDepartures = 64
)

// Announcements are the recent events of servers. It isn't safe for concurrent use.
type Announcements struct {
	// failed holds when servers were found down, by server id.
	failed map[string]time.Time
	// leaving and limitChanged hold when servers announced their shutdown, and began or ceased to name a limit.
	leaving, limitChanged map[psserver.Run]time.Time
	// departed holds when servers left according to the store.
	departed map[psmessage.Departure]time.Time
}

// New returns no announcements.
func New() *Announcements {
	return &Announcements{failed: map[string]time.Time{}, leaving: map[psserver.Run]time.Time{}, limitChanged: map[psserver.Run]time.Time{}, departed: map[psmessage.Departure]time.Time{}}
}

// Failed records that a server was found down.
func (a *Announcements) Failed(server string, now time.Time) { a.failed[server] = now }

// ForgetFailed withdraws what was recorded of servers that were found down.
func (a *Announcements) ForgetFailed() { clear(a.failed) }

// Leaving records that a server announced its shutdown.
func (a *Announcements) Leaving(r psserver.Run, now time.Time) { a.leaving[r] = now }

// Departed records that a server left according to the store.
func (a *Announcements) Departed(d psmessage.Departure, now time.Time) { a.departed[d] = now }

// LimitChanged records that a server began or ceased to name a limit.
func (a *Announcements) LimitChanged(r psserver.Run, now time.Time) { a.limitChanged[r] = now }

// Fill lists in a report to a fleet the servers with recent events, of those that are registered for each service.
func (a *Announcements) Fill(r *psmessage.Report, f *psfleet.Fleet, servers map[string][]*psserver.Server, now time.Time) {
	span := max(minSpan, f.PropagationTime()+f.ReportInterval())
	r.Failed = recent(a.failed, span, now)
	r.Leaving = recent(a.leaving, span, now)
	a.fillDepartures(r, f, recent(a.departed, span, now), now)
	r.Limited = limits(servers, recent(a.limitChanged, span, now), now)
	r.Slow = slow(servers, now)
}

// fillDepartures lists servers that left according to the store. In a large fleet the relay's notices say so. VMs of builds
// that don't know departures learn of them as servers that announced their shutdown.
func (a *Announcements) fillDepartures(r *psmessage.Report, f *psfleet.Fleet, list []psmessage.Departure, now time.Time) {
	if f.Hierarchical() {
		return
	}
	r.Departed = list[:min(len(list), maxDepartures)]
	if f.AllLiveHave(psmessage.Departures, now) {
		return
	}
	for _, d := range r.Departed {
		if _, announced := a.leaving[d.Run]; !announced {
			r.Leaving = append(r.Leaving, d.Run)
		}
	}
}

// limits returns what this VM knows of the limits of servers.
func limits(servers map[string][]*psserver.Server, runs []psserver.Run, now time.Time) []psmessage.ServerLimit {
	if len(runs) == 0 {
		return nil
	}
	var out []psmessage.ServerLimit
	for _, list := range servers {
		for _, s := range list {
			if r := s.Entry().Run(); len(out) < maxLimits && slices.Contains(runs, r) {
				limit, age := s.Limit(now)
				out = append(out, psmessage.ServerLimit{Run: r, Limit: limit, Age: age})
			}
		}
	}
	return out
}

// recent deletes the entries that are older than a span and returns the keys of the others.
func recent[K comparable](recordedAt map[K]time.Time, span time.Duration, now time.Time) []K {
	maps.DeleteFunc(recordedAt, func(_ K, at time.Time) bool { return now.Sub(at) > span })
	return lo.Keys(recordedAt)
}

// slow returns the lags of the servers that this VM measures to be slower than the others of their service, by server
// id.
func slow(servers map[string][]*psserver.Server, now time.Time) map[string]float64 {
	m := map[string]float64{}
	for _, list := range servers {
		lags := lo.Map(list, func(s *psserver.Server, _ int) float64 { return s.LocalLag(now) })
		for i, outlier := range psoutlier.Find(lags) {
			if outlier {
				m[list[i].Entry().ID] = lags[i]
			}
		}
	}
	return m
}
