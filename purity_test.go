// Package mallowgap_test checks rules for the package structure of the module.
package mallowgap_test

import (
	"go/build"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const module = "github.com/mallowgap/mallowgap/"

// decisionPackages contain pure decision logic, without I/O, transport or metrics.
var decisionPackages = []string{
	"admission", "config", "discovery", "drain", "evict", "fanout", "limit", "member", "once", "quarantine", "quota", "rendezvous", "replica", "retry", "route", "scarcity", "scatter",
	"snapshot", "team",
}

// forbiddenImports are prefixes of import paths on which decision packages must not
// depend.
var forbiddenImports = []string{
	"github.com/mallowgap/mallowgap/internal", "google.golang.org/grpc", "storj.io/drpc", "net/http", "github.com/rs/zerolog",
	"github.com/VictoriaMetrics/metrics", "github.com/labstack/echo",
}

// TestDecisionPackagesArePure checks the imports of each decision package, including
// those through other packages of the module.
func TestDecisionPackagesArePure(t *testing.T) {
	for _, name := range decisionPackages {
		for dep := range collectImports(t, name, map[string]bool{}) {
			for _, prefix := range forbiddenImports {
				assert.Assert(t, !strings.HasPrefix(dep, prefix), "%s depends on %s", name, dep)
			}
		}
	}
}

// platformNames are names of the platform's protocol that may occur only in the
// adapter, the package platform.
var platformNames = []string{
	"X-Mallowgap-", "kv-key", "kv-range", "kv-watch", "kv-txn", "kv-lease", "kv-keep", "op/config", "goal_ms", "top_k", "min_share",
	"weighted_services", "cold_left_ms", "home_regions", "cold_per_s", "op/evacuate", "api_keys", "per_s", "tenant",
}

// TestPlatformNamesStayInTheAdapter checks that no other package uses names of the
// platform's protocol, and that the adapter stays small.
func TestPlatformNamesStayInTheAdapter(t *testing.T) {
	adapterLines, totalLines := 0, 0
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasPrefix(path, "api/") {
			return err
		}
		text, err := os.ReadFile(path)
		assert.NilError(t, err)
		lines := strings.Count(string(text), "\n")
		totalLines += lines
		if strings.HasPrefix(path, "platform/") {
			adapterLines += lines
			return nil
		}
		for _, name := range platformNames {
			assert.Check(t, !strings.Contains(string(text), name), "%s contains %s, which only the adapter may use", path, name)
		}
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, adapterLines*10 < totalLines, "the adapter has %d of %d lines: it must stay below a tenth", adapterLines, totalLines)
}

// collectImports adds the imports of the package in dir to seen, including those of
// other packages of the module, and returns seen.
func collectImports(t *testing.T, dir string, seen map[string]bool) map[string]bool {
	t.Helper()
	p, err := build.ImportDir(dir, 0)
	assert.NilError(t, err)
	for _, dep := range p.Imports {
		if seen[dep] {
			continue
		}
		seen[dep] = true
		if path, ok := strings.CutPrefix(dep, module); ok {
			collectImports(t, path, seen)
		}
	}
	return seen
}
