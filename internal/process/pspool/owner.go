package pspool

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// Owner returns the VM to which a server's slots belong: the highest rendezvous hash among
// the VMs of the server's failure domain. It is nil in a domain without VMs.
func Owner(s *psplan.Server) *psplan.VM {
	if len(s.Domain.VMs) == 0 {
		return nil
	}
	return slices.MaxFunc(s.Domain.VMs, func(a, b *psplan.VM) int {
		return cmp.Compare(rendezvous(a.Name, s.Name), rendezvous(b.Name, s.Name))
	})
}

func rendezvous(vm, server psdoc.Name) uint64 {
	var d xxhash.Digest
	_, _ = d.WriteString(string(vm))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(server))
	return d.Sum64()
}
