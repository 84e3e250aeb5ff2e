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
	// Download requests have large answers and may run more than once.
	Download
)

// Repeatable reports whether a request may run more than once.
func (k Kind) Repeatable() bool { return k == Idempotent || k == Download }

// String names the kind for logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Upload:
		return "upload"
	case Download:
		return "download"
	default:
		return "atMostOnce"
	}
}

// Backend is a service that serves a part of a route's requests.
type Backend struct {
	// Service names the service.
	Service string `json:"service"`
	// Weight is the service's part, relative to the sum of the route's weights.
	Weight float64 `json:"weight"`
}

// Route leads the requests of a host and a path prefix to services.
type Route struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	Kind   Kind   `json:"kind"`
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration `json:"timeout"`
	// TargetLatency is the latency objective of an answer.
	TargetLatency time.Duration `json:"targetLatency"`
	// Priority ranks the route; 0 is the most urgent.
	Priority int `json:"priority"`
	// Backends has at least one entry.
	Backends []Backend `json:"backends"`
	// MaxAttempts bounds the backend servers that one request is sent to.
	MaxAttempts int `json:"maxAttempts"`
	// Public routes need no key.
	Public bool `json:"public"`
	// Affinity says that a server that handled an object lately handles it faster.
	Affinity bool `json:"affinity"`
	// AllowedRegions bounds where requests may run; empty allows all regions.
	AllowedRegions []string `json:"allowedRegions"`
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"healthPath"`
	// MaxConnections is what one server accepts from all VMs together.
	MaxConnections int `json:"maxConnections"`
	// ColdStart is how long a started server stays cold.
	ColdStart time.Duration `json:"coldStart"`
	// ColdPerSecond is the rate that a cold server bears, in requests per second from all VMs.
	ColdPerSecond float64 `json:"coldPerSecond"`
}

// Workspace is a tenant of the system.
type Workspace struct {
	Name string `json:"name"`
	// Keys are the digests of the workspace's keys.
	Keys []Digest `json:"keys"`
	// Priority goes before a route's priority; nil leaves it to the route.
	Priority *int `json:"priority"`
	// Rate is in requests per second over all VMs; 0 means no limit.
	Rate float64 `json:"rate"`
	// Burst is in requests, on top of the rate.
	Burst          float64  `json:"burst"`
	AllowedRegions []string `json:"allowedRegions"`
}

// Limits bound what a caller may send. Zero values mean no limit.
type Limits struct {
	MaxHeaderBytes int           `json:"maxHeaderBytes"`
	MaxBodyBytes   int64         `json:"maxBodyBytes"`
	HeaderTimeout  time.Duration `json:"headerTimeout"`
	IdleTimeout    time.Duration `json:"idleTimeout"`
}

// Configuration is one version.
type Configuration struct {
	Version    int64       `json:"version"`
	Routes     []Route     `json:"routes"`
	Services   []Service   `json:"services"`
	Workspaces []Workspace `json:"workspaces"`
	Limits     Limits      `json:"limits"`
	// Unknown lists what the operator wrote and this program doesn't understand. The rest is in force.
	Unknown []Finding `json:"unknown,omitempty"`
}
