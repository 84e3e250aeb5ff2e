// Package psusage measures how far each workspace exceeds its usual amount of requests.
//
// It answers this load pattern: a workspace sends five to eight times its usual amount for some seconds, within its rate,
// while slots are short. Ordered by their own urgency and slot time only, its requests take the slots of the other workspaces
// in proportion. Usage compares a fast average of each workspace's requests with a slow one, relative to the same ratio of
// all other workspaces, so that a wave or a shift of all callers counts as usual. Requests of a workspace that sends more than
// usual are marked; psshed lets marked requests yield to the others of their class.
//
// A VM of a large fleet sees only a small sample of each workspace's requests, which varies by chance. A constant number of
// requests is therefore added to both averages, and the more a ratio exceeds a bound, the more requests are marked. VMs
// report to each other which workspaces they find busy; a workspace that many find busy is so for all that get too few of its
// requests to know better. A VM that has just started finds none busy.
//
// The package does no I/O and reads no clock.
package psusage

import (
	"maps"
	"sync"
	"time"

	"persimmonstep/internal/request/psdecay"
)

const (
	// recentTimeConstant is the time constant of the fast average and usualTimeConstant that of the slow one. A burst lasts
	// for some seconds, and a VM of a large fleet gets less than a request a second of a workspace.
	recentTimeConstant = 2 * time.Second
	usualTimeConstant  = 40 * time.Second
	// minObserved is the time for which a VM must have observed requests before it marks any.
	minObserved = 10 * time.Second
	// chanceRequests is the number of requests that are added to both averages, so that few requests don't count as a
	// deviation.
	chanceRequests = 1.0
	// minRatio is the ratio to the usual amount from which on requests of a workspace are marked, and fullRatio the one from
	// which on all are. At twice the usual amount half of them are, which is what exceeds it.
	minRatio  = 1.5
	fullRatio = 2.5
	// maxGrowth bounds the ratio with which requests enter the slow average, so that a burst hardly raises what counts as
	// usual. A lasting change of the amount by a factor of eight becomes usual within some three minutes.
	maxGrowth = 1.5
	// retention is how long a workspace without requests is kept.
	retention = 5 * time.Minute
)

// Usage measures the requests of all workspaces at one VM. The zero value knows none and marks none. It is safe for
// concurrent use.
type Usage struct {
	mutex      sync.Mutex
	workspaces map[string]*workspace
	total      amounts
	// since is when the first request was observed. cleanedAt is when old workspaces were removed, and peersCleanedAt when old
	// reports were.
	since, cleanedAt, peersCleanedAt time.Time
	// peers are the reports of other VMs, by name.
	peers map[string]peerReport
}

// amounts are exponentially decayed counts of requests.
type amounts struct {
	recent, usual float64
	at            time.Time
}

func (a *amounts) decay(now time.Time) {
	age := now.Sub(a.at)
	if age <= 0 {
		return
	}
	a.recent *= psdecay.Factor(age, recentTimeConstant)
	a.usual *= psdecay.Factor(age, usualTimeConstant)
	a.at = now
}

type workspace struct {
	amounts
	// due accumulates the fraction of the requests that is marked; a request is marked whenever it reaches 1.
	due float64
	// peers is the number of other VMs that find the workspace busy.
	peers int
}

// Amount is what a VM knows of a workspace's requests.
type Amount struct {
	// Recent and Usual are the present and the usual amount in requests per second.
	Recent float64 `json:"recent"`
	Usual  float64 `json:"usual"`
	// Ratio is the ratio of both relative to that of all other workspaces, moved towards 1 as far as it may be due to chance.
	Ratio float64 `json:"ratio"`
	// BusyAt is the number of other VMs that find the workspace busy.
	BusyAt int `json:"busyAt"`
	// Beyond is the fraction of the requests that are marked because of the ratio and of what other VMs find.
	Beyond float64 `json:"beyond"`
}

// Observe reports whether a request is marked because its workspace sends more than usual. It counts the request unless it is
// the retry of a caller that was rejected: otherwise rejections would make a workspace seem to send more.
func (u *Usage) Observe(name string, retry bool, now time.Time) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.expirePeers(now)
	w := u.workspace(name, now)
	w.decay(now)
	u.total.decay(now)
	ratio, expected := u.ratio(w, now)
	if !retry {
		w.recent++
		u.total.recent++
		growth := min(1, maxGrowth/ratio)
		w.usual += growth
		u.total.usual += growth
	}
	w.due += u.beyond(w, ratio, expected)
	if w.due < 1 {
		return false
	}
	w.due--
	return true
}

// workspace returns the counts of a workspace. One without requests so far is assumed to be an average one.
func (u *Usage) workspace(name string, now time.Time) *workspace {
	if w, found := u.workspaces[name]; found {
		return w
	}
	if u.since.IsZero() {
		u.since, u.cleanedAt, u.total.at = now, now, now
	}
	if now.Sub(u.cleanedAt) > retention {
		u.cleanedAt = now
		maps.DeleteFunc(u.workspaces, func(_ string, w *workspace) bool { return w.peers == 0 && now.Sub(w.at) > retention })
	}
	w := &workspace{amounts: amounts{at: now}, peers: u.peersOf(name)}
	if n := len(u.workspaces); n > 0 && now.Sub(u.since) >= minObserved {
		u.total.decay(now)
		w.usual = u.total.usual / float64(n)
		u.total.usual += w.usual
	}
	if u.workspaces == nil {
		u.workspaces = make(map[string]*workspace)
	}
	u.workspaces[name] = w
	return w
}

// ratio returns the ratio of the recent to the usual amount of a workspace, relative to that of all others, and the recent number
// of requests that the usual amount lets expect. It is 1 while a VM knows too little, or if there is hardly any other workspace.
// All counts are those at the present time.
func (u *Usage) ratio(w *workspace, now time.Time) (ratio, expected float64) {
	observed := now.Sub(u.since)
	if observed < minObserved || u.total.usual-w.usual < chanceRequests {
		return 1, 0
	}
	// window converts the slow count to the number of requests that are usual in the fast one.
	window := recentTimeConstant.Seconds() / (usualTimeConstant.Seconds() * (1 - psdecay.Factor(observed, usualTimeConstant)))
	others := (max(0, u.total.recent-w.recent) + chanceRequests) / ((u.total.usual-w.usual)*window + chanceRequests)
	expected = others * w.usual * window
	return (w.recent + chanceRequests) / (expected + chanceRequests), expected
}

// beyond returns the fraction of a workspace's requests that is marked. What other VMs report counts the less, the more requests
// the VM gets itself.
func (u *Usage) beyond(w *workspace, ratio, expected float64) float64 {
	own := clamp((ratio - minRatio) / (fullRatio - minRatio))
	return own + peerRequests/(peerRequests+expected)*max(0, u.beyondByPeers(w)-own)
}

// clamp bounds a number to 0..1.
func clamp(x float64) float64 { return max(0, min(1, x)) }

// Amounts returns what is known of each workspace.
func (u *Usage) Amounts(now time.Time) map[string]Amount {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.total.decay(now)
	list := make(map[string]Amount, len(u.workspaces))
	observed := now.Sub(u.since)
	for name, w := range u.workspaces {
		w.decay(now)
		ratio, expected := u.ratio(w, now)
		a := Amount{Recent: w.recent / recentTimeConstant.Seconds(), Ratio: ratio, BusyAt: w.peers, Beyond: u.beyond(w, ratio, expected)}
		if observed > 0 {
			a.Usual = w.usual / (usualTimeConstant.Seconds() * (1 - psdecay.Factor(observed, usualTimeConstant)))
		}
		list[name] = a
	}
	return list
}
