package psguarantee

import (
	"cmp"
	"slices"
	"time"

	"persimmonstep/internal/process/pslimit"
)

const (
	// limitWindow is the length of the windows in which a server's limit is checked. In each of them it may get
	// limitFactor times what its limit allows, and limitSlack requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitNotice is how long a VM has known a limit before its requests count. A lower limit takes effect after
	// the same time.
	limitNotice = 500 * time.Millisecond
	// limitGrace is the time after a server first named a limit in which its requests are not counted.
	limitGrace = 3 * time.Second
)

// Arrival is a request that reached a server.
type Arrival struct {
	At time.Duration
	// VM is the name of the VM that sent it; empty for other senders.
	VM string
	// Named is the limit in the response, and NamedAt when the response was sent; 0 if there was none.
	Named   pslimit.Limit
	NamedAt time.Duration
}

// limitExceeded returns the highest excess of any server.
func (h History) limitExceeded() int {
	worst := 0
	for _, s := range h.Servers {
		worst = max(worst, s.limitExcess(h.Restarts))
	}
	return worst
}

// limitExcess returns the number of requests beyond what the server's limit allows, in the worst window. Only the
// requests of VMs count to which the server had named a limit limitNotice before, in the same run of their process.
func (s Server) limitExcess(restarts map[string][]time.Duration) int {
	steps := tolerated(s.limitSteps())
	counted := s.toldArrivals(restarts)
	worst := 0.0
	end := 0
	for i, from := range counted {
		for end < len(counted) && counted[end] <= from+limitWindow {
			end++
		}
		if allowed, bounded := allowedIn(steps, from); bounded {
			worst = max(worst, float64(end-i)-limitFactor*allowed-limitSlack)
		}
	}
	return int(worst)
}

// toldArrivals returns when the requests arrived that count.
func (s Server) toldArrivals(restarts map[string][]time.Duration) []time.Duration {
	told := make(map[string][]time.Duration)
	for _, a := range s.Arrivals {
		if a.Named.Named && a.NamedAt > 0 {
			told[a.VM] = append(told[a.VM], a.NamedAt)
		}
	}
	var counted []time.Duration
	for _, a := range s.Arrivals {
		if a.VM != "" && wasTold(told[a.VM], restarts[a.VM], a.At) {
			counted = append(counted, a.At)
		}
	}
	return counted
}

// wasTold reports whether a VM was told of a limit limitNotice before a request, and not restarted since.
func wasTold(told, restarts []time.Duration, at time.Duration) bool {
	return slices.ContainsFunc(told, func(t time.Duration) bool {
		return t <= at-limitNotice && !slices.ContainsFunc(restarts, func(r time.Duration) bool { return r >= t && r <= at })
	})
}

// limitStep is the limit of a server from a time until the next step.
type limitStep struct {
	at    time.Duration
	limit pslimit.Limit
	// firstNamed is when the server first named its present limit, after a time without any.
	firstNamed time.Duration
}

// limitSteps returns the limits that the server named in its responses.
func (s Server) limitSteps() []limitStep {
	var list []limitStep
	for _, a := range s.Arrivals {
		if a.NamedAt > 0 {
			list = append(list, limitStep{at: a.NamedAt, limit: a.Named})
		}
	}
	slices.SortStableFunc(list, func(a, b limitStep) int { return cmp.Compare(a.at, b.at) })
	list = slices.CompactFunc(list, func(a, b limitStep) bool { return a.limit == b.limit })
	for i := range list {
		list[i].firstNamed = list[i].at
		if i > 0 && list[i-1].limit.Named {
			list[i].firstNamed = list[i-1].firstNamed
		}
	}
	return list
}

// tolerated returns the steps with lower limits delayed by limitNotice: at any time, the highest limit of the last
// limitNotice holds.
func tolerated(steps []limitStep) []limitStep {
	var times []time.Duration
	for _, s := range steps {
		times = append(times, s.at, s.at+limitNotice)
	}
	slices.Sort(times)
	out := make([]limitStep, 0, len(times))
	for _, t := range times {
		out = append(out, highest(steps, t))
	}
	return out
}

// highest returns the step with the highest limit in the limitNotice before a time, as a step from that time on.
func highest(steps []limitStep, t time.Duration) limitStep {
	out := limitStep{at: t, limit: pslimit.Limit{Named: true}}
	for i, s := range steps {
		if s.at > t || i+1 < len(steps) && steps[i+1].at+limitNotice <= t {
			continue
		}
		if out.limit.Stricter(s.limit) == out.limit {
			out.limit = s.limit
		}
		out.firstNamed = max(out.firstNamed, s.firstNamed)
	}
	return out
}

// allowedIn returns how many requests the limits allow in the window from a time on. It reports false if the server
// had no limit for some of that time, or had first named one less than limitGrace before.
func allowedIn(steps []limitStep, from time.Duration) (allowed float64, bounded bool) {
	if len(steps) == 0 || steps[0].at > from {
		return 0, false
	}
	to := from + limitWindow
	for i, s := range steps {
		until := to
		if i+1 < len(steps) {
			until = min(to, steps[i+1].at)
		}
		if until <= from || s.at >= to {
			continue
		}
		if !s.limit.Named || s.firstNamed+limitGrace > from {
			return 0, false
		}
		allowed += s.limit.PerSecond * (until - max(from, s.at)).Seconds()
	}
	return allowed, true
}
