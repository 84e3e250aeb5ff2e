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

// directoryAddresses returns the addresses of the VMs that a caller at a place should use: those of its region,
// or those of all regions if the region has too few.
func directoryAddresses(vms []pssnapshot.VM, p platform.DirectoryQuery) []string {
	list := lo.Filter(vms, func(v pssnapshot.VM, _ int) bool { return v.Region == p.Region })
	if len(list) < minDirectoryVMs {
		list = vms
	}
	if len(list) > maxDirectoryVMs {
		list = list[:maxDirectoryVMs]
	}
	return lo.Map(list, func(v pssnapshot.VM, _ int) string { return v.Callers })
}
