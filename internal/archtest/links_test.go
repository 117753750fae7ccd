package archtest

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const architecturePage = "../../docs/ARCHITECTURE.md"

// codeLink matches a Markdown link from an identifier to the Go file that declares it, such as
// [Holder.Authority](../internal/decision/lease/authority.go).
var codeLink = regexp.MustCompile("\\[`?([A-Za-z_.]+)`?\\]\\(([^)]+\\.go)\\)")

// declarations returns the functions, methods and types that a file declares. A
// method is named Type.Method.
func declarations(t *testing.T, path string) map[string]bool {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	names := map[string]bool{}
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			names[qualifiedName(d)] = true
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				if named, ok := spec.(*ast.TypeSpec); ok {
					names[named.Name.Name] = true
				}
			}
		}
	}
	return names
}

// qualifiedName returns the name of a function, or Type.Method for a method.
func qualifiedName(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return function.Name.Name
	}
	receiver := function.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	name, _ := receiver.(*ast.Ident)
	return name.Name + "." + function.Name.Name
}

func TestArchitecturePageLinksNameDeclarations(t *testing.T) {
	page, err := os.ReadFile(architecturePage)
	if err != nil {
		t.Fatal(err)
	}
	links := codeLink.FindAllStringSubmatch(string(page), -1)
	if len(links) == 0 {
		t.Fatal("docs/ARCHITECTURE.md has no links to Go files")
	}
	for _, link := range links {
		name := strings.TrimSuffix(link[1], "()")
		path := filepath.Join(filepath.Dir(architecturePage), link[2])
		if _, err := os.Stat(path); err != nil {
			t.Errorf("%s: %v", link[0], err)
			continue
		}
		if !declarations(t, path)[name] {
			t.Errorf("docs/ARCHITECTURE.md links to %s, which does not declare %s", link[2], name)
		}
	}
}
