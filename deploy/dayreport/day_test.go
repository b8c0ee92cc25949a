package main

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

const reportJSON = `{
 "parts": [["whole day", 0.3, 0.9], ["worst windows", 0.4, 0.5]],
 "prices": [["machine-seconds", 300.0, 0.03], ["tokens", 4000.0, 0.13]],
 "classes": [{"name":"small","n":1000,"not_owed":100,"late":50,"worth":0.9}, {"name":"large","n":500,"worth":0.5,"failed":7}],
 "zones": [], "windows": [{"name":"0","n":10,"worth":1}, {"name":"2","n":10,"worth":0.2}],
 "unserved_by": [["502", 9, ["an example"]], ["deadline", 90, []]]}`

func TestLossesAreSorted(t *testing.T) {
	var d DayReport
	assert.NilError(t, json.Unmarshal([]byte(reportJSON), &d))
	tables := d.Losses()
	first := map[string]string{}
	for _, table := range tables {
		if len(table.Rows) > 0 {
			first[table.Title] = table.Rows[0].Name
		}
	}
	assert.DeepEqual(t, first, map[string]string{
		"parts of the worth": "worst windows", "prices": "tokens", "request classes": "large", "from second": "2",
		"not served, by the outcome of the last attempt": "deadline",
	})
	assert.Equal(t, tables[0].Rows[0].Lost, 0.2)
	assert.Equal(t, tables[2].Rows[0].Lost, 250.0)
	var out bytes.Buffer
	tables[0].write(&out, 1)
	assert.Check(t, strings.Contains(out.String(), "0.2000  worst windows"), out.String())
	assert.Check(t, strings.Contains(out.String(), "0.0300  the rest"), out.String())
}

func TestMalformedReportIsAnError(t *testing.T) {
	var d DayReport
	var short *ListError
	assert.Check(t, errors.As(json.Unmarshal([]byte(`{"parts":[["whole day"]]}`), &d), &short))
	assert.Check(t, json.Unmarshal([]byte(`{"prices":[7]}`), &d) != nil)
}
