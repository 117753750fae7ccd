package archtest

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const glossaryPage = "../../docs/GLOSSARY.md"

// glossaryIdentifier matches an identifier such as `lease.Table`.
var glossaryIdentifier = regexp.MustCompile("`([a-z]+)\\.([A-Z][A-Za-z]*)`")

// packageFolders returns the folders of the module's packages, keyed by base name.
func packageFolders(t *testing.T) map[string][]string {
	t.Helper()
	folders := map[string][]string{}
	for _, root := range []string{"../../internal", "../../cmd", "../../platform"} {
		for _, file := range sourceFiles(t, root) {
			folder := filepath.Dir(file)
			name := filepath.Base(folder)
			if len(folders[name]) == 0 || folders[name][len(folders[name])-1] != folder {
				folders[name] = append(folders[name], folder)
			}
		}
	}
	return folders
}

// declares reports whether a Go file in one of the folders declares name as a type,
// function, constant or variable.
func declares(t *testing.T, folders []string, name string) bool {
	t.Helper()
	valueDeclaration := regexp.MustCompile(`(?m)^\s*(var |const )?` + name + `\b[^(]*=`)
	for _, folder := range folders {
		files, err := filepath.Glob(filepath.Join(folder, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			if declarations(t, file)[name] {
				return true
			}
			source, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if valueDeclaration.Match(source) {
				return true
			}
		}
	}
	return false
}

func TestGlossaryNamesDeclaredIdentifiers(t *testing.T) {
	page, err := os.ReadFile(glossaryPage)
	if err != nil {
		t.Fatal(err)
	}
	folders := packageFolders(t)
	identifiers := glossaryIdentifier.FindAllStringSubmatch(string(page), -1)
	if len(identifiers) == 0 {
		t.Fatal("docs/GLOSSARY.md names no identifiers")
	}
	for _, identifier := range identifiers {
		packageName, name := identifier[1], identifier[2]
		if !declares(t, folders[packageName], name) {
			t.Errorf("docs/GLOSSARY.md names %s, which is not declared", strings.Trim(identifier[0], "`"))
		}
	}
}
