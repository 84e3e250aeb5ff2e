package psserver

import (
	"math"
	"time"
)

// fadedSpans is the number of spans after which nothing of a value is left that would matter. Most
// servers of a large fleet were heard of long ago, and are looked at for each request.
const fadedSpans = 8

// fade is how much of a value still counts after a time: about a third after a span.
func fade(age, span time.Duration) float64 {
	switch {
	case age <= 0:
		return 1
	case age > fadedSpans*span:
		return 0
	}
	return math.Exp(-float64(age) / float64(span))
}
