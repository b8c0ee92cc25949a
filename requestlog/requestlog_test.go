package requestlog

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const sampleLog = `{"time":"2026-12-03T10:00:00.5Z","level":"WARN","msg":"relay-refused","event":7002,"request":"a1","took":700000000,"reason":"overload"}
not JSON with a1
{"time":"2026-12-03T10:00:00.1Z","level":"WARN","msg":"relay-lost","event":7003,"request":"a1","cause":"reset"}
{"time":"2026-12-03T10:00:00.2Z","level":"INFO","msg":"relay-served","event":7001,"request":"b2","cause":"a1"}
`

func TestPrintSortsLinesByTime(t *testing.T) {
	lines, err := FindLines("one", strings.NewReader(sampleLog), "a1")
	assert.NilError(t, err)
	var out strings.Builder
	assert.NilError(t, Print(&out, lines))
	assert.Equal(t, out.String(), "10:00:00.100 one 7003 relay-lost cause=reset\n10:00:00.500 one 7002 relay-refused reason=overload took=700ms\n")
}
