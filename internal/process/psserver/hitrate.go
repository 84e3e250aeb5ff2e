package psserver

import "time"

const (
	// firstRecall is the recall before anything was seen, and to which old ones fade.
	firstRecall = 0.93
	// recallWeight is the weight of one answer.
	recallWeight = 0.2
	// recallSpan is the time after which a recall counts for about a third.
	recallSpan = 8 * time.Second
)

// Recall is how often a server still holds the objects that were sent to it lately. It falls
// where more objects are sent to a server than it holds.
type Recall struct {
	// missed is the part that the server no longer held, beyond the first recall.
	missed float64
	at     time.Time
}

// Value returns the recall as it counts now.
func (r *Recall) Value(now time.Time) float64 {
	if r.missed == 0 {
		return firstRecall
	}
	return firstRecall - r.missed*fade(now.Sub(r.at), recallSpan)
}

// Note takes in whether the server held an object.
func (r *Recall) Note(held bool, now time.Time) {
	v := r.Value(now) * (1 - recallWeight)
	if held {
		v += recallWeight
	}
	r.missed = max(0, firstRecall-v)
	r.at = now
}
