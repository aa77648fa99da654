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

// Fault is an error in a configuration file.
type Fault struct {
	Position
	Message string
}

// String returns the fault as FILE:LINE:COLUMN: MESSAGE.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// Faults is an error that consists of all faults found. Its text has one line
// for each fault.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

// sorted sorts f by file, in the order of files, and by position. It returns f
// without duplicates.
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
