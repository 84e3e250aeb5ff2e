package pspool_test

import "persimmonstep/internal/process/psseed"

func init() {
	psseed.Fix()
}
