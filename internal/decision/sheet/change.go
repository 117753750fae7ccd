package sheet

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/strictjson"
)

// MaxChanges bounds the changes of one patch.
const MaxChanges = 1 << 16

// Change sets or deletes one cell. Paths are
//
//	services.NAME, services.NAME.kind, services.NAME.plain_tokens
//	weights.SERVICE, weights.SERVICE.REGION
//	tenants.NAME, tenants.NAME.rate, .burst, .home, .keys
//	tenants.NAME.keys+ (adds one hash), tenants.NAME.keys- (removes one)
//	routes.NAME, limits.clients
//	settings.NAME
//
// A path of two parts sets a whole row. Value is the cell's JSON; it is absent
// where Delete is set.
type Change struct {
	Path   string          `json:"path"`
	Value  json.RawMessage `json:"value,omitempty"`
	Delete bool            `json:"delete,omitempty"`
}

// String returns the change as it is written on the command line.
func (c Change) String() string {
	if c.Delete {
		return "delete " + c.Path
	}
	value := string(c.Value)
	var text string
	if json.Unmarshal(c.Value, &text) == nil {
		value = text
	}
	return c.Path + "=" + value
}

// isComplete reports whether the change has either a value or Delete.
func (c Change) isComplete() bool { return c.Delete == (len(c.Value) == 0) }

// Summarize returns the first few changes in one line, for the history.
func Summarize(changes []Change) string {
	const shown = 4
	var parts []string
	for _, change := range changes[:min(shown, len(changes))] {
		parts = append(parts, excerpt(change.String()))
	}
	if len(changes) > shown {
		parts = append(parts, fmt.Sprintf("and %d more", len(changes)-shown))
	}
	return strings.Join(slices.Clip(parts), "; ")
}

// ParseChange reads path=value, path+=value or path-=value, with the value in
// the type of its cell: weights.chat.lagos=30, tenants.press.keys+=HASH.
func ParseChange(text string) (Change, *apierror.Error) {
	path, value, ok := strings.Cut(text, "=")
	if !ok || path == "" {
		return Change{}, apierror.Errorf(apierror.InvalidChange, "%s is not path=value", quoted(text))
	}
	return TextChange(strings.TrimSpace(path), strings.TrimSpace(value))
}

// TextChange returns the change that sets a cell to a value written as text, as
// spreadsheets have it: hashes of keys are separated by spaces or commas.
func TextChange(path, value string) (Change, *apierror.Error) {
	cell, apiErr := parsePath(path)
	if apiErr != nil {
		return Change{}, apiErr
	}
	var typedValue any = value
	switch {
	case cell.isRow():
		if !json.Valid([]byte(value)) {
			return Change{}, apierror.Errorf(apierror.InvalidChange, "%s: a whole row is written as JSON", path)
		}
		return Change{Path: path, Value: json.RawMessage(value)}, nil
	case cell.isNumeric():
		number, err := strconv.ParseFloat(value, 64)
		if err != nil || !validNumber(number) {
			return Change{}, apierror.Errorf(apierror.InvalidChange, "%s: %s is no number from 0 to %g", path, quoted(value), float64(MaxNumber))
		}
		typedValue = number
	case cell.column == columnKeys:
		typedValue = splitHashes(value)
	}
	data, err := json.Marshal(typedValue)
	if err != nil {
		return Change{}, apierror.Errorf(apierror.InvalidChange, "%s: %v", path, err)
	}
	return Change{Path: path, Value: data}, nil
}

// CheckChanges checks all of a patch that needs no sheet: the number of
// changes, their paths, and the values of settings unless validate is nil.
func CheckChanges(changes []Change, validate SettingValidator) *apierror.Error {
	if len(changes) > MaxChanges {
		return apierror.Errorf(apierror.InvalidChange, "%d changes; the bound is %d", len(changes), MaxChanges)
	}
	var broken violations
	for _, change := range changes {
		cell, apiErr := parsePath(change.Path)
		if apiErr != nil {
			broken.add("%s", apiErr.Detail)
			continue
		}
		if !change.isComplete() {
			broken.add("%s: give either a value or delete", excerpt(change.Path))
			continue
		}
		if cell.table != tableSettings || change.Delete || validate == nil {
			continue
		}
		if problem := checkSettingValue(cell.row, change.Value, validate); problem != "" {
			broken.add("%s: %s", excerpt(change.Path), problem)
		}
	}
	return broken.apiError(apierror.InvalidChange)
}

// checkSettingValue returns what is wrong with a setting's value, if anything.
func checkSettingValue(name string, value json.RawMessage, validate SettingValidator) (problem string) {
	var text string
	if problem := decodeValue(value, strictjson.String, &text); problem != "" {
		return problem
	}
	if err := validate(name, text); err != nil {
		return err.Error()
	}
	return ""
}

// splitHashes splits the hashes of a tenant's keys as one cell has them.
func splitHashes(value string) []string {
	return strings.FieldsFunc(value, func(r rune) bool { return r == ',' || r == ' ' })
}
