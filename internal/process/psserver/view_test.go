package psserver_test

import (
	"testing"
	"time"
)

// BenchmarkView measures a server without recent requests, as most servers of a large fleet are.
func BenchmarkView(b *testing.B) {
	s := server(nil)
	e := s.Sent(begun, time.Second)
	s.Ended(e)
	s.Reported(3, 2, begun)
	s.Judge(1.2, false, begun)
	s.Recalled(true, true, begun)
	s.Timed(e, time.Second, begun)
	now := begun.Add(30 * time.Second)
	for b.Loop() {
		s.View(now)
	}
}
