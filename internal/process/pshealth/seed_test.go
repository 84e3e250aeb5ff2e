package pshealth

import "persimmonstep/internal/process/psseed"

func init() {
	psseed.Fix()
}
