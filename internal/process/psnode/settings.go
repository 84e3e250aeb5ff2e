// Package psnode defines the settings of one VM, a node of the fleet: its identity, its addresses and the limits that
// the platform imposes on it. The machine provides them when the VM starts.
package psnode

import (
	"net/netip"
	"time"
)

// Settings are the settings that the machine provides to one VM.
type Settings struct {
	// Name identifies the VM.
	Name string
	// FailureDomain and Region are the location of the VM.
	FailureDomain string
	Region        string
	// Regions maps each failure domain to its region.
	Regions map[string]string

	// Callers, Ready and Directory are the addresses to listen on for callers' requests, readiness checks and
	// directory queries.
	Callers   netip.AddrPort
	Ready     netip.AddrPort
	Directory netip.AddrPort
	// PeerPorts are the first and last port for traffic between VMs.
	PeerPorts [2]uint16
	// Store describes the platform's store.
	Store StoreSettings
	// HeartbeatInterval is the interval at which a backend server renews its entry in the store.
	HeartbeatInterval time.Duration
	// Bounds are the limits that hold for the whole fleet.
	Bounds Bounds
	// FirstStart is set if the whole fleet starts for the first time, so that no VM knows any other.
	FirstStart bool
	// Link is the capacity of the VM's network link in each direction, in Mbit/s; 0 if unknown.
	Link float64
	// Memory is the VM's memory, in bytes, and Descriptors the number of files and sockets that it may have open; 0 if
	// unknown.
	Memory      int64
	Descriptors int
}

// Listens reports whether this VM listens, or may listen, at an address.
func (s *Settings) Listens(a netip.AddrPort) bool {
	if a == s.Callers || a == s.Ready || a == s.Directory {
		return true
	}
	return a.Addr() == s.Callers.Addr() && a.Port() >= s.PeerPorts[0] && a.Port() <= s.PeerPorts[1]
}

// StoreSettings describe the platform's store.
type StoreSettings struct {
	Address netip.AddrPort
	// WritesPerSecond and ReadsPerSecond bound the calls of all VMs together.
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// Bounds are the limits that the whole fleet must keep.
type Bounds struct {
	// Drain bounds the time from the store's acknowledgement of a draining entry until its server gets no more
	// requests.
	Drain time.Duration
	// Grace is the grace period between SIGTERM and SIGKILL.
	Grace time.Duration
	// DirectoryTTL is the longest time for which callers cache a directory response.
	DirectoryTTL time.Duration
	// RetryRatio, RetryWindow and RetrySlack are the retry budget of a service. The retries in each window must
	// not exceed RetryRatio times its requests plus RetrySlack.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// QuotaWindow, QuotaOver and QuotaSlack are the window, the relative and the absolute tolerance for the
	// request rate of a workspace.
	QuotaWindow time.Duration
	QuotaOver   float64
	QuotaSlack  float64
	// ColdOver multiplies the request rate that a server sustains during its cold start, and ColdSlack is added.
	ColdOver  float64
	ColdSlack float64
	// Contact is how long a VM must have run without a disruption before the bounds apply to it.
	Contact time.Duration
}
