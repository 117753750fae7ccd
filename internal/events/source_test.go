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

// TestEventsAreDeclaredAndEmitted searches the program's source for events that are
// declared outside the catalogue or never emitted. docs/EVENTS.md, which is generated
// from the catalogue, therefore lists exactly the events that the program can emit.
func TestEventsAreDeclaredAndEmitted(t *testing.T) {
	root := filepath.Join("..", "..")
	var literals []string
	emitted := map[string]bool{}
	literalPattern, referencePattern := regexp.MustCompile(`events\.Event\{(Number|[0-9])`), regexp.MustCompile(`\bevents\.(\w+)`)
	for _, folder := range []string{"internal", "cmd"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			if filepath.Base(path) == "catalogue.go" {
				return nil
			}
			text, err := os.ReadFile(path)
			if literalPattern.Match(text) {
				literals = append(literals, path)
			}
			for _, name := range referencePattern.FindAllSubmatch(text, -1) {
				emitted[string(name[1])] = true
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	emitted["EventsSuppressed"] = true
	catalogueSource, err := os.ReadFile("catalogue.go")
	if err != nil {
		t.Fatal(err)
	}
	Convey("Events are declared only in the catalogue", t, func() {
		So(literals, ShouldBeEmpty)
	})
	Convey("Every event of the catalogue is emitted somewhere", t, func() {
		var neverEmitted []string
		names := regexp.MustCompile(`(?m)^\t(\w+)\s+= declare\(`).FindAllStringSubmatch(string(catalogueSource), -1)
		So(names, ShouldHaveLength, len(Catalogue()))
		for _, name := range names {
			if !emitted[name[1]] {
				neverEmitted = append(neverEmitted, name[1])
			}
		}
		So(neverEmitted, ShouldBeEmpty)
	})
}
