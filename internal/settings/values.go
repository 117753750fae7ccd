package settings

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Sources of a setting's value; see Values.Source.
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

// FormerNamesUsed returns the former names that the settings file uses, with the
// current name of each.
func (v *Values) FormerNamesUsed() map[string]string { return v.formerNames }

// get returns the value of a setting. It panics if no setting has the name and the
// type, which is a bug in the caller.
func get[T any](v *Values, name string) T {
	value, ok := v.typed[name].(T)
	if !ok {
		panic(errors.Errorf("settings: %s is not a setting of type %T", name, value))
	}
	return value
}

// String returns the value of a setting of type String. Like the other getters, it
// panics if no setting has the name and the type.
func (v *Values) String(name string) string { return get[string](v, name) }

// Int returns the value of a setting of type Int, or of type Size in bytes.
func (v *Values) Int(name string) int { return get[int](v, name) }

// Float returns the value of a setting of type Float.
func (v *Values) Float(name string) float64 { return get[float64](v, name) }

// Duration returns the value of a setting of type Duration.
func (v *Values) Duration(name string) time.Duration { return get[time.Duration](v, name) }

// Bool returns the value of a setting of type Bool.
func (v *Values) Bool(name string) bool { return get[bool](v, name) }

// Strings returns the value of a setting of type List, which must not be modified.
func (v *Values) Strings(name string) []string { return get[[]string](v, name) }

// Source returns the source of a setting's value: SourceDefault, SourceFile,
// SourceFlag or SourceSheet.
func (v *Values) Source(name string) string { return v.source[name] }

// Text returns a setting's value as text, or asterisks instead of a secret. It returns
// "" for an unknown name.
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

// ValidateRuntime returns nil if a sheet may set the setting to the value. The error
// is written for operators and does not contain the setting's name.
func ValidateRuntime(name, value string) error {
	row, known := rowsByName[name]
	switch {
	case !known:
		return errors.Errorf("unknown setting%s", suggestion(name))
	case !row.Runtime:
		return errors.New("can't be changed at run time; set it in the settings file")
	}
	_, err := row.Parse(value)
	return err
}

// WithRuntime returns the values overridden by a sheet's run-time settings. It ignores
// those that ValidateRuntime rejects.
func (v *Values) WithRuntime(overrides map[string]string) *Values {
	if len(overrides) == 0 {
		return v
	}
	overridden := &Values{
		typed:       maps.Clone(v.typed),
		source:      maps.Clone(v.source),
		formerNames: v.formerNames,
	}
	for name, text := range overrides {
		if ValidateRuntime(name, text) != nil {
			continue
		}
		overridden.typed[name], _ = rowsByName[name].Parse(text)
		overridden.source[name] = SourceSheet
	}
	return overridden
}

// RuntimeNames returns the sorted names of the settings that a sheet may set.
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
