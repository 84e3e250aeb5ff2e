package psmessage

import (
	"github.com/pkg/errors"

	"persimmonstep/internal/process/psserver"
)

// Report is the periodic message of a VM to the others. It serves as a heartbeat.
type Report struct {
	// Identity is complete in the first reports of a process and in every reportIdentityPeriod-th one.
	// The others only identify the process.
	Identity
	// Sequence increases with each report of one incarnation.
	Sequence int64 `json:"sequence"`
	// Ready is set if the VM accepts requests of callers.
	Ready bool `json:"ready"`
	// ReadsStore is set if the VM reads the store itself or receives changes from one that does.
	ReadsStore bool `json:"reads,omitempty"`
	// NoServers is set if the VM has lost its links to all backend servers.
	NoServers bool `json:"noServers,omitempty"`
	// Version is the configuration version in force; 0 before the first one.
	Version int64 `json:"version"`
	// Demands are the requests per second that callers send, granted or not, by workspace.
	Demands map[string]float64 `json:"demands,omitempty"`
	// Crashes counts server crashes by the fingerprint of the request.
	Crashes map[uint64]int `json:"crashes,omitempty"`
	// Failed lists the ids of servers that the VM recently found to be down.
	Failed []string `json:"failed,omitempty"`
	// Leaving lists servers that recently announced their shutdown to the VM.
	Leaving []psserver.Run `json:"leaving,omitempty"`
	// Departed lists servers that recently left according to the store.
	Departed []Departure `json:"departed,omitempty"`
	// Limited lists servers that recently began or ceased to name a limit to the VM.
	Limited []ServerLimit `json:"limited,omitempty"`
	// Slow lists servers that are slower than the others of their service, with their lag: the response
	// time as a multiple of the longest expected one.
	Slow map[string]float64 `json:"slow,omitempty"`
	// Busy lists workspaces that send the VM far more requests than usual.
	Busy []string `json:"busy,omitempty"`
	// Lease is what the VM states of its part of the fleet's limits; nil in reports of earlier builds.
	Lease *Lease `json:"lease,omitempty"`
}

const (
	// reportsWithFullIdentity is the number of reports with a full identity after the start of a
	// process or after another VM became known. From then on every reportIdentityPeriod-th one has it.
	reportsWithFullIdentity = 4
	reportIdentityPeriod    = 8
)

// Shorten removes the fields of the identity that the other VMs have received by now. grownAt is the sequence
// number of the report that was created when the newest VM became known.
func (r *Report) Shorten(grownAt int64) {
	if r.Sequence > grownAt+reportsWithFullIdentity && r.Sequence%reportIdentityPeriod != 0 {
		r.Identity = r.Brief()
	}
}

const (
	// reportBytes is what a report takes in memory besides its lists, and entryBytes what each entry of a list takes besides
	// its texts, in bytes.
	reportBytes = 512
	entryBytes  = 96
)

// Size returns the estimated number of bytes that a report takes in memory.
func (r *Report) Size() int64 {
	n := reportBytes + len(r.VM) + len(r.FailureDomain) + len(r.Region) + entryBytes*len(r.Crashes)
	for name := range r.Demands {
		n += entryBytes + len(name)
	}
	for id := range r.Slow {
		n += entryBytes + len(id)
	}
	lists := [][]string{r.Failed, r.Busy}
	if l := r.Lease; l != nil {
		n += entryBytes
		lists = append(lists, l.Excluded.VMs, l.Excluded.FailureDomains, l.Silent.VMs, l.Silent.FailureDomains)
	}
	for _, list := range lists {
		for _, name := range list {
			n += entryBytes + len(name)
		}
	}
	for _, v := range r.Leaving {
		n += entryBytes + len(v.ID)
	}
	for _, v := range r.Departed {
		n += entryBytes + len(v.ID)
	}
	for _, v := range r.Limited {
		n += entryBytes + len(v.ID)
	}
	return int64(n)
}

// Check validates a decoded report.
func (r *Report) Check() error {
	for _, v := range r.Limited {
		if err := v.Check(); err != nil {
			return errors.Wrap(err, "check report")
		}
	}
	for _, d := range r.Departed {
		if d.Sequence < 0 {
			return errors.New("check report: sequence of a departure is negative")
		}
	}
	if r.Lease != nil {
		if err := r.Lease.Check(); err != nil {
			return errors.Wrap(err, "check report")
		}
	}
	if r.Sequence < 0 || r.Sequence > maxSequence || r.Version < 0 {
		return errors.New("check report: sequence or version is out of range")
	}
	if r.IsBrief() {
		return r.checkIncarnation()
	}
	return r.Identity.Check()
}
