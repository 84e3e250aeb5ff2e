package psjitter_test

import (
	"fmt"

	"persimmonstep/internal/request/psjitter"
)

func ExampleSequence() {
	var s psjitter.Sequence
	fmt.Println(s.Next(), s.Next(), s.Next(), s.Next())
	// Output: 0.618 0.236 0.854 0.472
}
