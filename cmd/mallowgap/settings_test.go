package main

import (
	"bytes"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// The committed settings page matches the settings schema.
func TestSettingsPageIsUpToDate(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	assert.NilError(t, err)
	var reference bytes.Buffer
	writeReference(&reference)
	assert.Equal(t, string(page), reference.String(), "run: mallowgap settings reference > docs/SETTINGS.md")
}
