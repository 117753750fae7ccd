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

func TestAFileOfEverySettingKeepsItsValues(t *testing.T) {
	values, former := load(t, filepath.Join("testdata", "settings", "whole.yaml"))
	sameAsFixture(t, values, "settings", "whole.txt")
	if former != "" {
		t.Errorf("former names: %s", former)
	}
	for _, name := range settingNames() {
		if !strings.Contains(values, name+" = ") || strings.Contains(values, "(default)") {
			t.Errorf("%s or another setting is not set by the file", name)
		}
	}
}

func TestValuesBeyondTheBoundsAreRefused(t *testing.T) {
	for _, row := range lines(t, "settings", "refused.txt") {
		name, text, _ := strings.Cut(row, " ")
		if refusal(name, text) == nil {
			t.Errorf("%s takes %s", name, text)
		}
		if slices.Contains(runtimeSettings(), name) && runtimeRefusal(name, text) == nil {
			t.Errorf("a sheet may set %s to %s", name, text)
		}
	}
}

func TestFormerNamesGiveTheSameValues(t *testing.T) {
	newer, none := load(t, filepath.Join("testdata", "settings", "newer.yaml"))
	if none != "" {
		t.Errorf("former names: %s", none)
	}
	for _, file := range []string{"older.yaml", "dotted.yaml"} {
		older, former := load(t, filepath.Join("testdata", "settings", file))
		if older != newer {
			t.Errorf("%s gives\n%s\nnot\n%s", file, older, newer)
		}
		sameAsFixture(t, former, "settings", "former.txt")
	}
	for _, name := range formerNames() {
		if !strings.Contains(fixture(t, "settings", "former.txt"), name+" is now ") {
			t.Errorf("no file has the former name %s", name)
		}
	}
}

func TestFormerNamesAreFlagsToo(t *testing.T) {
	file := filepath.Join("testdata", "settings", "newer.yaml")
	newer, _ := load(t, file, "--lease.ttl=1500ms", "--lease.renew=300ms")
	older, _ := load(t, file, "--grant.ttl=1500ms", "--grant.renew=300ms")
	if older != newer || !strings.Contains(older, "lease.ttl = 1.5s (flag)") {
		t.Errorf("the older flags give\n%s\nthe newer\n%s", older, newer)
	}
}
