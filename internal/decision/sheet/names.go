package sheet

import (
	"maps"
	"math"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"
)

// keyHashDigits is the number of hexadecimal digits of a SHA-256 hash.
const keyHashDigits = 64

// ZoneName returns the name of a zone qualified by its region, such as lagos/a.
func ZoneName(region, zone string) string { return region + "/" + zone }

// ValidName reports whether a name may appear in a sheet: 1 to MaxNameBytes bytes
// of valid UTF-8, consisting of letters, digits, combining marks, _ and -.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxNameBytes || !utf8.ValidString(name) {
		return false
	}
	for _, r := range name {
		if r != '_' && r != '-' && !unicode.IsLetter(r) && !unicode.IsDigit(r) && !unicode.IsMark(r) {
			return false
		}
	}
	return true
}

// ValidZoneName reports whether a name has the form of a region, or of a zone
// qualified by its region.
func ValidZoneName(name string) bool {
	region, zone, hasZone := strings.Cut(name, "/")
	return ValidName(region) && (!hasZone || ValidName(zone))
}

// ValidKeyHash reports whether a string is a SHA-256 hash in lower-case
// hexadecimal.
func ValidKeyHash(hash string) bool {
	if len(hash) != keyHashDigits {
		return false
	}
	for i := range len(hash) {
		digit := hash[i]
		if (digit < '0' || digit > '9') && (digit < 'a' || digit > 'f') {
			return false
		}
	}
	return true
}

func validNumber(number float64) bool {
	return !math.IsNaN(number) && number >= 0 && number <= MaxNumber
}

func sortedNames[V any](rows map[string]V) []string { return slices.Sorted(maps.Keys(rows)) }
