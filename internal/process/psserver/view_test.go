package psserver_test

import (
	"testing"
	"time"
)

// BenchmarkView measures a server without recent requests, as most servers of a large fleet are.
func BenchmarkView(b *testing.B) {
	s := newServer(nil)
	e := s.BeginRequest(startTime, time.Second)
	s.EndRequest(e)
	s.RecordLoad(3, 2, startTime)
	s.RecordOutcome(1.2, false, startTime)
	s.RecordCacheResult(true, true, startTime)
	s.RecordLatency(e, time.Second, startTime)
	now := startTime.Add(30 * time.Second)
	for b.Loop() {
		s.View(now)
	}
}
