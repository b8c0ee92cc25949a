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

// answerWriter writes an answer to the caller. It sends nothing before the first
// token, so that until then the request can still be refused or retried.
type answerWriter interface {
	// writeToken writes the next token of the answer.
	writeToken(f engine.Frame) error
	// complete finishes an answer whose tokens have all been written.
	complete(finishReason string) error
	// abort ends an answer that cannot be completed; delivered is the number of
	// tokens that the caller has received.
	abort(r *contract.Refusal, delivered int)
}

// streamWriter is an answerWriter that streams tokens as server-sent events.
type streamWriter struct {
	w            http.ResponseWriter
	requestID    string
	model        string
	writeTimeout time.Duration // for writing one token to the caller
	headersSent  bool
	buf          []byte
}

// writeHeaders sends the response headers unless they have been sent.
func (s *streamWriter) writeHeaders() {
	if s.headersSent {
		return
	}
	s.headersSent = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamWriter) writeToken(f engine.Frame) error {
	s.writeHeaders()
	s.buf = appendChunk(s.buf[:0], s.requestID, s.model, f)
	// Without a deadline, a caller that does not read would keep the request's
	// memory allocated in this instance.
	rc := http.NewResponseController(s.w)
	if err := rc.SetWriteDeadline(time.Now().Add(s.writeTimeout)); err != nil {
		return err
	}
	if _, err := s.w.Write(s.buf); err != nil {
		return err
	}
	return rc.Flush()
}

// emptyContent is the JSON string written for a frame without text.
const emptyContent = `""`

// appendChunk appends a frame to b as a server-sent event with a chat completion
// chunk.
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
		finishReason, _ := json.Marshal(f.FinishReason) // encoding a string cannot fail
		b = append(b, finishReason...)
	}
	return append(b, "}]}\n\n"...)
}

func (s *streamWriter) complete(string) error {
	s.writeHeaders()
	_, err := fmt.Fprint(s.w, "data: [DONE]\n\n")
	return err
}

// abort sends the refusal as the last event. Because the [DONE] event is missing,
// the caller does not take the answer for complete. If no headers have been sent,
// abort answers with the refusal instead.
func (s *streamWriter) abort(r *contract.Refusal, delivered int) {
	if !s.headersSent {
		writeRefusal(s.w, r, s.requestID)
		return
	}
	metric.CountRefusal(r.Reason)
	p := newProblem(r, s.requestID)
	p.Offset = &delivered
	body, err := json.Marshal(p)
	if err != nil {
		return
	}
	fmt.Fprintf(s.w, "event: error\ndata: %s\n\n", body)
}

// bufferedWriter is an answerWriter that collects the tokens and writes the
// answer when it is complete.
type bufferedWriter struct {
	w         http.ResponseWriter
	requestID string
	model     string
	text      strings.Builder
}

func (b *bufferedWriter) writeToken(f engine.Frame) error {
	text, err := f.Text()
	b.text.WriteString(text)
	return err
}

// completion is a complete answer in the chat completions format.
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

func (b *bufferedWriter) complete(finishReason string) error {
	b.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(b.w).Encode(completion{
		ID: b.requestID, Object: "chat.completion", Model: b.model,
		Choices: []completionChoice{{
			Message:      completionMessage{Role: "assistant", Content: b.text.String()},
			FinishReason: finishReason,
		}},
	})
}

func (b *bufferedWriter) abort(r *contract.Refusal, _ int) { writeRefusal(b.w, r, b.requestID) }
