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
	"redwingknot/note"
)

// The headers that a caller may send.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderClass          = "X-Request-Class"
	HeaderRequestID      = "X-Request-Id" // set in every answer
)

// chatRequest is a checked request for a model's answer.
type chatRequest struct {
	team    note.Team
	service note.Service
	model   note.Model
	adapter string // name@version, empty for none
	class   contract.Class
	stream  bool
	prompt  []byte // canonical form of the messages
	body    []byte // as the caller sent it
}

// chatBody is the part of the body that the system reads; the rest is passed
// on to the engine as it is.
type chatBody struct {
	Model    string        `json:"model"`
	Messages []chatMessage `json:"messages"`
	Stream   bool          `json:"stream"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// adapterSeparator stands between service and adapter in the model field.
const adapterSeparator = "/"

func malformed(detail string) error {
	return contract.Refuse(http.StatusBadRequest, contract.ReasonMalformed, detail)
}

// readBody reads a whole body within the limits of size and time. After a
// failure the connection is closed and its read deadline stays: the server
// would otherwise wait for the rest of the body.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) ([]byte, error) {
	rc := http.NewResponseController(w)
	rc.SetReadDeadline(time.Now().Add(timeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
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
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, contract.Refuse(http.StatusRequestTimeout, contract.ReasonSlowBody, "the body did not arrive in time")
	case errors.Is(err, context.Canceled):
		return nil, contract.Refuse(http.StatusBadRequest, contract.ReasonCallerDisconnected, "the caller went away")
	}
	return nil, malformed("the body ended early")
}

// parseChat checks a chat completions body against the configuration.
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
	if err := mayCall(t, name); err != nil {
		return nil, err
	}
	q := &chatRequest{team: t, service: svc, model: s.Models[svc.Model], stream: b.Stream, body: body, prompt: canonical(b.Messages)}
	if err := q.setAdapter(s, adapter); err != nil {
		return nil, err
	}
	return q, q.setClass(s, class)
}

func (q *chatRequest) setAdapter(s *note.State, name string) error {
	if name == "" {
		return nil
	}
	a, ok := s.Adapters[name]
	if !ok || !slices.Contains(q.service.Adapters, name) {
		return contract.Refuse(http.StatusNotFound, contract.ReasonUnknownModel, "the service has no adapter "+name)
	}
	q.adapter = a.Name + "@" + a.Version
	return nil
}

func (q *chatRequest) setClass(s *note.State, name string) error {
	if name == "" && len(q.team.Classes) > 0 {
		name = q.team.Classes[0]
	}
	class, ok := s.Classes[name]
	if !ok || !slices.Contains(q.team.Classes, name) {
		return contract.Refuse(http.StatusForbidden, contract.ReasonForbidden, "the team may not use class "+name)
	}
	q.class = class
	return nil
}

// canonical renders messages so that equal conversations have equal prefixes.
func canonical(messages []chatMessage) []byte {
	var b bytes.Buffer
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.Write(m.Content)
		b.WriteByte('\n')
	}
	return b.Bytes()
}
