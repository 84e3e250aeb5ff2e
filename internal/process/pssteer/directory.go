package pssteer

import (
	"github.com/samber/lo"

	"persimmonstep/internal/process/pscontrol"
	"persimmonstep/platform"
)

const (
	// minDirected is the number of VMs that a caller is told at least, if there are that many.
	minDirectoryVMs = 2
	// maxDirected bounds a directory answer.
	maxDirectoryVMs = 64
)

// directed returns the addresses that a caller should use: the VMs of its region, or all VMs
// where the region has too few.
func directoryAddresses(vms []pscontrol.VM, p platform.Place) []string {
	list := lo.Filter(vms, func(v pscontrol.VM, _ int) bool { return v.Region == p.Region })
	if len(list) < minDirectoryVMs {
		list = vms
	}
	if len(list) > maxDirectoryVMs {
		list = list[:maxDirectoryVMs]
	}
	return lo.Map(list, func(v pscontrol.VM, _ int) string { return v.Callers })
}
