package serve

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"redwingknot/contract"
	"redwingknot/engine"
	"redwingknot/metric"
)

// answerWriter writes an answer to the caller. Nothing is sent before the first
// token, so that a request can still be refused or retried.
type answerWriter interface {
	// token writes the next token.
	token(f engine.Frame) error
	// end completes a whole answer.
	end(finish string) error
	// broken ends an answer that can't be completed; delivered is the number of
	// tokens that the caller has.
	broken(r *contract.Refusal, delivered int)
}

// streamWriter writes server-sent events.
type streamWriter struct {
	w       http.ResponseWriter
	id      string
	model   string
	timeout time.Duration // for the caller to take a token
	started bool
	buf     []byte
}

func (s *streamWriter) start() {
	if s.started {
		return
	}
	s.started = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamWriter) token(f engine.Frame) error {
	s.start()
	s.buf = appendChunk(s.buf[:0], s.id, s.model, f)
	// A caller that takes nothing must not hold the instance's memory.
	rc := http.NewResponseController(s.w)
	if err := rc.SetWriteDeadline(time.Now().Add(s.timeout)); err != nil {
		return err
	}
	if _, err := s.w.Write(s.buf); err != nil {
		return err
	}
	return rc.Flush()
}

// emptyContent is the content of a frame without text.
const emptyContent = `""`

// appendChunk appends a chat completion chunk as a server-sent event.
func appendChunk(b []byte, id, model string, f engine.Frame) []byte {
	b = append(b, `data: {"id":`...)
	b = strconv.AppendQuote(b, id)
	b = append(b, `,"object":"chat.completion.chunk","model":`...)
	b = strconv.AppendQuote(b, model)
	b = append(b, `,"offset":`...)
	b = strconv.AppendInt(b, int64(f.Offset), 10)
	b = append(b, `,"choices":[{"index":0,"delta":{"content":`...)
	if len(f.Content) == 0 {
		b = append(b, emptyContent...)
	}
	b = append(b, f.Content...)
	b = append(b, `},"finish_reason":`...)
	if f.FinishReason == "" {
		b = append(b, "null"...)
	} else {
		finish, _ := json.Marshal(f.FinishReason) // a string always has a JSON form
		b = append(b, finish...)
	}
	return append(b, "}]}\n\n"...)
}

func (s *streamWriter) end(string) error {
	s.start()
	_, err := fmt.Fprint(s.w, "data: [DONE]\n\n")
	return err
}

// broken sends the refusal as a last event; without the end marker no caller
// takes the answer for whole.
func (s *streamWriter) broken(r *contract.Refusal, delivered int) {
	if !s.started {
		writeRefusal(s.w, r, s.id)
		return
	}
	metric.CountRefusal(r.Reason)
	p := newProblem(r, s.id)
	p.Offset = &delivered
	body, err := json.Marshal(p)
	if err != nil {
		return
	}
	fmt.Fprintf(s.w, "event: error\ndata: %s\n\n", body)
}

// wholeWriter collects the answer and writes it at its end.
type wholeWriter struct {
	w     http.ResponseWriter
	id    string
	model string
	text  strings.Builder
}

func (c *wholeWriter) token(f engine.Frame) error {
	text, err := f.Text()
	c.text.WriteString(text)
	return err
}

// completion is a whole answer in the chat completions format.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (c *wholeWriter) end(finish string) error {
	c.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(c.w).Encode(completion{
		ID: c.id, Object: "chat.completion", Model: c.model,
		Choices: []completionChoice{{
			Message:      completionMessage{Role: "assistant", Content: c.text.String()},
			FinishReason: finish,
		}},
	})
}

func (c *wholeWriter) broken(r *contract.Refusal, _ int) { writeRefusal(c.w, r, c.id) }
