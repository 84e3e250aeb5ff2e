package pssteer

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/pssnapshot"
	"persimmonstep/platform"
)

func TestDirectoryPrefersVMsWithServersInRegion(t *testing.T) {
	vm := func(region, callers string, noServers bool) pssnapshot.VM {
		return pssnapshot.VM{Region: region, Callers: callers, NoServers: noServers}
	}
	south := []pssnapshot.VM{vm("south", "s1", false), vm("south", "s2", true)}
	for name, v := range map[string]struct {
		north []pssnapshot.VM
		want  []string
	}{
		"enough with servers":   {[]pssnapshot.VM{vm("north", "n1", false), vm("north", "n2", false), vm("north", "n3", true)}, []string{"n1", "n2"}},
		"too few with servers":  {[]pssnapshot.VM{vm("north", "n1", false), vm("north", "n2", true)}, []string{"n1", "n2"}},
		"none with servers":     {[]pssnapshot.VM{vm("north", "n1", true), vm("north", "n2", true)}, []string{"n1", "n2"}},
		"too few in the region": {[]pssnapshot.VM{vm("north", "n1", false)}, []string{"n1", "s1"}},
		"a single one, cut off": {[]pssnapshot.VM{vm("north", "n1", true)}, []string{"n1", "s1", "s2"}},
	} {
		got := directoryAddresses(append(v.north, south...), platform.DirectoryQuery{Region: "north"})
		qt.Check(t, got, qt.DeepEquals, v.want, qt.Commentf("%s", name))
	}
}
