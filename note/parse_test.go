package note_test

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"redwingknot/note"
)

// firstNote adds one object of each kind.
const firstNote = `
title: First services
author: amani
add:
  models:
    - {name: mafunzo, version: v1, pieceBytes: 8000, blockBytes: 1000000}
  adapters:
    - {name: drill, model: mafunzo, version: a1}
  classes:
    - {name: verdict, worth: 10, firstIn: 2s, deadline: 30s}
  services:
    - {name: mafunzo-llm, kind: model, model: mafunzo, adapters: [drill], loadsAtOnce: 2}
    - name: cheti-app
      kind: plain
      calls:
        - {method: POST, path: /certificates, class: verdict, idempotency: non-idempotent}
  teams:
    - name: ilala
      tokenHash: "0000000000000000000000000000000000000000000000000000000000000000"
      services: [mafunzo-llm, cheti-app]
      classes: [verdict]
      rate: 5
      burst: 10
  endpoints:
    - {name: w1, dataCentre: temeke, service: mafunzo-llm, url: "http://127.0.0.1:7001", slots: 8}
  stores:
    - {name: kumbuka-a, dataCentre: temeke, url: "http://127.0.0.1:7101", memoryBytes: 1000, diskBytes: 1000, linkRate: 1000, linkDelay: 1.5ms}
`

// mustApply parses a note and returns the state after it.
func mustApply(t *testing.T, s *note.State, raw string) *note.State {
	t.Helper()
	n, err := note.Parse([]byte(raw))
	assert.NilError(t, err)
	next, err := s.Apply(n)
	assert.NilError(t, err)
	return next
}

// TestApply checks that a note changes only the fields that it gives, that the old
// state is not modified, and that the state survives encoding.
func TestApply(t *testing.T) {
	s := mustApply(t, note.NewState(), firstNote)
	assert.Equal(t, s.Head, uint64(1))
	assert.Equal(t, s.Teams["ilala"].Burst, 10.0)
	assert.Equal(t, s.Stores["kumbuka-a"].LinkDelay.String(), "1.5ms")
	next := mustApply(t, s, `
title: More for Ilala
change: {teams: [{name: ilala, rate: 7}]}
withdraw: {endpoints: [w1]}
`)
	assert.Equal(t, next.Teams["ilala"].Rate, 7.0)
	assert.Equal(t, next.Teams["ilala"].Burst, 10.0)
	assert.Equal(t, len(next.Endpoints), 0)
	assert.Equal(t, s.Teams["ilala"].Rate, 5.0)
	assert.Equal(t, len(s.Endpoints), 1)
	decoded, err := note.Decode(next.Encode())
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, next)
}

// TestReturnToVersionIsNotedAsItsOwn sets models and versions, sets others and returns to the former ones.
// The block keys of both times must differ: an engine may have computed blocks of the former
// keys with the weights between.
func TestReturnToVersionIsNotedAsItsOwn(t *testing.T) {
	s := mustApply(t, note.NewState(), firstNote)
	for _, step := range []struct {
		raw            string
		model, adapter uint64 // numbers of the notes that set the versions
		service        uint64 // number of the note that set the service's model
	}{
		{"title: t\nchange: {models: [{name: mafunzo, version: v1, blockBytes: 7}], services: [{name: mafunzo-llm, loadsAtOnce: 3}]}\n", 1, 1, 1},
		{"title: t\nchange: {models: [{name: mafunzo, version: v2}]}\n", 3, 1, 1},
		{"title: t\nchange: {adapters: [{name: drill, version: a2}]}\n", 3, 4, 1},
		{"title: t\nchange: {models: [{name: mafunzo, version: v1}], adapters: [{name: drill, model: mafunzo}]}\n", 5, 4, 1},
		{"title: t\nchange: {adapters: [{name: drill, version: a1}]}\n", 5, 6, 1},
		{"title: t\nadd: {models: [{name: n, version: v1, pieceBytes: 8, blockBytes: 8}]}\nchange: {services: [{name: mafunzo-llm, model: n, adapters: []}]}\n", 5, 6, 7},
		{"title: t\nchange: {services: [{name: mafunzo-llm, model: mafunzo}]}\n", 5, 6, 8},
	} {
		s = mustApply(t, s, step.raw)
		assert.Equal(t, s.Models["mafunzo"].VersionSetBy, step.model, step.raw)
		assert.Equal(t, s.Adapters["drill"].VersionSetBy, step.adapter, step.raw)
		assert.Equal(t, s.Services["mafunzo-llm"].ModelSetBy, step.service, step.raw)
		decoded, err := note.Decode(s.Encode())
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, s)
	}
}

// TestFaultsHaveLineAndReason checks the faults of invalid notes, each by the start of
// its text.
func TestFaultsHaveLineAndReason(t *testing.T) {
	cases := []struct {
		name string
		raw  string
		want []string
	}{
		{"empty", "", []string{"the note is empty"}},
		{"no change", "title: t", []string{"the note changes nothing"}},
		{"syntax", "title: t\nadd: [", []string{"line "}},
		{"two documents", "title: t\n---\ntitle: u", []string{"line 2: only one document"}},
		{"unknown top field", "title: t\nremove: {}\n", []string{`line 2: unknown field "remove"`}},
		{"unknown kind", "title: t\nadd:\n  lamps: []\n", []string{`line 3: unknown kind "lamps"`}},
		{"unknown field and wrong type", "title: t\nadd:\n  models:\n    - {name: a, version: v1, pieceBytes: x, blockBytes: 1}\n  adapters:\n    - {name: b, colour: red}\n",
			[]string{"line 4: cannot unmarshal", `line 6: unknown field "colour"`}},
		{"field that notes can't give", "title: t\nchange:\n  models:\n    - {name: mafunzo, versionSetBy: 7}\n  adapters:\n    - {name: drill, -: 7}\n",
			[]string{`line 4: unknown field "versionSetBy"`, `line 6: unknown field "-"`}},
		{"duplicate field", "title: t\ntitle: u\n", []string{`line 2: field "title" was already given in line 1`}},
		{"duplicate object", "title: t\nwithdraw:\n  teams:\n    - a\n    - a\n", []string{`line 5: teams "a" was already named in line 4`}},
		{"alias", "title: t\nadd:\n  teams: [{name: a, services: &x [b], classes: *x}]\n", []string{"line 3: anchors", "line 3: anchors"}},
		{"withdraw unknown", "title: t\nwithdraw:\n  teams: [nobody]\n", []string{`line 3: teams "nobody" does not exist`}},
		{"add again", "title: t\nadd:\n  adapters:\n    - {name: drill, model: mafunzo, version: a1}\n", []string{`line 4: adapters "drill" exists already`}},
		{"dangling", "title: t\nadd:\n  adapters:\n    - {name: x, model: none, version: a1}\n", []string{`line 4: adapters "x" needs models "none", which does not exist`}},
		{"withdraw in use", "title: t\nwithdraw:\n  classes: [verdict]\n", []string{`line 3: services "cheti-app" needs classes "verdict"`, `line 3: teams "ilala" needs classes "verdict"`}},
		{"ranges", "title: t\nchange:\n  teams:\n    - {name: ilala, rate: 0, burst: .nan, tokenHash: abc}\n", []string{"line 4: burst must be", "line 4: rate must be", "line 4: tokenHash must be"}},
		{"duration", "title: t\nchange:\n  classes:\n    - {name: verdict, firstIn: 5}\n", []string{"line 4: a duration such as"}},
		{"idempotency missing", "title: t\nadd:\n  services:\n    - {name: app, kind: plain, calls: [{method: GET, path: /a, class: verdict}]}\n", []string{"line 4: idempotency of GET /a"}},
		{"oversize", "title: t\n#" + strings.Repeat("x", note.MaxBytes), []string{"the note has"}},
	}
	s := mustApply(t, note.NewState(), firstNote)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n, err := note.Parse([]byte(c.raw))
			if err == nil {
				err = note.Check(s, n)
			}
			var invalid *note.InvalidError
			assert.Assert(t, errors.As(err, &invalid), "%v", err)
			assert.Equal(t, len(invalid.Faults), len(c.want), "%v", err)
			for i, w := range c.want {
				assert.Assert(t, strings.HasPrefix(invalid.Faults[i].String(), w), "%v", err)
			}
		})
	}
}

// FuzzParse checks that no text makes the decoder panic, and that applying an
// accepted note twice to the same state gives the same result.
func FuzzParse(f *testing.F) {
	f.Add([]byte(firstNote))
	f.Add([]byte("title: t\nchange: {teams: [{name: ilala, rate: 7}]}\nwithdraw: {endpoints: [w1]}"))
	f.Add([]byte("title: &a t\nadd: {teams: [*a]}"))
	f.Add([]byte("title: t\nadd: {services: [{name: a, calls: [{}]}]}"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		n, err := note.Parse(raw)
		if err != nil {
			return
		}
		s, err := note.NewState().Apply(n)
		again, errAgain := note.NewState().Apply(n)
		assert.Equal(t, err == nil, errAgain == nil)
		if err != nil {
			return
		}
		assert.DeepEqual(t, s, again)
		decoded, err := note.Decode(s.Encode())
		assert.NilError(t, err)
		assert.Equal(t, decoded.Head, s.Head)
	})
}
