package compat

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/spf13/pflag"

	"stepwick/internal/settings"
)

// settingsTable returns one line for each setting.
func settingsTable() string {
	var out strings.Builder
	for _, row := range settings.Table {
		fmt.Fprintf(&out, "%s: %s, default %q, bounds %q, run-time %t, secret %t, former %q\n", row.Name, row.Type, row.Default,
			row.Rule, row.Runtime, row.Secret, row.FormerName)
	}
	return out.String()
}

// settingNames returns the names of all settings.
func settingNames() (names []string) {
	for _, row := range settings.Table {
		names = append(names, row.Name)
	}
	return names
}

// runtimeSettings returns the names of the settings that a sheet may change at run time.
func runtimeSettings() []string { return settings.RuntimeNames() }

// runtimeRefusal returns the error for a sheet that sets the value, or nil.
func runtimeRefusal(name, value string) error { return settings.ValidateRuntime(name, value) }

// formerNames returns the deprecated names of renamed settings.
func formerNames() (names []string) {
	for _, row := range settings.Table {
		if row.FormerName != "" {
			names = append(names, row.FormerName)
		}
	}
	return names
}

// refusal returns the error for parsing text as a setting's value, or nil.
func refusal(name, text string) error {
	row, exists := settings.Lookup(name)
	if !exists {
		return fmt.Errorf("unknown setting %s", name)
	}
	_, err := row.Parse(text)
	return err
}

// loadSettings reads a settings file and flags. It returns one line for each setting
// with its value and source, and one for each former name in the file.
func loadSettings(t testing.TB, file string, args ...string) (values, former string) {
	t.Helper()
	flags := pflag.NewFlagSet("core", pflag.ContinueOnError)
	settings.Register(flags)
	if err := flags.Parse(args); err != nil {
		t.Fatal(err)
	}
	loaded, err := settings.LoadRole(file, flags, "core")
	if err != nil {
		t.Fatal(err)
	}
	var out, renamed strings.Builder
	for _, row := range settings.Table {
		fmt.Fprintf(&out, "%s = %s (%s)\n", row.Name, loaded.Text(row.Name), loaded.Source(row.Name))
	}
	for _, name := range slices.Sorted(maps.Keys(loaded.FormerNamesUsed())) {
		fmt.Fprintf(&renamed, "%s is now %s\n", name, loaded.FormerNamesUsed()[name])
	}
	return out.String(), renamed.String()
}
