// Package document decodes YAML files strictly: every unknown key, repeated
// key and value of a wrong type is reported with its line and field.
package document

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one error in a file, such as an unknown key.
type Fault struct {
	// Line counts from 1; it is 0 if the fault belongs to no line.
	Line int `json:"line"`
	// Field is a path such as "classes[2].tier"; empty for the whole file.
	Field string `json:"field"`
	// Message describes the error, often by the values that are accepted.
	Message string `json:"message"`
}

func (f Fault) String() string {
	if f.Field == "" {
		return fmt.Sprintf("line %d: %s", f.Line, f.Message)
	}
	return fmt.Sprintf("line %d: %s: %s", f.Line, f.Field, f.Message)
}

// Faults is an error that lists all faults of a file.
type Faults struct {
	// Name is the name of the file.
	Name string
	// List is never empty and is sorted by line.
	List []Fault
}

// Error returns one line for each fault.
func (f *Faults) Error() string {
	lines := make([]string, len(f.List))
	for i, each := range f.List {
		lines[i] = fmt.Sprintf("%s: %s", f.Name, each)
	}
	return strings.Join(lines, "\n")
}

func (f *Faults) sort() {
	slices.SortStableFunc(f.List, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
}
