package psguarantee_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/pslimit"
	"persimmonstep/internal/trial/psguarantee"
)

// limitedServer returns a server with a history of 20 s, in which each of four VMs sends it a request every 400 ms.
// It has a limit at the times for which limit returns one.
func limitedServer(limit func(at time.Duration) pslimit.Limit) psguarantee.Server {
	s := psguarantee.Server{ID: "s"}
	for at := 100 * time.Millisecond; at < 20*time.Second; at += 100 * time.Millisecond {
		vm := []string{"vm-0", "vm-1", "vm-2", "vm-3"}[at/(100*time.Millisecond)%4]
		named := at + 20*time.Millisecond
		s.Arrivals = append(s.Arrivals, psguarantee.Arrival{At: at, VM: vm, Named: limit(named), NamedAt: named})
	}
	return s
}

func TestRequestsBeyondLimitOfServerAreCounted(t *testing.T) {
	limit := func(v float64) pslimit.Limit { return pslimit.Limit{Named: true, PerSecond: v} }
	from := func(begin time.Duration, v float64) func(time.Duration) pslimit.Limit {
		return func(at time.Duration) pslimit.Limit {
			if at < begin {
				return pslimit.Limit{}
			}
			return limit(v)
		}
	}
	all := map[string][]time.Duration{"vm-0": nil, "vm-1": nil, "vm-2": nil, "vm-3": nil}
	for name := range all {
		for at := 2 * time.Second; at < 20*time.Second; at += 700 * time.Millisecond {
			all[name] = append(all[name], at)
		}
	}
	for _, tt := range []struct {
		name     string
		limit    func(time.Duration) pslimit.Limit
		restarts map[string][]time.Duration
		// expected is the excess over the 41 requests that arrive in 4 s, both ends included.
		expected int
	}{
		{"no limit", func(time.Duration) pslimit.Limit { return pslimit.Limit{} }, nil, 0},
		{"limit above the load", from(time.Second, 6.1), nil, 0},
		{"limit below the load", from(time.Second, 2), nil, 41 - 12 - 5},
		{"limit of zero", from(time.Second, 0), nil, 41 - 5},
		{"limit named in the last seconds", from(17*time.Second, 0), nil, 0},
		{"all VMs restarted again and again", from(time.Second, 0), all, 0},
		{"one VM restarted", from(time.Second, 0), map[string][]time.Duration{"vm-0": all["vm-0"]}, 31 - 5},
		{"a limit that is withdrawn every second", func(at time.Duration) pslimit.Limit {
			if int(at.Seconds())%2 == 0 {
				return pslimit.Limit{}
			}
			return limit(0)
		}, nil, 0},
		{"a limit that changes in each response", func(at time.Duration) pslimit.Limit {
			return limit(float64(at / (100 * time.Millisecond) % 2))
		}, nil, 41 - 6 - 5},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := psguarantee.History{Servers: []psguarantee.Server{limitedServer(tt.limit)}, Restarts: tt.restarts}
			qt.Assert(t, psguarantee.Check(h), qt.Equals, psguarantee.Violations{LimitExceeded: tt.expected})
		})
	}
}

// TestRequestsOfUninformedVMsDoNotCount checks that a limit doesn't bind VMs that the server has not told of it.
func TestRequestsOfUninformedVMsDoNotCount(t *testing.T) {
	s := limitedServer(func(time.Duration) pslimit.Limit { return pslimit.Limit{Named: true} })
	for i := range s.Arrivals {
		if s.Arrivals[i].VM != "vm-3" {
			s.Arrivals[i].NamedAt = 0
		}
	}
	check := psguarantee.Check(psguarantee.History{Servers: []psguarantee.Server{s}})
	qt.Assert(t, check, qt.Equals, psguarantee.Violations{LimitExceeded: 11 - 5})
}
