package eventlog_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// loggingPackages are the packages that log in a process on the users' platform.
var loggingPackages = []string{
	"internal/app/gateway", "internal/app/leadership", "internal/app/routing", "internal/app/scheduler",
	"internal/app/storeguard", "internal/adapter/cellwire", "internal/cellnode", "platform",
}

// TestVocabulary guards against docs/OPERATIONS.md missing an event that is logged, or listing one that no process logs.
func TestVocabulary(t *testing.T) {
	root := filepath.Join("..", "..")
	page, err := os.ReadFile(filepath.Join(root, "docs", "OPERATIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	listed := map[string]bool{}
	_, events, _ := strings.Cut(string(page), "\n## Events\n")
	for _, row := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\|").FindAllStringSubmatch(events, -1) {
		listed[row[1]] = true
	}
	logged := map[string]bool{"log lines dropped": true, "settings read again": true}
	logged["settings not read again; the former ones stay in force"] = true
	logged["metrics not served"] = true
	for _, dir := range loggingPackages {
		for _, name := range messages(t, filepath.Join(root, dir)) {
			logged[name] = true
		}
	}
	for name := range logged {
		if !listed[name] {
			t.Errorf("%q is logged but not listed in docs/OPERATIONS.md", name)
		}
	}
	for name := range listed {
		if !logged[name] {
			t.Errorf("%q is listed in docs/OPERATIONS.md but not logged", name)
		}
	}
}

// messages returns the literal messages of the log calls in a package, without its tests.
func messages(t *testing.T, dir string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no files in %s: %v", dir, err)
	}
	var found []string
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		tree, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(tree, func(n ast.Node) bool {
			if call, ok := n.(*ast.CallExpr); ok {
				found = append(found, message(call)...)
			}
			return true
		})
	}
	return found
}

// message returns the message if the call is a log call with a literal message, and nil otherwise.
func message(call *ast.CallExpr) []string {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) == 0 || !strings.Contains(" Debug Info Warn Error ", " "+method.Sel.Name+" ") {
		return nil
	}
	literal, ok := call.Args[0].(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return nil
	}
	text, err := strconv.Unquote(literal.Value)
	if err != nil {
		return nil
	}
	return []string{text}
}
