package serve

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/contract"
	"redwingknot/engine"
	"redwingknot/note"
)

// Request headers of callers.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderClass          = "X-Request-Class"
	HeaderRequestID      = "X-Request-Id" // set in every response; identifies the request
)

// chatRequest is a validated chat completions request.
type chatRequest struct {
	team    note.Team
	service note.Service
	model   note.Model
	adapter setting // named name@version; zero for none
	class   contract.Class
	stream  bool
	prompt  []byte // messages in canonical form
	body    []byte // as sent by the caller
}

// servedModel returns the model of the service.
func (req *chatRequest) servedModel() setting {
	return setting{value: req.model.Name, setBy: req.service.ModelSetBy}
}

// modelVersion returns the version of the model that the answer must have.
func (req *chatRequest) modelVersion() setting {
	return setting{value: req.model.Version, setBy: req.model.VersionSetBy}
}

// weights returns the weights that the answer must have.
func (req *chatRequest) weights() engine.Weights {
	return engine.Weights{Model: req.model.Name, Version: req.model.Version, Adapter: req.adapter.value}
}

// chatBody holds the fields of the body that the system reads. The whole body is
// passed to the engine unchanged.
type chatBody struct {
	Model    string        `json:"model"`
	Messages []chatMessage `json:"messages"`
	Stream   bool          `json:"stream"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// adapterSeparator separates the service name from the adapter name in the model
// field.
const adapterSeparator = "/"

// malformed returns a refusal with status 400.
func malformed(detail string) error {
	return contract.Refuse(http.StatusBadRequest, contract.ReasonMalformed, detail)
}

// readBody reads the whole body of r, at most limit bytes and within timeout. If
// reading fails, the connection is closed after the response, and its read
// deadline stays set because the HTTP server would otherwise wait for the rest of
// the body. The end of the request's context ends the read.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) ([]byte, error) {
	rc := http.NewResponseController(w)
	rc.SetReadDeadline(time.Now().Add(timeout))
	stop := context.AfterFunc(r.Context(), func() { rc.SetReadDeadline(time.Now()) })
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	stop()
	if err != nil {
		w.Header().Set("Connection", "close")
	} else {
		rc.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, contract.Refuse(http.StatusRequestEntityTooLarge, contract.ReasonTooLarge, "the body is larger than the limit")
	case isStopped(r.Context()):
		return nil, refusalOfStop(contract.NotRun)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, contract.Refuse(http.StatusRequestTimeout, contract.ReasonSlowBody, "the body did not arrive in time")
	case errors.Is(err, context.Canceled):
		return nil, contract.Refuse(http.StatusBadRequest, contract.ReasonCallerDisconnected, "the caller went away")
	}
	return nil, malformed("the body ended early")
}

// parseChat parses the body of a chat completions request and validates it
// against configuration s for team t. An empty class selects the team's first
// class. Errors are of type *contract.Refusal.
func parseChat(s *note.State, t note.Team, class string, body []byte) (*chatRequest, error) {
	var b chatBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, malformed("the body is no chat completions request: " + err.Error())
	}
	if len(b.Messages) == 0 {
		return nil, malformed("messages is empty")
	}
	name, adapter, _ := strings.Cut(b.Model, adapterSeparator)
	svc, ok := s.Services[name]
	if !ok || svc.Kind != note.KindModel {
		return nil, contract.Refuse(http.StatusNotFound, contract.ReasonUnknownModel, "no model service is named "+name)
	}
	if err := authorizeService(t, name); err != nil {
		return nil, err
	}
	req := &chatRequest{team: t, service: svc, model: s.Models[svc.Model], stream: b.Stream, body: body, prompt: canonicalMessages(b.Messages)}
	if err := req.setAdapter(s, adapter); err != nil {
		return nil, err
	}
	return req, req.setClass(s, class)
}

// setAdapter sets the adapter by its name; an empty name means none.
func (req *chatRequest) setAdapter(s *note.State, name string) error {
	if name == "" {
		return nil
	}
	a, ok := s.Adapters[name]
	if !ok || !slices.Contains(req.service.Adapters, name) {
		return contract.Refuse(http.StatusNotFound, contract.ReasonUnknownModel, "the service has no adapter "+name)
	}
	req.adapter = setting{value: a.Name + "@" + a.Version, setBy: a.VersionSetBy}
	return nil
}

// setClass sets the request class by its name. If the name is empty, it sets the
// team's first class.
func (req *chatRequest) setClass(s *note.State, name string) error {
	if name == "" && len(req.team.Classes) > 0 {
		name = req.team.Classes[0]
	}
	class, ok := s.Classes[name]
	if !ok || !slices.Contains(req.team.Classes, name) {
		return contract.Refuse(http.StatusForbidden, contract.ReasonForbidden, "the team may not use class "+name)
	}
	req.class = class
	return nil
}

// canonicalMessages encodes messages so that conversations that begin with the
// same messages have encodings with the same prefix.
func canonicalMessages(messages []chatMessage) []byte {
	var b bytes.Buffer
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.Write(m.Content)
		b.WriteByte('\n')
	}
	return b.Bytes()
}
