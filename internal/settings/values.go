package settings

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Sources of a setting's value.
const (
	SourceDefault = "default"
	SourceFile    = "file"
	SourceFlag    = "flag"
	SourceSheet   = "sheet"
)

// redacted is printed in place of a secret.
const redacted = "****"

// Values are the settings of one process. They are immutable.
type Values struct {
	typed       map[string]any
	source      map[string]string
	formerNames map[string]string
}

// FormerNamesUsed returns the former names that the settings file uses, each
// with the current one.
func (v *Values) FormerNamesUsed() map[string]string { return v.formerNames }

// get returns a setting of a type. It panics on a name that the table doesn't
// have with that type, which is a programmer's error.
func get[T any](v *Values, name string) T {
	value, ok := v.typed[name].(T)
	if !ok {
		panic(errors.Errorf("settings: %s is no setting of type %T", name, value))
	}
	return value
}

// String returns a setting of type string. Like the other getters it panics
// on a name that the table doesn't have with that type.
func (v *Values) String(name string) string { return get[string](v, name) }

// Int returns a setting of type int, or of type size in bytes.
func (v *Values) Int(name string) int { return get[int](v, name) }

// Float returns a setting of type float.
func (v *Values) Float(name string) float64 { return get[float64](v, name) }

// Duration returns a setting of type duration.
func (v *Values) Duration(name string) time.Duration { return get[time.Duration](v, name) }

// Bool returns a setting of type bool.
func (v *Values) Bool(name string) bool { return get[bool](v, name) }

// Strings returns a setting of type list; it must not be changed.
func (v *Values) Strings(name string) []string { return get[[]string](v, name) }

// Source returns where a setting's value comes from: SourceDefault, SourceFile,
// SourceFlag or SourceSheet.
func (v *Values) Source(name string) string { return v.source[name] }

// Text returns a setting's value as text; asterisks for a secret.
func (v *Values) Text(name string) string {
	row, known := Lookup(name)
	if !known {
		return ""
	}
	if row.Secret && !v.isEmpty(name) {
		return redacted
	}
	switch value := v.typed[name].(type) {
	case []string:
		return strings.Join(value, ",")
	case int:
		if row.Type == Size {
			return FormatSize(value)
		}
	}
	return fmt.Sprint(v.typed[name])
}

// ValidateRuntime reports why a sheet may not set a setting to a value; nil if
// it may. The error is in words for an operator, without the name.
func ValidateRuntime(name, value string) error {
	row, known := rowsByName[name]
	switch {
	case !known:
		return errors.Errorf("unknown setting%s", suggestion(name))
	case !row.Runtime:
		return errors.New("can't change while the fleet runs; set it in the settings file")
	}
	_, err := row.Parse(value)
	return err
}

// WithRuntime returns the values overridden by a sheet's run-time settings.
// Those that ValidateRuntime rejects are ignored.
func (v *Values) WithRuntime(sheet map[string]string) *Values {
	if len(sheet) == 0 {
		return v
	}
	overridden := &Values{
		typed:       maps.Clone(v.typed),
		source:      maps.Clone(v.source),
		formerNames: v.formerNames,
	}
	for name, text := range sheet {
		if ValidateRuntime(name, text) != nil {
			continue
		}
		overridden.typed[name], _ = rowsByName[name].Parse(text)
		overridden.source[name] = SourceSheet
	}
	return overridden
}

// RuntimeNames returns the names of the settings that a sheet may set, sorted.
func RuntimeNames() []string {
	var names []string
	for _, row := range Table {
		if row.Runtime {
			names = append(names, row.Name)
		}
	}
	slices.Sort(names)
	return names
}
