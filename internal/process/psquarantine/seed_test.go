package psquarantine

import "persimmonstep/internal/process/psseed"

func init() {
	psseed.Fix()
}
