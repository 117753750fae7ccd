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

// MaxChanges is the maximum number of changes in a patch.
const MaxChanges = 1 << 16

// Change sets or deletes one cell or row. The paths are
//
//	services.NAME, services.NAME.kind, services.NAME.plain_tokens
//	weights.SERVICE, weights.SERVICE.REGION
//	tenants.NAME, tenants.NAME.rate, .burst, .home, .keys
//	tenants.NAME.keys+ (adds a key hash), tenants.NAME.keys- (removes one)
//	routes.NAME, limits.clients
//	settings.NAME
//
// A path of two parts addresses a whole row, except in the settings. Value is the
// JSON of the cell or row; it is absent if Delete is set.
type Change struct {
	Path   string          `json:"path"`
	Value  json.RawMessage `json:"value,omitempty"`
	Delete bool            `json:"delete,omitempty"`
}

// String returns the change in the syntax of the command line.
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

// isWellFormed reports whether the change has exactly one of Value and Delete.
func (c Change) isWellFormed() bool { return c.Delete == (len(c.Value) == 0) }

// Summarize returns the first few changes as one line for the history of orders.
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

// ParseChange parses path=value, path+=value or path-=value and converts the
// value to the type of the cell. Examples are weights.chat.lagos=30 and
// tenants.press.keys+=HASH.
func ParseChange(text string) (Change, *apierror.Error) {
	path, value, ok := strings.Cut(text, "=")
	if !ok || path == "" {
		return Change{}, apierror.Errorf(apierror.InvalidChange, "%s is not path=value", quoted(text))
	}
	return ChangeFromText(strings.TrimSpace(path), strings.TrimSpace(value))
}

// ChangeFromText returns the change that sets a cell to a value given as text. Key
// hashes are separated by spaces or commas. The value of a whole row is JSON.
func ChangeFromText(path, value string) (Change, *apierror.Error) {
	cell, apiErr := parsePath(path)
	if apiErr != nil {
		return Change{}, apiErr
	}
	var typedValue any = value
	switch {
	case cell.isRow():
		if !json.Valid([]byte(value)) {
			return Change{}, apierror.Errorf(apierror.InvalidChange, "%s: the value of a whole row must be JSON", path)
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

// CheckChanges checks those properties of a patch that do not depend on a sheet:
// the number of changes, their paths, and, unless validate is nil, the values of
// settings.
func CheckChanges(changes []Change, validate SettingValidator) *apierror.Error {
	if len(changes) > MaxChanges {
		return apierror.Errorf(apierror.InvalidChange, "%d changes exceed the limit of %d", len(changes), MaxChanges)
	}
	var violations violationList
	for _, change := range changes {
		cell, apiErr := parsePath(change.Path)
		if apiErr != nil {
			violations.addf("%s", apiErr.Detail)
			continue
		}
		if !change.isWellFormed() {
			violations.addf("%s: must have either a value or delete", excerpt(change.Path))
			continue
		}
		if cell.table != tableSettings || change.Delete || validate == nil {
			continue
		}
		if problem := checkSettingValue(cell.row, change.Value, validate); problem != "" {
			violations.addf("%s: %s", excerpt(change.Path), problem)
		}
	}
	return violations.apiError(apierror.InvalidChange)
}

// checkSettingValue returns a description of what is wrong with the value of a
// setting, or an empty string.
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

// splitHashes splits the cell of a tenant's key hashes.
func splitHashes(value string) []string {
	return strings.FieldsFunc(value, func(r rune) bool { return r == ',' || r == ' ' })
}
