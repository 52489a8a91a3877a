package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/api/settingspb"
	"github.com/mallowgap/mallowgap/internal/settings"
)

const valid = `
[host]
name = entry-0
failure_domain = palermo
[listen]
callers = 127.0.0.1:1
peers = 127.0.0.1:2
http = 127.0.0.1:3
[platform]
address = 127.0.0.1:4
[membership]
heartbeat = 250ms
`

func load(t *testing.T, text string, target proto.Message) error {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file.ini")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return settings.Load(path, target)
}

func TestLoadFillsDefaults(t *testing.T) {
	entry := &settingspb.Entry{}
	assert.NilError(t, load(t, valid, entry))
	assert.Equal(t, entry.GetHost().GetName(), "entry-0")
	assert.Equal(t, entry.GetMembership().GetHeartbeat().AsDuration(), 250*time.Millisecond)
	assert.Equal(t, entry.GetShutdown().GetDrainTimeout().AsDuration(), 30*time.Second)
	assert.Equal(t, entry.GetTraffic().GetHedging(), true)
}

// All faults are reported at once, each with file, section, key and remedy.
func TestLoadReportsAllFaults(t *testing.T) {
	text := strings.Replace(valid, "name = entry-0", "nmae = entry-0", 1) +
		"heartbeat_timeout = 300\nsuspicion = 2h\nsuspicion = 3s\n[traffic]\nselection = best\nextra_share = 2\nhedging = yes\n[colour]\nred = 1\n"
	err := load(t, text, &settingspb.Entry{})
	var settingsErr *settings.Error
	assert.Assert(t, errors.As(err, &settingsErr), "%v", err)
	for _, want := range []string{
		"[host] name: is missing", "[host] nmae: unknown key: use one of name, failure_domain",
		"[membership] heartbeat_timeout: \"300\" is not a duration with a unit", "[membership] suspicion: is set more than once",
		"[traffic] selection: \"best\" is not allowed: write one of observed, random",
		"[traffic] extra_share: 2 is too large", "[traffic] hedging: \"yes\" is neither true nor false", "[colour] : unknown section",
	} {
		assert.Assert(t, strings.Contains(err.Error(), want), "%q is not in:\n%v", want, err)
	}
}

// LoadEntry reports keys that contradict each other.
func TestLoadEntryChecksContradictions(t *testing.T) {
	text := strings.Replace(valid, "http = 127.0.0.1:3", "http = 127.0.0.1:2", 1) +
		"heartbeat_timeout = 5s\nsuspicion = 1s\n[tls]\ncert = a.pem\nleaves = true\n"
	path := filepath.Join(t.TempDir(), "file.ini")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	err := settings.LoadEntry(path, &settingspb.Entry{})
	for _, want := range []string{
		"[listen] http: is the same address as peers", "[membership] heartbeat_timeout: is longer than suspicion",
		"[tls] cert: cert and key belong together: set both or neither", "[tls] ca: is missing",
	} {
		assert.ErrorContains(t, err, want)
	}
}

func TestLoadNamedSections(t *testing.T) {
	scenario := &settingspb.Scenario{}
	assert.NilError(t, load(t, "[class gate]\ndesk = d\nservice = s\nrate = 5\n", scenario))
	assert.Equal(t, scenario.GetClass()["gate"].GetRate(), 5.0)
	assert.ErrorContains(t, load(t, "[class]\nrate = 5\n", scenario), "write [class NAME]")
}

func TestLoadMissingFile(t *testing.T) {
	assert.ErrorContains(t, settings.Load("no-such-file.ini", &settingspb.Entry{}), "specify a readable INI file")
}

// Load restores the settings that Print wrote.
func TestPrintRoundTrip(t *testing.T) {
	entry, parsed := &settingspb.Entry{}, &settingspb.Entry{}
	assert.NilError(t, load(t, valid, entry))
	var text strings.Builder
	settings.Print(&text, entry)
	assert.NilError(t, load(t, text.String(), parsed))
	assert.Assert(t, proto.Equal(entry, parsed))
}

func FuzzLoad(f *testing.F) {
	f.Add(valid)
	f.Add("[class gate]\nrate = 1e400\n")
	f.Fuzz(func(t *testing.T, text string) {
		path := filepath.Join(t.TempDir(), "file.ini")
		if os.WriteFile(path, []byte(text), 0o600) != nil {
			return
		}
		_ = settings.Load(path, &settingspb.Entry{})
		_ = settings.Load(path, &settingspb.Scenario{})
	})
}

// The scenarios of the repository can be loaded.
func TestScenariosAreValid(t *testing.T) {
	for _, pattern := range []string{"../../scenarios/*.ini", "../../scenarios/*/*.ini"} {
		files, err := filepath.Glob(pattern)
		assert.NilError(t, err)
		assert.Assert(t, len(files) > 0)
		for _, file := range files {
			assert.NilError(t, settings.Load(file, &settingspb.Scenario{}))
		}
	}
}
