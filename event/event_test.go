package event

import (
	"bytes"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const page = "../docs/EVENTS.md"

func TestPageAgreesWithCatalogue(t *testing.T) {
	var want bytes.Buffer
	WriteMarkdown(&want)
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(page, want.Bytes(), 0o644))
	}
	got, err := os.ReadFile(page)
	assert.NilError(t, err)
	assert.Equal(t, string(got), want.String())
}
