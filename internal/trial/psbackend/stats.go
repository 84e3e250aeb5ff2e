package psbackend

import "time"

// Stats are the counters of a stand-in.
type Stats struct {
	// Runs counts the requests that started to run.
	Runs int
	// Shed counts the requests that were rejected without being run.
	Shed int
	// Running is the number of requests that run now, and PeakRunning its highest value.
	Running     int
	PeakRunning int
	// LastRun is when a request last started to run.
	LastRun time.Time
	// RequestsInPause is the highest number of requests that one address sent during a pause, not counting
	// those of the first half second.
	RequestsInPause int
}
