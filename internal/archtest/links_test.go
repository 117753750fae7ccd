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

// architecturePage is the page whose links name declarations.
const architecturePage = "../../docs/ARCHITECTURE.md"

// codeLink matches a link from a declaration's name to a Go file, such as
// [Holder.Authority](../internal/decision/lease/authority.go).
var codeLink = regexp.MustCompile("\\[`?([A-Za-z_.]+)`?\\]\\(([^)]+\\.go)\\)")

// declarations returns the names that a file declares; a method's name has its
// receiver's type before it.
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

func TestLinksOfTheArchitecturePageNameDeclarations(t *testing.T) {
	page, err := os.ReadFile(architecturePage)
	if err != nil {
		t.Fatal(err)
	}
	links := codeLink.FindAllStringSubmatch(string(page), -1)
	if len(links) == 0 {
		t.Fatal("the page has no links to code")
	}
	for _, link := range links {
		name := strings.TrimSuffix(link[1], "()")
		path := filepath.Join(filepath.Dir(architecturePage), link[2])
		if _, err := os.Stat(path); err != nil {
			t.Errorf("%s: %v", link[0], err)
			continue
		}
		if !declarations(t, path)[name] {
			t.Errorf("%s does not declare %s", link[2], name)
		}
	}
}
