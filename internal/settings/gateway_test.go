package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mallowgap/mallowgap/api/settingspb"
	"github.com/mallowgap/mallowgap/internal/settings"
)

func loadGateway(t *testing.T, text string) (*settingspb.Gateway, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "gateway.ini")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	file := &settingspb.Gateway{}
	return file, settings.LoadGateway(path, file)
}

// platformFields are example values of the fields that the platform substitutes in the
// template.
var platformFields = map[string]string{
	"node": "front-a-1", "zone": "hall-a", "region": "palermo", "limits.cpu_share": "0.4", "limits.cpu_cores": "1", "limits.ram_mb": "284", "limits.max_fds": "4100",
	"listen.front": "10.1.0.9:8104", "listen.ready": "10.1.0.9:8108", "listen.control": "10.1.0.9:8106", "ip": "10.1.0.9", "port_range.0": "7380",
	"platform.addr": "10.200.1.7:8102", "beat_ms": "1200", "seed_addrs": "10.1.0.9:8106,10.2.0.21:8106",
	"rule_params.cold_excess": "1.5", "rule_params.cold_slack": "5",
	"rule_params.quota_window_s": "5", "rule_params.quota_excess": "0.1", "rule_params.quota_slack": "20",
	"rule_params.retry_ratio": "0.2", "rule_params.retry_slack": "54", "rule_params.retry_window_s": "10",
}

// optionalSection matches a section of the template that is omitted if the platform has
// no value for its field.
var optionalSection = regexp.MustCompile(`(?s)\{\{#(rule_params[a-z_.]+|beat_ms)\}\}(.*?)\{\{/[a-z_.]+\}\}`)

// renderTemplate renders the gateway's template in deploy/ with platformFields, except
// for the fields in without.
func renderTemplate(t *testing.T, without ...string) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/gateway.ini.tmpl")
	assert.NilError(t, err)
	zonesSection := regexp.MustCompile(`\{\{#zones\}\}.*\{\{/zones\}\}`)
	filled := zonesSection.ReplaceAllString(string(text), "hall-a=palermo,hall-b=catania")
	filled = optionalSection.ReplaceAllStringFunc(filled, func(section string) string {
		parts := optionalSection.FindStringSubmatch(section)
		if slices.Contains(without, parts[1]) {
			return ""
		}
		return parts[2]
	})
	placeholder := regexp.MustCompile(`\{\{[a-z_.0-9]+\}\}`)
	return placeholder.ReplaceAllStringFunc(filled, func(name string) string {
		value, ok := platformFields[strings.Trim(name, "{}")]
		assert.Check(t, ok, "%s is not a field of the platform", name)
		return value
	})
}

func TestTemplateOfTheDeployFileIsValid(t *testing.T) {
	file, err := loadGateway(t, renderTemplate(t))
	assert.NilError(t, err)
	assert.Equal(t, file.GetHost().GetName(), "front-a-1")
	assert.Equal(t, file.GetListen().GetMetrics(), "10.1.0.9:7380")
	assert.Equal(t, file.GetRetry().GetWindow().AsDuration(), 10*time.Second)
	assert.Equal(t, file.GetShutdown().GetBalancerLag().AsDuration(), 3*time.Second)
	assert.Assert(t, file.GetCold().GetExcess() == 1.5 && file.GetCold().GetSlack() == 5)
	quota := file.GetQuota()
	assert.Assert(t, quota.GetWindow().AsDuration() == 5*time.Second && quota.GetExcess() == 0.1 && quota.GetSlack() == 20)
	file, err = loadGateway(t, renderTemplate(t, "rule_params.cold_excess", "rule_params.cold_slack", "rule_params.quota_window_s", "rule_params.quota_excess", "rule_params.quota_slack"))
	assert.NilError(t, err, "without values for the limits of cold servers and of teams")
	assert.Assert(t, file.GetQuota().GetExcess() == 0 && file.GetQuota().GetSlack() == 0)
	assert.Assert(t, file.GetCold().GetExcess() == 1 && file.GetCold().GetSlack() == 0)
}

func TestGatewayFaultsAreAllReported(t *testing.T) {
	text := strings.Replace(renderTemplate(t), "callers = 10.1.0.9:8104", "callers = 10.1.0.9", 1)
	_, err := loadGateway(t, strings.Replace(text, "ready = 10.1.0.9:8108", "ready = 10.1.0.9:8106", 1))
	var settingsErr *settings.Error
	assert.Assert(t, errors.As(err, &settingsErr), "%v", err)
	assert.ErrorContains(t, err, `[listen] callers: "10.1.0.9" is not IP:port: write an address`)
	assert.ErrorContains(t, err, "[listen] peers: is the same address as ready: choose another port")
	_, err = loadGateway(t, renderTemplate(t)+"\n[query]\nanswer_share = 2\nhedges = 1\n")
	assert.ErrorContains(t, err, "answer_share: 2 is too large")
	assert.ErrorContains(t, err, "hedges: unknown key")
}
