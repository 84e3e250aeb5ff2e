// Package psseed makes property tests repeatable.
//
// A test run should have the same verdict each time for the same code. Property tests draw
// their cases from a seed, so each package that has some calls [Fix] before its tests run.
// Other cases are drawn with the command line's -rapid.seed.
package psseed

import "flag"

const (
	// flagName is the flag of the property test library.
	flagName = "rapid.seed"
	seed     = "20261204"
)

// Fix gives property tests a fixed seed. A seed on the command line, which is read later,
// goes before it.
func Fix() {
	f := flag.Lookup(flagName)
	if f == nil {
		panic("psseed: the package has no property tests")
	}
	if err := f.Value.Set(seed); err != nil {
		panic(err)
	}
}
