package tpconfig

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Position is a place in a file. Line and Column count from 1.
type Position struct {
	File   string
	Line   int
	Column int
}

// Fault is one thing that is wrong with a file.
type Fault struct {
	Position
	Message string
}

// String returns the fault as FILE:LINE:COLUMN: MESSAGE.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// Faults is the error that holds every fault that was found, one a line.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

// sorted returns the faults in the order of the files, each once.
func (f Faults) sorted(files ...string) Faults {
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(
			cmp.Compare(slices.Index(files, a.File), slices.Index(files, b.File)),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Message, b.Message),
		)
	})
	return slices.Compact(f)
}
