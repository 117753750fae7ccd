package compat

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// fixture returns the content of a file in testdata.
func fixture(t testing.TB, path ...string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", filepath.Join(path...)))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// lines returns the lines of a file in testdata.
func lines(t testing.TB, path ...string) []string {
	t.Helper()
	return strings.Split(strings.TrimSuffix(fixture(t, path...), "\n"), "\n")
}

// sameAsFixture fails the test unless got equals a file in testdata byte for byte.
// It reports the first line that differs.
func sameAsFixture(t testing.TB, got string, path ...string) {
	t.Helper()
	want := fixture(t, path...)
	if got == want {
		return
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(want, "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		if lineAt(gotLines, i) != lineAt(wantLines, i) {
			t.Fatalf("%s differs first at line %d:\n got: %s\nwant: %s", filepath.Join(path...), i+1, lineAt(gotLines, i), lineAt(wantLines, i))
		}
	}
}

// lineAt returns line i, or a placeholder if there are fewer lines.
func lineAt(all []string, i int) string {
	if i >= len(all) {
		return "(no such line)"
	}
	return all[i]
}
