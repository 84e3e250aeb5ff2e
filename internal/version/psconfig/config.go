// Package psconfig holds a configuration version as the VMs use it.
//
// A [Configuration] says which hosts and paths lead to which services, which workspaces
// hold which keys, and what callers may send. It is immutable: a new version is a new value.
// An [Index] answers the look-ups that each request needs.
package psconfig

import "time"

// Kind says what may be repeated on a route.
type Kind uint8

const (
	// AtMostOnce requests run on one backend server at most.
	AtMostOnce Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Upload requests have large bodies and run at most once.
	Upload
)

// Repeatable reports whether a request may run more than once.
func (k Kind) Repeatable() bool { return k == Idempotent }

// String names the kind for logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Upload:
		return "upload"
	default:
		return "atMostOnce"
	}
}

// Backend is a service that serves a part of a route's requests.
type Backend struct {
	// Service names the service.
	Service string
	// Weight is the service's part, relative to the sum of the route's weights.
	Weight float64
}

// Route leads the requests of a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// TargetLatency is the latency objective of an answer.
	TargetLatency time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// Backends has at least one entry.
	Backends []Backend
	// MaxAttempts bounds the backend servers that one request is sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Affinity says that a server that handled an object lately handles it faster.
	Affinity bool
	// AllowedRegions bounds where requests may run; empty allows all regions.
	AllowedRegions []string
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is what one server accepts from all VMs together.
	MaxConnections int
	// ColdStart is how long a started server stays cold.
	ColdStart time.Duration
	// ColdPerSecond is the rate that a cold server bears, in requests per second from all VMs.
	ColdPerSecond float64
}

// Workspace is a tenant of the system.
type Workspace struct {
	Name string
	// Keys are the digests of the workspace's keys.
	Keys []Digest
	// Priority goes before a route's priority; nil leaves it to the route.
	Priority *int
	// Rate is in requests per second over all VMs; 0 means no limit.
	Rate float64
	// Burst is in requests, on top of the rate.
	Burst          float64
	AllowedRegions []string
}

// Limits bound what a caller may send. Zero values mean no limit.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Configuration is one version.
type Configuration struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}
