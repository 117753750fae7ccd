package archtest

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const modulePrefix = "stepwick/"

// sourceFiles returns the Go files in a folder and its subfolders, except test files.
func sourceFiles(t *testing.T, folder string) []string {
	t.Helper()
	var files []string
	err := filepath.WalkDir(folder, func(path string, _ fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			files = append(files, path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(files) == 0 {
		t.Fatalf("no Go source files in %s or its subfolders", folder)
	}
	return files
}

// imports returns the import paths of a Go file.
func imports(t *testing.T, file string) []string {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	var paths []string
	for _, spec := range parsed.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		paths = append(paths, path)
	}
	return paths
}

// hasAnyPrefix reports whether path starts with one of the prefixes. A prefix that
// ends in a slash also matches the path without the slash.
func hasAnyPrefix(path string, prefixes []string) bool {
	return slices.ContainsFunc(prefixes, func(prefix string) bool {
		return path == strings.TrimSuffix(prefix, "/") || strings.HasPrefix(path, prefix)
	})
}

func TestPackagesImportOnlyWhatTheirLayerAllows(t *testing.T) {
	rules := []struct {
		layer  string
		folder string
		// allowed lists the prefixes of this module's packages that the layer may import.
		allowed []string
	}{
		{
			layer:  "decision packages import only wire messages, result codes and each other",
			folder: "../decision",
			allowed: []string{
				"stepwick/internal/apierror",
				"stepwick/internal/decision/",
				"stepwick/internal/wire",
			},
		},
		{
			layer:  "adapters import ports but no package that owns state",
			folder: "../adapter",
			allowed: []string{
				"stepwick/internal/adapter/listen",
				"stepwick/internal/apierror",
				"stepwick/internal/clock",
				"stepwick/internal/decision/",
				"stepwick/internal/events",
				"stepwick/internal/port",
				"stepwick/internal/stage",
				"stepwick/internal/wire",
				"stepwick/internal/wire/",
			},
		},
		{
			layer:   "program packages import neither the platform nor the rig",
			folder:  "..",
			allowed: []string{"stepwick/internal/"},
		},
		{
			layer:   "simulators import only program packages and each other",
			folder:  "../../sim",
			allowed: []string{"stepwick/internal/", "stepwick/sim/"},
		},
	}
	for _, rule := range rules {
		t.Run(rule.layer, func(t *testing.T) {
			for _, file := range sourceFiles(t, rule.folder) {
				for _, path := range imports(t, file) {
					if strings.HasPrefix(path, modulePrefix) && !hasAnyPrefix(path, rule.allowed) {
						t.Errorf("%s imports %s, which its layer does not allow", file, path)
					}
				}
			}
		})
	}
}

func TestDecisionPackagesAvoidIOConcurrencyAndRandomness(t *testing.T) {
	forbidden := []string{"context", "math/rand", "net", "os", "runtime", "sync", "syscall"}
	for _, file := range sourceFiles(t, "../decision") {
		for _, path := range imports(t, file) {
			root, _, _ := strings.Cut(path, "/")
			if slices.Contains(forbidden, path) || slices.Contains(forbidden, root) {
				t.Errorf("%s imports %s, which decision packages must not use", file, path)
			}
		}
	}
}
