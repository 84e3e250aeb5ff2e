package pssteer

import (
	"github.com/samber/lo"

	"persimmonstep/internal/process/pssnapshot"
	"persimmonstep/platform"
)

const (
	// minDirectoryVMs is the least number of VMs in a directory response, unless the fleet is smaller.
	minDirectoryVMs = 2
	// maxDirectoryVMs is the largest number of VMs in a directory response.
	maxDirectoryVMs = 64
)

// directoryAddresses returns the addresses of the VMs that a caller at a place should use: those of its region that have
// links to backend servers. If these are too few, VMs of the region without links are added, which forward requests to
// others, and if the region has too few VMs, all regions are used.
func directoryAddresses(vms []pssnapshot.VM, p platform.DirectoryQuery) []string {
	region := lo.Filter(vms, func(v pssnapshot.VM, _ int) bool { return v.Region == p.Region })
	for _, list := range [][]pssnapshot.VM{withServers(region), region, withServers(vms)} {
		if len(list) >= minDirectoryVMs {
			return addresses(list)
		}
	}
	return addresses(vms)
}

// withServers returns the VMs that have links to backend servers.
func withServers(vms []pssnapshot.VM) []pssnapshot.VM {
	return lo.Reject(vms, func(v pssnapshot.VM, _ int) bool { return v.NoServers })
}

func addresses(vms []pssnapshot.VM) []string {
	vms = vms[:min(len(vms), maxDirectoryVMs)]
	return lo.Map(vms, func(v pssnapshot.VM, _ int) string { return v.Callers })
}
