package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxRefusalBytes bounds what is kept of a refusal.
const maxRefusalBytes = 4096

// Prompt is one chat request.
type Prompt struct {
	Service string
	Class   string
	Text    string
}

// Answer is a whole answer with its times from the start of the request.
type Answer struct {
	RequestID  string
	Text       string
	Tokens     int
	FirstToken time.Duration
	Elapsed    time.Duration
}

// RefusedError reports a request that was refused.
type RefusedError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused with status %d %s", e.Status, e.Body)
}

// TruncatedError reports an answer that ended before it was whole.
type TruncatedError struct {
	Tokens int
	Last   string
}

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("answer broke after %d tokens: %s", e.Tokens, e.Last)
}

// SendPrompt sends one prompt and reads the whole answer. A refusal is a
// *RefusedError, an answer that is not whole a *TruncatedError.
func SendPrompt(ctx context.Context, client *http.Client, url, token string, p Prompt) (Answer, error) {
	started := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(chatBody(p.Service, p.Text)))
	if err != nil {
		return Answer{}, errors.Wrap(err, "ask")
	}
	req.Header.Set("Authorization", "Bearer "+token)
	if p.Class != "" {
		req.Header.Set("X-Request-Class", p.Class)
	}
	resp, err := client.Do(req)
	if err != nil {
		return Answer{}, errors.Wrap(err, "ask")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
		return Answer{}, &RefusedError{Status: resp.StatusCode, Body: string(body)}
	}
	a := Answer{RequestID: resp.Header.Get("X-Request-Id")}
	err = a.read(resp.Body, started)
	return a, err
}

// answerChunk is the part of a chat completion chunk that is read.
type answerChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func (a *Answer) read(body io.Reader, started time.Time) error {
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	last := ""
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), chunkPrefix)
		if !ok {
			continue
		}
		last = data
		if data == doneMarker {
			a.Text, a.Elapsed = text.String(), time.Since(started)
			return nil
		}
		var c answerChunk
		if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) == 0 {
			continue
		}
		if a.Tokens == 0 {
			a.FirstToken = time.Since(started)
		}
		a.Tokens++
		text.WriteString(c.Choices[0].Delta.Content)
	}
	return &TruncatedError{Tokens: a.Tokens, Last: last}
}

// chatRequest is a streaming chat completions request.
type chatRequest struct {
	Model    string        `json:"model"`
	Stream   bool          `json:"stream"`
	Messages []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func chatBody(service, text string) []byte {
	body, err := json.Marshal(chatRequest{Model: service, Stream: true, Messages: []chatMessage{{Role: "user", Content: text}}})
	if err != nil {
		panic(err)
	}
	return body
}
