package mallowgap_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"go/types"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// lockingPackages run code in the goroutines of requests and calls, whose panics are recovered.
var lockingPackages = []string{"internal/callerconn", "internal/control", "internal/coordination", "internal/gateway", "internal/guard", "internal/httppool", "platform"}

// A lock that a recovered panic leaves held stops all later requests that need it, so every lock must be
// released by the statement after it, which is deferred.
func TestLocksAreReleasedByDefer(t *testing.T) {
	found := 0
	for _, dir := range lockingPackages {
		assert.NilError(t, filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
			if entry != nil && entry.IsDir() && entry.Name() == "fakestore" { // It is used by tests only.
				return filepath.SkipDir
			}
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			files := token.NewFileSet()
			file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
			assert.NilError(t, err)
			ast.Inspect(file, func(n ast.Node) bool {
				for i, statement := range statementsOf(n) {
					if locked, ok := methodCall(statement, "Lock", "RLock"); ok {
						found++
						next := statementsOf(n)[min(i+1, len(statementsOf(n))-1)]
						unlocked, ok := methodCall(next, "Unlock", "RUnlock")
						_, deferred := next.(*ast.DeferStmt)
						assert.Check(t, ok && deferred && unlocked == locked, "%v: a panic leaves %s locked: defer its unlock in the next statement", files.Position(statement.Pos()), locked)
					}
				}
				return true
			})
			return nil
		}))
	}
	assert.Assert(t, found > 100, "only %d locks found", found)
}

// statementsOf returns the statements that a node lists.
func statementsOf(n ast.Node) []ast.Stmt {
	switch n := n.(type) {
	case *ast.BlockStmt:
		return n.List
	case *ast.CaseClause:
		return n.Body
	case *ast.CommClause:
		return n.Body
	}
	return nil
}

// methodCall returns the receiver if a statement is a call of one of the given methods.
func methodCall(statement ast.Stmt, methods ...string) (receiver string, ok bool) {
	var call *ast.CallExpr
	switch s := statement.(type) {
	case *ast.ExprStmt:
		call, _ = s.X.(*ast.CallExpr)
	case *ast.DeferStmt:
		call = s.Call
	}
	if call == nil {
		return "", false
	}
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !slices.Contains(methods, selector.Sel.Name) {
		return "", false
	}
	return types.ExprString(selector.X), true
}
