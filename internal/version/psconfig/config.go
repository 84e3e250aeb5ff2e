// Package psconfig defines the routing configuration that every VM applies to requests.
//
// A [Configuration] maps hosts and paths to services, assigns API keys to workspaces and limits what
// callers may send. It is immutable: each version is a new value. An [Index] answers the look-ups that
// each request needs.
package psconfig

import "time"

// Kind determines whether requests of a route may run more than once, and which bodies are large.
type Kind uint8

const (
	// AtMostOnce requests run on at most one backend server.
	AtMostOnce Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Upload requests have large bodies and run at most once.
	Upload
	// Download requests have large responses and may run more than once.
	Download
)

// Repeatable reports whether a request may run more than once.
func (k Kind) Repeatable() bool { return k == Idempotent || k == Download }

// String returns the kind's name for logs.
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

// Backend is a service that receives a share of a route's requests.
type Backend struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// Weight is the service's share, relative to the sum of the route's weights.
	Weight float64 `json:"weight"`
}

// Route assigns the requests of a host and a path prefix to services.
type Route struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	Kind   Kind   `json:"kind"`
	// Timeout is the longest time until a caller gets its response.
	Timeout time.Duration `json:"timeout"`
	// TargetLatency is the latency objective of a response.
	TargetLatency time.Duration `json:"targetLatency"`
	// Priority ranks the route; 0 is the most urgent.
	Priority int `json:"priority"`
	// Backends has at least one entry.
	Backends []Backend `json:"backends"`
	// MaxAttempts limits the number of backend servers to which one request is sent.
	MaxAttempts int `json:"maxAttempts"`
	// Public routes require no API key.
	Public bool `json:"public"`
	// Affinity states that a server that has recently handled an object runs its requests faster.
	Affinity bool `json:"affinity"`
	// AllowedRegions lists the regions in which requests may run; empty allows all regions.
	AllowedRegions []string `json:"allowedRegions"`
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"healthPath"`
	// MaxConnections is the number of connections that one server accepts from all VMs together.
	MaxConnections int `json:"maxConnections"`
	// ColdStart is how long a server stays cold after its start.
	ColdStart time.Duration `json:"coldStart"`
	// ColdPerSecond is the request rate that a cold server can sustain, in requests per second from
	// all VMs.
	ColdPerSecond float64 `json:"coldPerSecond"`
}

// Workspace is a tenant of the system.
type Workspace struct {
	Name string `json:"name"`
	// Keys are the digests of the workspace's API keys.
	Keys []Digest `json:"keys"`
	// Priority overrides the route's priority; nil keeps the route's.
	Priority *int `json:"priority"`
	// Rate limits requests, in requests per second over all VMs; 0 means no limit.
	Rate float64 `json:"rate"`
	// Burst is the number of requests allowed on top of the rate.
	Burst          float64  `json:"burst"`
	AllowedRegions []string `json:"allowedRegions"`
}

// Limits restrict the size of callers' requests, the time to send their headers and the idle time of
// connections. A zero MaxBodyBytes means no limit; the others then have defaults.
type Limits struct {
	MaxHeaderBytes int           `json:"maxHeaderBytes"`
	MaxBodyBytes   int64         `json:"maxBodyBytes"`
	HeaderTimeout  time.Duration `json:"headerTimeout"`
	IdleTimeout    time.Duration `json:"idleTimeout"`
}

// Limits of callers for which a configuration has no value.
const (
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 120 * time.Second
)

// OrDefaults returns the limits with the defaults for missing values, except for MaxBodyBytes.
func (l Limits) OrDefaults() Limits {
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = defaultHeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// Configuration is one version of the routing configuration.
type Configuration struct {
	Version    int64       `json:"version"`
	Routes     []Route     `json:"routes"`
	Services   []Service   `json:"services"`
	Workspaces []Workspace `json:"workspaces"`
	Limits     Limits      `json:"limits"`
	// Unknown lists the fields and values of the operator's document that this program does not
	// understand. All others are in force.
	Unknown []Finding `json:"unknown,omitempty"`
}
