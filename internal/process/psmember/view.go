// Package psmember knows which VMs are there.
//
// A VM that stops says so first, and callers are told of other VMs before it goes.
package psmember

import (
	"sync"

	"persimmonstep/internal/version/psdoc"
)

// View is what this VM knows of the others. Its zero value takes every VM for usable.
type View struct {
	mutex   sync.Mutex
	leaving map[psdoc.Name]bool
}

// Usable reports whether the VM is neither leaving nor known to be down.
func (v *View) Usable(vm psdoc.Name) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return !v.leaving[vm]
}

// SetLeaving records that a VM is leaving.
func (v *View) SetLeaving(vm psdoc.Name) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.leaving == nil {
		v.leaving = make(map[psdoc.Name]bool)
	}
	v.leaving[vm] = true
}
