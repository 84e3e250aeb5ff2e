// Package psnode says what a VM of the fleet is told about itself when it starts.
package psnode

import (
	"net/netip"
	"time"
)

// Settings are what the machine tells one VM.
type Settings struct {
	// Name identifies the VM.
	Name string
	// FailureDomain and Region are where the VM runs.
	FailureDomain string
	Region        string
	// Regions gives the region of each failure domain.
	Regions map[string]string

	// Callers, Ready and Directory are the addresses to listen on.
	Callers   netip.AddrPort
	Ready     netip.AddrPort
	Directory netip.AddrPort
	// PeerPorts are the first and last port for what VMs say to each other.
	PeerPorts [2]uint16
	// Store is the address of the platform's store.
	Store StoreSettings
	// HeartbeatInterval is how often a backend server renews its entry.
	HeartbeatInterval time.Duration
	Bounds            Bounds
	// FirstStart says that the whole fleet starts for the first time, so that nobody knows of anybody.
	FirstStart bool
	// Link is what the VM's network link carries each way, in Mbit/s; 0 if that isn't known.
	Link float64
}

// StoreSettings describe the platform's store.
type StoreSettings struct {
	Address netip.AddrPort
	// WritesPerSecond and ReadsPerSecond are for all VMs together.
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// Bounds are the limits that the whole fleet has to keep.
type Bounds struct {
	// Drain is how soon after the store's acknowledgement a leaving server gets no request.
	Drain time.Duration
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// DirectoryTTL is the longest time for which callers keep a directory answer.
	DirectoryTTL time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound a service's repeats: in each window no
	// more than the ratio of its requests and the slack.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// QuotaWindow, QuotaOver and QuotaSlack are the tolerance for a workspace's rate.
	QuotaWindow    time.Duration
	QuotaTolerance float64
	QuotaSlack     float64
	// ColdOver multiplies the rate that a cold server bears, and ColdSlack is added to it.
	ColdFactor float64
	ColdSlack  float64
	// Contact is the time for which a VM must have been undisturbed for bounds to hold.
	StablePeriod time.Duration
}
