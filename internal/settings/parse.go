package settings

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Parse parses the text of a value according to the row's type and applies the row's
// check. The error is written for operators and does not contain the setting's name.
// The check does not apply to an empty text if the default is empty as well.
func (r Row) Parse(text string) (any, error) {
	text = strings.TrimSpace(text)
	value, err := r.Type.parse(text)
	if err != nil {
		return nil, err
	}
	if text == "" && r.Default == "" {
		return value, nil
	}
	if r.Check != nil {
		if err := r.Check(value); err != nil {
			return nil, err
		}
	}
	return value, nil
}

// parse returns the value of a text. See Row.Check for the Go types.
func (t Type) parse(text string) (any, error) {
	switch t {
	case Int:
		return parseInt(text)
	case Float:
		return parseFloat(text)
	case Duration:
		return parseDuration(text)
	case Bool:
		return parseBool(text)
	case Size:
		return parseSize(text)
	case List:
		return parseList(text), nil
	}
	return text, nil
}

func parseInt(text string) (any, error) {
	number, err := strconv.Atoi(text)
	if err != nil {
		return nil, errors.Errorf("%q is not an integer", text)
	}
	return number, nil
}

func parseFloat(text string) (any, error) {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		return nil, errors.Errorf("%q is not a finite number", text)
	}
	return number, nil
}

func parseDuration(text string) (any, error) {
	duration, err := time.ParseDuration(text)
	if err != nil {
		return nil, errors.Errorf("%q is not a duration such as 500ms or 2s", text)
	}
	return duration, nil
}

func parseBool(text string) (any, error) {
	switch text {
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return nil, errors.Errorf("%q is neither true nor false", text)
}

func parseList(text string) []string {
	list := []string{}
	for item := range strings.SplitSeq(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			list = append(list, item)
		}
	}
	return list
}

// sizeUnits contains the units of sizes in descending order. A unit is 1<<bits bytes.
var sizeUnits = []struct {
	suffix string
	bits   int
}{{"GiB", 30}, {"MiB", 20}, {"KiB", 10}}

func parseSize(text string) (any, error) {
	digits := text
	bits := 0
	for _, unit := range sizeUnits {
		if number, ok := strings.CutSuffix(text, unit.suffix); ok {
			digits = strings.TrimSpace(number)
			bits = unit.bits
		}
	}
	number, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || number > math.MaxInt64>>bits || number < math.MinInt64>>bits {
		return nil, errors.Errorf("%q is not a number of bytes such as 65536, 64KiB or 4MiB", text)
	}
	return int(number << bits), nil
}

// FormatSize formats a number of bytes in the largest unit that divides it.
func FormatSize(bytes int) string {
	for _, unit := range sizeUnits {
		if bytes != 0 && bytes%(1<<unit.bits) == 0 {
			return strconv.Itoa(bytes>>unit.bits) + unit.suffix
		}
	}
	return strconv.Itoa(bytes)
}
