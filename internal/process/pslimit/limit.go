// Package pslimit holds the limit that a backend server names: the rate of requests that it takes from all VMs together.
//
// A server in need states its limit in its responses, and the limit holds as long as they repeat it. Each VM sees only
// the responses to its own requests, which may arrive in another order than the server created them, and learns of
// others from other VMs. A [Statement] combines them.
package pslimit

import (
	"math"
	"strconv"

	"github.com/pkg/errors"
)

// Limit is the rate of requests that a server takes from all VMs together. The zero value is no limit.
type Limit struct {
	// Named is set if there is a limit.
	Named bool `json:"named"`
	// PerSecond is the rate in requests per second; 0 means that the server takes none.
	PerSecond float64 `json:"perSecond,omitempty"`
}

// Check validates a decoded limit.
func (l Limit) Check() error {
	if !(l.PerSecond >= 0) || math.IsInf(l.PerSecond, 0) {
		return errors.New("check limit of a server: rate is out of range")
	}
	return nil
}

// String returns the limit in requests per second, or "none".
func (l Limit) String() string {
	if !l.Named {
		return "none"
	}
	return strconv.FormatFloat(l.PerSecond, 'g', -1, 64)
}

// Stricter returns the stricter of two limits.
func (l Limit) Stricter(other Limit) Limit {
	if !l.Named || other.Named && other.PerSecond < l.PerSecond {
		return other
	}
	return l
}
