package serve

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/contract"
	"redwingknot/note"
)

// fuzzState returns a configuration with one model service, and a team that may
// use it.
func fuzzState() (*note.State, note.Team) {
	class := contract.Class{Name: "question", Worth: 1, FirstIn: time.Second, Deadline: time.Minute}
	state := &note.State{
		Models:   map[string]note.Model{"m": {Name: "m", Version: "v1", PieceBytes: 16}},
		Classes:  map[string]contract.Class{"question": class},
		Services: map[string]note.Service{"llm": {Name: "llm", Kind: note.KindModel, Model: "m"}},
	}
	return state, note.Team{Name: "t", Services: []string{"llm"}, Classes: []string{"question"}}
}

// FuzzParseChat parses arbitrary request bodies. Each must result either in a
// request with a prompt and a class, or in a refusal that says that the request
// was not executed.
func FuzzParseChat(f *testing.F) {
	for _, body := range []string{
		`{"model":"llm","messages":[{"role":"user","content":"x"}]}`,
		`{"model":"llm","stream":true,"messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`,
		`{"model":"llm/drill","messages":[{"role":"user"}]}`, `{"messages":null}`, `[]`, `{`, "\x00",
	} {
		f.Add([]byte(body), "question")
	}
	state, team := fuzzState()
	f.Fuzz(func(t *testing.T, body []byte, class string) {
		req, err := parseChat(state, team, class, body)
		var r *contract.Refusal
		switch {
		case err == nil && (len(req.prompt) == 0 || req.class.Name == ""):
			t.Fatal("parsed request has no prompt or no class")
		case err != nil && (!errors.As(err, &r) || r.Ran != contract.NotRun || r.Status < 400):
			t.Fatalf("error is not a refusal of a request that has not run: %v", err)
		}
	})
}

// FuzzRequestDeadline tests that no time budget sent by a caller extends the
// deadline of the class or lies in the past.
func FuzzRequestDeadline(f *testing.F) {
	for _, v := range []string{"", "0", "1", "-5", "1e9", "9223372036854775807", "soon"} {
		f.Add(v)
	}
	state, _ := fuzzState()
	f.Fuzz(func(t *testing.T, budget string) {
		if strings.ContainsAny(budget, "\r\n") {
			t.Skip()
		}
		now := time.Unix(1, 0)
		class := state.Classes["question"]
		at, err := requestDeadline(http.Header{"X-Request-Budget-Ms": {budget}}, class, now)
		if err == nil && (at.After(now.Add(class.Deadline)) || !at.After(now)) {
			t.Fatalf("deadline is %v from now, out of the range of the class", at.Sub(now))
		}
	})
}

// FuzzMatchPath tests that a pattern only matches paths with as many segments.
func FuzzMatchPath(f *testing.F) {
	for _, p := range []string{"/roster/x", "/roster/", "//", "/roster/a/b", "/roster/%2f"} {
		f.Add(p)
	}
	f.Fuzz(func(t *testing.T, path string) {
		if matchPath("/roster/{name}", path) && strings.Count(strings.Trim(path, "/"), "/") != 1 {
			t.Fatalf("%q matched a pattern with two segments", path)
		}
	})
}
