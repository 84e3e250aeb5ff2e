// Package psdecay holds the exponential decay of measurements.
//
// What a VM knows of a server in a large fleet is mostly old, so a measurement decays towards a neutral value.
package psdecay

import (
	"math"
	"time"
)

// negligibleAfter is the number of time constants after which a value counts as fully decayed (e^-8 is
// 0.03 %). Most servers of a large fleet were measured long ago and are evaluated for each request; for them
// this saves the exponential function.
const negligibleAfter = 8

// Factor returns the factor in 0..1 by which a value has decayed exponentially at an age.
func Factor(age, timeConstant time.Duration) float64 {
	switch {
	case age <= 0:
		return 1
	case age > negligibleAfter*timeConstant:
		return 0
	}
	return math.Exp(-float64(age) / float64(timeConstant))
}
