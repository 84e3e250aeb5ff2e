package psshare_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/psshare"
)

func vms(n int) []psmessage.Identity {
	list := make([]psmessage.Identity, n)
	for i := range list {
		list[i] = psmessage.Identity{VM: fmt.Sprint("vm-", i), FailureDomain: fmt.Sprint("domain-", i%6), Region: fmt.Sprint("region-", i%6/2)}
	}
	return list
}

func TestOwnersOfServerTokensAreNearTheServer(t *testing.T) {
	for s := range 50 {
		server := fmt.Sprint("i-", s)
		primary, backup := psshare.ServerTokenOwners(server, "domain-2", "region-1", vms(18))
		qt.Check(t, primary.FailureDomain, qt.Equals, "domain-2")
		qt.Check(t, backup.FailureDomain, qt.Equals, "domain-2")
		qt.Check(t, primary.VM, qt.Not(qt.Equals), backup.VM)
		// Its failure domain has one VM, or none.
		primary, backup = psshare.ServerTokenOwners(server, "domain-2", "region-1", vms(6))
		qt.Check(t, primary.FailureDomain, qt.Equals, "domain-2")
		qt.Check(t, backup.FailureDomain, qt.Equals, "domain-3")
		primary, _ = psshare.ServerTokenOwners(server, "domain-9", "region-1", vms(6))
		qt.Check(t, primary.Region, qt.Equals, "region-1")
		primary, backup = psshare.ServerTokenOwners(server, "domain-9", "region-9", vms(1))
		qt.Check(t, primary.VM, qt.Equals, "vm-0")
		qt.Check(t, backup.VM, qt.Equals, "vm-0")
	}
}

// TestOwnersAreTheSameForAllVMs checks that the order of the list, which each VM begins with itself, doesn't matter.
func TestOwnersAreTheSameForAllVMs(t *testing.T) {
	list := vms(9)
	for s := range 50 {
		key := fmt.Sprint("key-", s)
		workspacePrimary, workspaceBackup := psshare.TokenOwners(key, list)
		serverPrimary, serverBackup := psshare.ServerTokenOwners(key, "domain-1", "region-0", list)
		for i := range list {
			rotated := append(append([]psmessage.Identity{}, list[i:]...), list[:i]...)
			primary, backup := psshare.TokenOwners(key, rotated)
			qt.Check(t, [2]string{primary.VM, backup.VM}, qt.Equals, [2]string{workspacePrimary.VM, workspaceBackup.VM})
			primary, backup = psshare.ServerTokenOwners(key, "domain-1", "region-0", rotated)
			qt.Check(t, [2]string{primary.VM, backup.VM}, qt.Equals, [2]string{serverPrimary.VM, serverBackup.VM})
		}
	}
}
