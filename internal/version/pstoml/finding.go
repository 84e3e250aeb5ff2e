package pstoml

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is a fault in a file, with its position.
type Finding struct {
	File string `json:"file"`
	// Line counts from 1; 0 stands for the whole file.
	Line int `json:"line"`
	// Column counts bytes from 1.
	Column int `json:"column"`
	// Message describes the fault.
	Message string `json:"message"`
}

// String returns the finding as "file:line:column: message".
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// Findings is an error that reports all faults of one or more files.
type Findings []Finding

// Error returns the findings, one per line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, g := range f {
		lines[i] = g.String()
	}
	return strings.Join(lines, "\n")
}

// Sort orders the findings by file, line and column.
func (f Findings) Sort() {
	slices.SortStableFunc(f, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
