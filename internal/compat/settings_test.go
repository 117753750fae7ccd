package compat

import (
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

func TestSettingsKeepNamesKindsDefaultsAndBounds(t *testing.T) {
	sameAsFixture(t, settingsTable(), "settings", "table.txt")
	sameAsFixture(t, strings.Join(runtimeSettings(), "\n")+"\n", "settings", "runtime.txt")
}

func TestFileWithEverySettingKeepsItsValues(t *testing.T) {
	values, former := loadSettings(t, filepath.Join("testdata", "settings", "whole.yaml"))
	sameAsFixture(t, values, "settings", "whole.txt")
	if former != "" {
		t.Errorf("former names: %s", former)
	}
	for _, name := range settingNames() {
		if !strings.Contains(values, name+" = ") || strings.Contains(values, "(default)") {
			t.Errorf("the file does not set %s or another setting", name)
		}
	}
}

func TestValuesOutOfBoundsAreRejected(t *testing.T) {
	for _, row := range lines(t, "settings", "refused.txt") {
		name, text, _ := strings.Cut(row, " ")
		if refusal(name, text) == nil {
			t.Errorf("setting %s accepts the invalid value %s", name, text)
		}
		if slices.Contains(runtimeSettings(), name) && runtimeRefusal(name, text) == nil {
			t.Errorf("a sheet may set %s to the invalid value %s", name, text)
		}
	}
}

func TestFormerNamesGiveTheSameValues(t *testing.T) {
	currentValues, formerInUse := loadSettings(t, filepath.Join("testdata", "settings", "newer.yaml"))
	if formerInUse != "" {
		t.Errorf("former names: %s", formerInUse)
	}
	for _, file := range []string{"older.yaml", "dotted.yaml"} {
		formerValues, former := loadSettings(t, filepath.Join("testdata", "settings", file))
		if formerValues != currentValues {
			t.Errorf("%s loads as\n%s\nwant\n%s", file, formerValues, currentValues)
		}
		sameAsFixture(t, former, "settings", "former.txt")
	}
	for _, name := range formerNames() {
		if !strings.Contains(fixture(t, "settings", "former.txt"), name+" is now ") {
			t.Errorf("the former name %s is missing from former.txt", name)
		}
	}
}

func TestFormerNamesWorkAsFlags(t *testing.T) {
	file := filepath.Join("testdata", "settings", "newer.yaml")
	currentValues, _ := loadSettings(t, file, "--lease.ttl=1500ms", "--lease.renew=300ms")
	formerValues, _ := loadSettings(t, file, "--grant.ttl=1500ms", "--grant.renew=300ms")
	if formerValues != currentValues || !strings.Contains(formerValues, "lease.ttl = 1.5s (flag)") {
		t.Errorf("flags with former names give\n%s\nflags with current names give\n%s", formerValues, currentValues)
	}
}
