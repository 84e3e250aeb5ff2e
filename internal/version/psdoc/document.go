// Package psdoc reads the documents that operators write.
//
// A document is one TOML file that describes a part of the configuration: regions, VMs,
// backend servers, workspaces, keys, routes, links or drains. Each document has a name,
// and applying a document of the same name replaces the earlier one. A document is read
// whole: every fault is collected as a [pstoml.Finding] with its line and column, so that an
// operator sees all of them at once.
package psdoc

import (
	"net/netip"

	"persimmonstep/internal/version/pstoml"
)

// Document is the content of one file.
type Document struct {
	// Document is the name under which the file is applied.
	Document Name `toml:"document" json:"document"`
	// Regions lists the regions.
	Regions []Region `toml:"regions,omitempty" json:"regions,omitempty"`
	// FailureDomains lists the failure domains of the regions.
	FailureDomains []FailureDomain `toml:"failureDomains,omitempty" json:"failureDomains,omitempty"`
	// VMs lists the entry VMs.
	VMs []VM `toml:"vms,omitempty" json:"vms,omitempty"`
	// Servers lists the backend servers.
	Servers []Server `toml:"servers,omitempty" json:"servers,omitempty"`
	// Workspaces lists the workspaces.
	Workspaces []Workspace `toml:"workspaces,omitempty" json:"workspaces,omitempty"`
	// Keys lists the digests of issued keys.
	Keys []Key `toml:"keys,omitempty" json:"keys,omitempty"`
	// Routes lists the routes.
	Routes []Route `toml:"routes,omitempty" json:"routes,omitempty"`
	// Links lists the capacity of region pairs.
	Links []Link `toml:"links,omitempty" json:"links,omitempty"`
	// Drains lists the backend servers that are leaving.
	Drains []Drain `toml:"drains,omitempty" json:"drains,omitempty"`
	// ClientBlocks lists address blocks and the failure domains nearest to them.
	ClientBlocks []ClientBlock `toml:"clientBlocks,omitempty" json:"clientBlocks,omitempty"`

	source *pstoml.Source
	text   string
}

// Region is a geographical area with failure domains.
type Region struct {
	Name Name `toml:"name" json:"name"`
}

// FailureDomain is a part of a region that fails as one.
type FailureDomain struct {
	Name   Name `toml:"name" json:"name"`
	Region Name `toml:"region" json:"region"`
}

// VM is one entry VM.
type VM struct {
	Name          Name `toml:"name" json:"name"`
	FailureDomain Name `toml:"failureDomain" json:"failureDomain"`
	// Callers is the address at which callers reach the VM.
	Callers netip.AddrPort `toml:"callers" json:"callers"`
	// Peer is the address at which other VMs reach the VM.
	Peer netip.AddrPort `toml:"peer" json:"peer"`
	// Operator is the address of the administration API.
	Operator netip.AddrPort `toml:"operator" json:"operator"`
	// Weight is the VM's part of each budget in proportion to the other VMs; 1 when absent.
	Weight *float64 `toml:"weight,omitempty" json:"weight,omitempty"`
}

// Server is one backend server.
type Server struct {
	Name          Name           `toml:"name" json:"name"`
	FailureDomain Name           `toml:"failureDomain" json:"failureDomain"`
	Address       netip.AddrPort `toml:"address" json:"address"`
	// Pool names the group of servers that can run the same routes.
	Pool Name `toml:"pool" json:"pool"`
	// Slots is the number of requests that the server runs at a time.
	Slots int `toml:"slots" json:"slots"`
	// Connections is the number of connections that the server holds; 330 when absent.
	Connections *int `toml:"connections,omitempty" json:"connections,omitempty"`
}

// Workspace is one customer.
type Workspace struct {
	Name Name `toml:"name" json:"name"`
	// Rate is the fleet-wide bound in requests per second.
	Rate float64 `toml:"rate" json:"rate"`
	// Burst is the number of requests that may come at once.
	Burst float64 `toml:"burst" json:"burst"`
	// Weight is the workspace's part of scarce slots; its rate when absent.
	Weight *float64 `toml:"weight,omitempty" json:"weight,omitempty"`
	// Routes lists the routes that the workspace may use; all when absent.
	Routes []Name `toml:"routes,omitempty" json:"routes,omitempty"`
}

// Key is one issued key.
type Key struct {
	ID        Name   `toml:"id" json:"id"`
	Workspace Name   `toml:"workspace" json:"workspace"`
	Digest    Digest `toml:"digest" json:"digest"`
}

// Route matches requests by path prefix.
type Route struct {
	Name   Name      `toml:"name" json:"name"`
	Prefix string    `toml:"prefix" json:"prefix"`
	Kind   RouteKind `toml:"kind" json:"kind"`
	Pool   Name      `toml:"pool" json:"pool"`
	// Open admits requests without a key.
	Open bool `toml:"open,omitempty" json:"open,omitempty"`
	// Regions lists the regions that may serve the route, all when absent.
	Regions []Name `toml:"regions,omitempty" json:"regions,omitempty"`
	// Deadline bounds a request's whole run; for uploads it bounds the time without progress.
	Deadline *Duration `toml:"deadline,omitempty" json:"deadline,omitempty"`
	// MaxBodyBytes bounds the request's body.
	MaxBodyBytes *int64 `toml:"maxBodyBytes,omitempty" json:"maxBodyBytes,omitempty"`
	// WhenCutOff says what happens while the VM hears nobody.
	WhenCutOff CutOffPolicy `toml:"whenCutOff,omitempty" json:"whenCutOff,omitempty"`
	// KeyGrace bounds how long keys are trusted while the VM hears nobody.
	KeyGrace *Duration `toml:"keyGrace,omitempty" json:"keyGrace,omitempty"`
	// Shift bounds the requests that run outside the caller's home region.
	Shift *Shift `toml:"shift,omitempty" json:"shift,omitempty"`
}

// Shift bounds the traffic that a route moves to another region.
type Shift struct {
	// Fraction bounds the shifted part of all requests, from 0 to 1.
	Fraction *float64 `toml:"fraction,omitempty" json:"fraction,omitempty"`
	// Rate bounds the shifted requests per second.
	Rate *float64 `toml:"rate,omitempty" json:"rate,omitempty"`
	// BytesPerSecond bounds the shifted bytes per second.
	BytesPerSecond *float64 `toml:"bytesPerSecond,omitempty" json:"bytesPerSecond,omitempty"`
	// GrowthPerMinute bounds the growth of the shifted fraction in one minute.
	GrowthPerMinute *float64 `toml:"growthPerMinute,omitempty" json:"growthPerMinute,omitempty"`
}

// Link is the capacity between two regions.
type Link struct {
	Between       []Name  `toml:"between" json:"between"`
	BitsPerSecond float64 `toml:"bitsPerSecond" json:"bitsPerSecond"`
}

// Drain marks a backend server as leaving.
type Drain struct {
	Server Name `toml:"server" json:"server"`
}

// ClientBlock assigns callers of an address block to a failure domain.
type ClientBlock struct {
	Prefix        netip.Prefix `toml:"prefix" json:"prefix"`
	FailureDomain Name         `toml:"failureDomain" json:"failureDomain"`
}
