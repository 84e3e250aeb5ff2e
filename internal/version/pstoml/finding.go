package pstoml

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one fault of a file, with the place where it stands.
type Finding struct {
	// File names the file.
	File string `json:"file"`
	// Line counts from 1; 0 stands for the whole file.
	Line int `json:"line"`
	// Column counts bytes from 1.
	Column int `json:"column"`
	// Message says what is wrong.
	Message string `json:"message"`
}

// String renders the finding as file:line:column: message.
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// Findings is the error that reports all faults of some files together.
type Findings []Finding

// Error joins the findings, one a line.
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
