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

// maxRefusalBytes limits how much of a refusal's body is kept.
const maxRefusalBytes = 4096

// Prompt is the content of one chat request. An empty Class leaves the request
// class to the team's default.
type Prompt struct {
	Service string
	Class   string
	Text    string
}

// Answer is the complete answer to a request. Tokens is the number of chunks
// received, each counted as one token. FirstToken and Elapsed are measured from the
// start of the request; RequestID is the answer's X-Request-Id.
type Answer struct {
	RequestID  string
	Text       string
	Tokens     int
	FirstToken time.Duration
	Elapsed    time.Duration
}

// RefusedError reports a request that was refused, with the status and the start
// of the body of the answer.
type RefusedError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("request refused with status %d %s", e.Status, e.Body)
}

// TruncatedError reports an answer stream that ended before its end marker. Tokens
// is the number of chunks received, each counted as one token; Last is the data of
// the last event.
type TruncatedError struct {
	Tokens int
	Last   string
}

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("answer ended early after %d tokens; last event: %s", e.Tokens, e.Last)
}

// SendPrompt sends one prompt to the entry instance at url, with token as the team's
// bearer token, and reads the complete answer. It returns a *RefusedError if the
// status is not 200, and a *TruncatedError if the answer ends early.
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
	err = a.readStream(resp.Body, started)
	return a, err
}

// completionChunk holds those fields of a chat completion chunk that are used.
type completionChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// readStream reads server-sent events from body until the end marker and fills
// in a. It returns a *TruncatedError if the body ends before the marker.
func (a *Answer) readStream(body io.Reader, started time.Time) error {
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	lastData := ""
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), chunkPrefix)
		if !ok {
			continue
		}
		lastData = data
		if data == doneMarker {
			a.Text, a.Elapsed = text.String(), time.Since(started)
			return nil
		}
		var c completionChunk
		if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) == 0 {
			continue
		}
		if a.Tokens == 0 {
			a.FirstToken = time.Since(started)
		}
		a.Tokens++
		text.WriteString(c.Choices[0].Delta.Content)
	}
	return &TruncatedError{Tokens: a.Tokens, Last: lastData}
}

// chatRequest is the body of a chat completions request.
type chatRequest struct {
	Model    string        `json:"model"`
	Stream   bool          `json:"stream"`
	Messages []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatBody encodes a streaming chat request with one user message.
func chatBody(service, text string) []byte {
	body, err := json.Marshal(chatRequest{Model: service, Stream: true, Messages: []chatMessage{{Role: "user", Content: text}}})
	if err != nil {
		panic(err)
	}
	return body
}
