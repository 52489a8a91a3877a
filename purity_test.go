// Package mallowgap_test checks rules that hold for the whole module.
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

// decisionPackages are importable without the daemon and any transport.
var decisionPackages = []string{
	"admission", "config", "discovery", "drain", "fanout", "limit", "member", "once", "quarantine", "rendezvous", "replica", "retry", "route", "scarcity", "scatter",
	"snapshot",
}

// forbidden are the packages that decision packages may not depend on.
var forbidden = []string{
	"github.com/mallowgap/mallowgap/internal", "google.golang.org/grpc", "storj.io/drpc", "net/http", "github.com/rs/zerolog",
	"github.com/VictoriaMetrics/metrics", "github.com/labstack/echo",
}

// TestDecisionPackagesArePure checks what each decision package imports, by
// itself and through other packages of the module.
func TestDecisionPackagesArePure(t *testing.T) {
	for _, name := range decisionPackages {
		for dep := range imports(t, name, map[string]bool{}) {
			for _, bad := range forbidden {
				assert.Assert(t, !strings.HasPrefix(dep, bad), "%s depends on %s", name, dep)
			}
		}
	}
}

// platformWords are names that only the adapter may know.
var platformWords = []string{
	"X-Mallowgap-", "kv-key", "kv-range", "kv-watch", "kv-txn", "kv-lease", "kv-keep", "op/config", "goal_ms", "top_k", "min_share",
	"weighted_services", "cold_left_ms", "home_regions", "cold_per_s", "op/evacuate",
}

// TestPlatformNamesStayInTheAdapter looks for the platform's names in the code.
func TestPlatformNamesStayInTheAdapter(t *testing.T) {
	adapter, all := 0, 0
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasPrefix(path, "api/") {
			return err
		}
		text, err := os.ReadFile(path)
		assert.NilError(t, err)
		lines := strings.Count(string(text), "\n")
		all += lines
		if strings.HasPrefix(path, "platform/") {
			adapter += lines
			return nil
		}
		for _, word := range platformWords {
			assert.Check(t, !strings.Contains(string(text), word), "%s names %s", path, word)
		}
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, adapter*10 < all, "the adapter has %d of %d lines: it is to stay under a tenth", adapter, all)
}

// imports adds what a package of the module imports to seen.
func imports(t *testing.T, dir string, seen map[string]bool) map[string]bool {
	t.Helper()
	p, err := build.ImportDir(dir, 0)
	assert.NilError(t, err)
	for _, dep := range p.Imports {
		if seen[dep] {
			continue
		}
		seen[dep] = true
		if inside, ok := strings.CutPrefix(dep, module); ok {
			imports(t, inside, seen)
		}
	}
	return seen
}
