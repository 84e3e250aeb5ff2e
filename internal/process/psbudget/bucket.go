package psbudget

import "time"

// Bucket is a token bucket with constant limits and explicit time. Its zero value is empty and never fills.
type Bucket struct {
	// Rate is in tokens per second.
	Rate float64
	// Burst is the greatest number of tokens.
	Burst float64

	tokens float64
	last   time.Time
}

// Spend takes n tokens if it holds as many at the time.
func (b *Bucket) Spend(n float64, now time.Time) bool {
	b.fill(now)
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// Tokens returns the tokens at the time.
func (b *Bucket) Tokens(now time.Time) float64 {
	b.fill(now)
	return b.tokens
}

// Until returns how long the bucket needs to hold n tokens.
func (b *Bucket) Until(n float64, now time.Time) time.Duration {
	b.fill(now)
	if b.tokens >= n {
		return 0
	}
	if b.Rate <= 0 || n > b.Burst {
		return time.Hour
	}
	return time.Duration((n - b.tokens) / b.Rate * float64(time.Second))
}

func (b *Bucket) fill(now time.Time) {
	if b.last.IsZero() {
		b.last = now
		return
	}
	if passed := now.Sub(b.last); passed > 0 {
		b.tokens = min(b.Burst, b.tokens+passed.Seconds()*b.Rate)
		b.last = now
	}
}
