package sheet

import (
	"fmt"
	"slices"
	"strings"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/strictjson"
)

// SettingValidator checks the name and value of a run-time setting.
type SettingValidator func(name, value string) error

// CheckSettings checks the values of the sheet's settings; a nil validator
// accepts all.
func (s *Sheet) CheckSettings(validate SettingValidator) *apierror.Error {
	if validate == nil {
		return nil
	}
	var broken rules
	for _, name := range sortedNames(s.Settings) {
		if err := validate(name, s.Settings[name]); err != nil {
			broken.add("settings.%s: %v", name, err)
		}
	}
	return broken.fault(apierror.InvalidSheet)
}

// CheckChanges checks all of a patch that needs no sheet: the number of
// changes, their paths, and the values of settings unless validate is nil.
func CheckChanges(changes []Change, validate SettingValidator) *apierror.Error {
	if len(changes) > MaxChanges {
		return apierror.Errorf(apierror.InvalidChange, "%d changes; the bound is %d", len(changes), MaxChanges)
	}
	var broken rules
	for _, change := range changes {
		c, apiErr := splitPath(change.Path)
		if apiErr != nil {
			broken.add("%s", apiErr.Detail)
			continue
		}
		if change.Delete != (len(change.Value) == 0) {
			broken.add("%s: give either a value or delete", strictjson.Excerpt(change.Path))
			continue
		}
		if c.table != "settings" || change.Delete || validate == nil {
			continue
		}
		var value string
		why := typed(change.Value, strictjson.String, &value)
		if why == "" {
			if err := validate(c.row, value); err != nil {
				why = err.Error()
			}
		}
		if why != "" {
			broken.add("%s: %s", strictjson.Excerpt(change.Path), why)
		}
	}
	return broken.fault(apierror.InvalidChange)
}

// Summarize returns the first few changes in one line, for the history.
func Summarize(changes []Change) string {
	const shown = 4
	var parts []string
	for _, change := range changes[:min(shown, len(changes))] {
		parts = append(parts, strictjson.Excerpt(change.String()))
	}
	if len(changes) > shown {
		parts = append(parts, fmt.Sprintf("and %d more", len(changes)-shown))
	}
	return strings.Join(slices.Clip(parts), "; ")
}
