package events

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestEventsAreDeclaredAndEmitted reads the program's own source, so that docs/EVENTS.md
// lists exactly the events that it can emit.
func TestEventsAreDeclaredAndEmitted(t *testing.T) {
	root := filepath.Join("..", "..")
	var literals []string
	emitted := map[string]bool{}
	literal, named := regexp.MustCompile(`events\.Event\{(Number|[0-9])`), regexp.MustCompile(`\bevents\.(\w+)`)
	for _, folder := range []string{"internal", "cmd"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			if filepath.Base(path) == "catalogue.go" {
				return nil
			}
			text, err := os.ReadFile(path)
			if literal.Match(text) {
				literals = append(literals, path)
			}
			for _, name := range named.FindAllSubmatch(text, -1) {
				emitted[string(name[1])] = true
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	emitted["EventsSuppressed"] = true
	table, err := os.ReadFile("catalogue.go")
	if err != nil {
		t.Fatal(err)
	}
	Convey("Events are declared in the catalogue alone", t, func() {
		So(literals, ShouldBeEmpty)
	})
	Convey("Every event of the catalogue is emitted somewhere", t, func() {
		var idle []string
		names := regexp.MustCompile(`(?m)^\t(\w+)\s+= add\(`).FindAllStringSubmatch(string(table), -1)
		So(names, ShouldHaveLength, len(Catalogue()))
		for _, name := range names {
			if !emitted[name[1]] {
				idle = append(idle, name[1])
			}
		}
		So(idle, ShouldBeEmpty)
	})
}
