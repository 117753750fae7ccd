// Package settings defines the settings of a process in a table, and reads their
// values. The settings file, the flags, the run-time settings of the sheet and
// docs/SETTINGS.md are all based on the table.
//
// Values are read once, at start-up, and are immutable. All problems of the file and
// the flags are reported together, each with its position. Only settings marked as
// Runtime can be changed later, through the sheet (see Values.WithRuntime).
package settings

import "slices"

// Type determines how a setting's text is parsed.
type Type string

// Types of settings. A size is a number of bytes with an optional unit (KiB,
// MiB, GiB). A duration has a unit (500ms, 2s). A list is separated by commas or,
// in the file, also written as a sequence.
const (
	String   Type = "string"
	Int      Type = "int"
	Float    Type = "float"
	Duration Type = "duration"
	Bool     Type = "bool"
	Size     Type = "size"
	List     Type = "list"
)

// Row defines a setting.
type Row struct {
	Name string
	Type Type
	// Unit is the unit of an Int or a Float. It is empty for other types, whose
	// texts contain their unit.
	Unit string
	// Default is the text of the default value; empty if there is none.
	Default string
	// Rule describes what Check requires of the value.
	Rule string
	// Check returns an error if a value is not allowed. The value is a string, int
	// (also for a Size), float64, time.Duration, bool or []string. It may be nil.
	Check func(value any) error
	Help  string
	// Runtime is whether the sheet may set the setting and so change it at run
	// time. The front applies such changes (see Values.WithRuntime). The gateway,
	// which handles requests by route, reads its settings once at the start.
	Runtime bool
	// Secret is whether the value must never be printed.
	Secret bool
	// FormerName is the setting's previous name, if any. It is still accepted in a
	// settings file, where its use is logged as an event, and as a flag.
	FormerName string
}

// Table contains all settings, in the order of docs/SETTINGS.md.
var Table = slices.Concat(identityRows, addressRows, coreRows, leaseRows, planRows,
	quotaRows, routingRows, limitRows, processRows)

// rowsByName maps each setting's name to its row of Table.
var rowsByName = func() map[string]*Row {
	byName := make(map[string]*Row, len(Table))
	for i := range Table {
		byName[Table[i].Name] = &Table[i]
	}
	return byName
}()

// currentNames maps each former name to the setting's current name.
var currentNames = func() map[string]string {
	names := make(map[string]string)
	for _, row := range Table {
		if row.FormerName != "" {
			names[row.FormerName] = row.Name
		}
	}
	return names
}()

// Lookup returns the row of the setting with the given current name.
func Lookup(name string) (Row, bool) {
	row, ok := rowsByName[name]
	if !ok {
		return Row{}, false
	}
	return *row, true
}
