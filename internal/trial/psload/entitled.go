package psload

import "time"

// Allowance is the rate limit of a workspace.
type Allowance struct {
	// Rate is in requests per second; 0 means no limit.
	Rate, Burst float64
}

// Entitled returns which arrivals one token bucket for each workspace admits, by their sequence. The arrivals are in order
// of time. Those with a marker don't count.
func Entitled(arrivals []Arrival, allowances map[string]Allowance) map[int]bool {
	type bucket struct {
		tokens float64
		last   time.Duration
	}
	buckets, out := make(map[string]*bucket), make(map[int]bool)
	for _, a := range arrivals {
		if a.Stream.Marker != "" {
			continue
		}
		v := allowances[a.Stream.Workspace]
		b := buckets[a.Stream.Workspace]
		if b == nil {
			b = &bucket{tokens: v.Burst}
			buckets[a.Stream.Workspace] = b
		}
		b.tokens = min(v.Burst, b.tokens+v.Rate*(a.At-b.last).Seconds())
		b.last = a.At
		if v.Rate == 0 || b.tokens >= 1 {
			b.tokens--
			out[a.Sequence] = true
		}
	}
	return out
}
