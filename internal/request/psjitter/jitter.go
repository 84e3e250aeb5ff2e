// Package psjitter spreads decisions over requests without randomness, so that any few consecutive ones are spread evenly.
package psjitter

import "sync/atomic"

// step and span place consecutive numbers far apart.
const (
	step = 618
	span = 1000
)

// Sequence is a sequence of numbers. The zero value is ready to use. It is safe for concurrent use.
type Sequence struct {
	count atomic.Uint64
}

// Next returns a number in [0, 1) that differs between consecutive calls.
func (s *Sequence) Next() float64 { return float64(s.count.Add(1)*step%span) / span }
