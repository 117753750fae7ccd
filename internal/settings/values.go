package settings

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
)

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

// Source tells where a setting comes from: default, file, flag or sheet.
func (v *Values) Source(name string) string { return v.source[name] }

// Text returns a setting's value as text; a secret gives asterisks.
func (v *Values) Text(name string) string {
	row, ok := Lookup(name)
	if !ok {
		return ""
	}
	switch value := v.typed[name].(type) {
	case []string:
		if row.Secret && len(value) > 0 {
			return "****"
		}
		return strings.Join(value, ",")
	case string:
		if row.Secret && value != "" {
			return "****"
		}
		return value
	case int:
		if row.Type == Size {
			return FormatSize(value)
		}
	}
	return fmt.Sprint(v.typed[name])
}

// CheckRuntime tells whether a sheet may set a setting to a value. The error
// is the reason why not, without the name.
func CheckRuntime(name, value string) error {
	row, ok := rows[name]
	switch {
	case !ok:
		return errors.Errorf("unknown setting%s", nearest(name))
	case !row.Runtime:
		return errors.New("can't change while the fleet runs; set it in the settings file")
	}
	_, err := row.Parse(value)
	return err
}

// With returns the values with a sheet's run-time settings over them. Those
// that CheckRuntime wouldn't pass are left out.
func (v *Values) With(sheet map[string]string) *Values {
	if len(sheet) == 0 {
		return v
	}
	next := &Values{typed: make(map[string]any, len(v.typed)), source: make(map[string]string, len(v.source)), renamed: v.renamed}
	for name, value := range v.typed {
		next.typed[name], next.source[name] = value, v.source[name]
	}
	for name, text := range sheet {
		if CheckRuntime(name, text) == nil {
			next.typed[name], _ = rows[name].Parse(text)
			next.source[name] = "sheet"
		}
	}
	return next
}

// RuntimeNames returns the names of the settings that a sheet may set, sorted.
func RuntimeNames() []string {
	var names []string
	for _, row := range Table {
		if row.Runtime {
			names = append(names, row.Name)
		}
	}
	sort.Strings(names)
	return names
}
