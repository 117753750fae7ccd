// Package settings has the one table of settings. The settings file, the
// flags, the run-time settings of the sheet and docs/SETTINGS.md all come
// from it.
//
// Values are read once, at start-up, and are immutable. Every problem of the
// file and the flags is reported at once, with its line. Only settings marked
// Runtime can change later, by the sheet (see WithRuntime).
package settings

import "slices"

// Type names how a setting's text is parsed.
type Type string

// Types of settings. A size is a number of bytes with an optional unit (KiB,
// MiB, GiB); a duration has a unit (500ms, 2s); a list is separated by commas
// or written as a sequence in the file.
const (
	String   Type = "string"
	Int      Type = "int"
	Float    Type = "float"
	Duration Type = "duration"
	Bool     Type = "bool"
	Size     Type = "size"
	List     Type = "list"
)

// Row is one setting.
type Row struct {
	Name string
	Type Type
	// Unit is what a number counts; empty for other types, whose texts carry
	// their unit.
	Unit string
	// Default is the value's text where none is given; empty for none.
	Default string
	// Rule states in words what Check requires of the value.
	Rule string
	// Check gets the typed value: string, int, float64, time.Duration, bool
	// or []string; a size is an int. It may be nil.
	Check func(value any) error
	Help  string
	// Runtime settings may be set in the sheet and then change while the
	// fleet runs. They reach the parts that the node applies WithRuntime for,
	// which is the front; the gateway, for requests by route, reads its
	// settings once at the start.
	Runtime bool
	// Secret values are never printed.
	Secret bool
	// FormerName is a name that the setting had before. It still works in a
	// settings file or as a flag, and the process reports it by an event.
	FormerName string
}

// Table is the table of settings, in the order of the docs.
var Table = slices.Concat(identityRows, addressRows, coreRows, leaseRows, planRows,
	quotaRows, routingRows, limitRows, processRows)

// rowsByName has the table's rows by name.
var rowsByName = func() map[string]*Row {
	byName := make(map[string]*Row, len(Table))
	for i := range Table {
		byName[Table[i].Name] = &Table[i]
	}
	return byName
}()

// currentNames has the current name of each setting by its former name.
var currentNames = func() map[string]string {
	names := make(map[string]string)
	for _, row := range Table {
		if row.FormerName != "" {
			names[row.FormerName] = row.Name
		}
	}
	return names
}()

// Lookup returns the row of a setting.
func Lookup(name string) (Row, bool) {
	row, ok := rowsByName[name]
	if !ok {
		return Row{}, false
	}
	return *row, true
}
