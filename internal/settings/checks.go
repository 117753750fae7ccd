package settings

// The checks panic if the value does not have the Go type that Row.Check documents
// for the row's Type.

import (
	"encoding/hex"
	"math"
	"net"
	"net/netip"
	"net/url"
	"sort"
	"strings"
	"time"
	"unicode"

	"github.com/pkg/errors"

	"stepwick/internal/decision/balance"
	"stepwick/internal/decision/sheet"
)

func checkName(value any) error {
	name := value.(string)
	if name == "" || len(name) > 64 {
		return errors.Errorf("must have 1 to 64 characters, got %d", len(name))
	}
	for _, r := range name {
		if r > unicode.MaxASCII || !(unicode.IsLetter(r) || unicode.IsDigit(r) || strings.ContainsRune("-_.", r)) {
			return errors.Errorf("%q is not a letter, digit, '-', '_' or '.'", r)
		}
	}
	return nil
}

func checkSheetName(value any) error {
	if !sheet.ValidName(value.(string)) {
		return errors.Errorf("%q is not a valid name: use letters, digits, '-' and '_', at most 64 bytes", value)
	}
	return nil
}

func checkAddress(value any) error {
	if _, err := netip.ParseAddrPort(value.(string)); err != nil {
		return errors.Errorf("%q is not an address of the form IP:PORT", value)
	}
	return nil
}

func checkAdvertised(value any) error {
	if err := checkAddress(value); err != nil {
		return err
	}
	if netip.MustParseAddrPort(value.(string)).Addr().IsUnspecified() {
		return errors.Errorf("%q is a wildcard address, to which other processes can't connect", value)
	}
	return nil
}

func checkMechanisms(value any) error {
	_, err := balance.ParseDisabled(value.([]string))
	return err
}

// mechanismNames returns the mechanisms that balance.off accepts, as text.
func mechanismNames() string {
	names := make([]string, len(balance.Mechanisms))
	for i, mechanism := range balance.Mechanisms {
		names[i] = string(mechanism)
	}
	return strings.Join(names, ", ")
}

func checkAddresses(value any) error {
	for _, address := range value.([]string) {
		if err := checkAdvertised(address); err != nil {
			return err
		}
	}
	return nil
}

func checkIP(value any) error {
	if net.ParseIP(value.(string)) == nil {
		return errors.Errorf("%q is not an IP address", value)
	}
	return nil
}

func checkURL(value any) error {
	u, err := url.Parse(value.(string))
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return errors.Errorf("%q is not an http URL such as http://10.0.0.9:8500/servers", value)
	}
	return nil
}

func checkOperatorKeys(value any) error {
	seen := map[string]bool{}
	for i, entry := range value.([]string) {
		name, hash, ok := strings.Cut(entry, ":")
		sum, err := hex.DecodeString(hash)
		if !ok || err != nil || len(sum) != 32 {
			return errors.Errorf("entry %d is not of the form NAME:SHA256HEX", i+1)
		}
		if err := checkName(name); err != nil {
			return errors.Wrapf(err, "entry %d", i+1)
		}
		if seen[hash] {
			return errors.Errorf("entry %d has the same key hash as an earlier entry", i+1)
		}
		seen[hash] = true
	}
	return nil
}

func minLength(n int) func(any) error {
	return func(value any) error {
		if text := value.(string); len(text) < n && !strings.HasPrefix(text, "@") {
			return errors.Errorf("must have at least %d characters", n)
		}
		return nil
	}
}

func minInt(low int) func(any) error {
	return func(value any) error {
		if value.(int) < low {
			return errors.Errorf("%d is below the minimum of %d", value, low)
		}
		return nil
	}
}

func intBetween(low, high int) func(any) error {
	return func(value any) error {
		if n := value.(int); n < low || n > high {
			return errors.Errorf("%d is not within %d to %d", n, low, high)
		}
		return nil
	}
}

func sizeBetween(low, high int) func(any) error {
	return func(value any) error {
		if n := value.(int); n < low || n > high {
			return errors.Errorf("%s is not within %s to %s", FormatSize(n), FormatSize(low), FormatSize(high))
		}
		return nil
	}
}

func floatBetween(low, high float64) func(any) error {
	return func(value any) error {
		if f := value.(float64); !(f >= low && f <= high) {
			if low == math.SmallestNonzeroFloat64 {
				return errors.Errorf("%g must be above 0 and at most %g", f, high)
			}
			return errors.Errorf("%g is not within %g to %g", f, low, high)
		}
		return nil
	}
}

func durationBetween(low, high time.Duration) func(any) error {
	return func(value any) error {
		if d := value.(time.Duration); d < low || d > high {
			return errors.Errorf("%s is not within %s to %s", d, low, high)
		}
		return nil
	}
}

func oneOf(words ...string) func(any) error {
	return func(value any) error {
		for _, word := range words {
			if value == word {
				return nil
			}
		}
		return errors.Errorf("%q is not one of %s", value, strings.Join(words, ", "))
	}
}

func oneOfInts(numbers ...int) func(any) error {
	return func(value any) error {
		i := sort.SearchInts(numbers, value.(int))
		if i == len(numbers) || numbers[i] != value {
			return errors.Errorf("%d is not one of %v", value, numbers)
		}
		return nil
	}
}
