package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// waitInterval is the time between two looks at the status while waiting.
const waitInterval = 100 * time.Millisecond

// maxAnswerBytes bounds an answer.
const maxAnswerBytes = 16 << 20

// Client talks to the entry instances of a deployment; it uses the first one
// that answers.
type Client struct {
	URLs  []string
	Token string
	HTTP  *http.Client
}

// StatusError reports an answer other than the one expected.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, strings.TrimSpace(e.Body))
}

// UnreachableError reports that no instance answered.
type UnreachableError struct{ Err error }

// Error implements error.
func (e *UnreachableError) Error() string { return fmt.Sprintf("no instance answers: %v", e.Err) }

// Unwrap returns the cause of the last try.
func (e *UnreachableError) Unwrap() error { return e.Err }

// NoteError reports a note that was not accepted.
type NoteError struct{ Answer NoteAnswer }

// Error implements error.
func (e *NoteError) Error() string {
	var b strings.Builder
	b.WriteString(e.Answer.Error)
	for _, f := range e.Answer.Faults {
		fmt.Fprintf(&b, "\n  line %d: %s", f.Line, f.Reason)
	}
	return b.String()
}

// Status returns the state of the deployment as one instance knows it.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.get(ctx, "/operator/status", &s)
	return s, err
}

// SubmitNote submits a note against the head that the operator has seen and returns
// its number. A note that was not accepted is a *NoteError.
func (c *Client) SubmitNote(ctx context.Context, base uint64, raw []byte) (uint64, error) {
	resp, err := c.do(ctx, http.MethodPost, fmt.Sprintf("/operator/notes?base=%d", base), raw)
	if err != nil {
		return 0, err
	}
	var a NoteAnswer
	if err := json.Unmarshal(resp.body, &a); err != nil {
		return 0, &StatusError{Status: resp.status, Body: string(resp.body)}
	}
	if resp.status != http.StatusCreated {
		return 0, &NoteError{Answer: a}
	}
	return a.Head, nil
}

// Note returns an accepted note.
func (c *Client) Note(ctx context.Context, number string) ([]byte, error) {
	return c.raw(ctx, "/operator/notes/"+url.PathEscape(number))
}

// ExplainRequest returns what the instance at the given place in URLs did for a
// request; only the instance that served it knows.
func (c *Client) ExplainRequest(ctx context.Context, id string) ([]byte, error) {
	var last error
	for _, u := range c.URLs {
		one := Client{URLs: []string{u}, Token: c.Token, HTTP: c.HTTP}
		body, err := one.raw(ctx, "/operator/explain/request/"+url.PathEscape(id))
		if err == nil {
			return body, nil
		}
		last = err
	}
	return nil, last
}

// ExplainEndpoint returns what an instance knows of an endpoint.
func (c *Client) ExplainEndpoint(ctx context.Context, name string) ([]byte, error) {
	return c.raw(ctx, "/operator/explain/endpoint/"+url.PathEscape(name))
}

// WaitInForce waits until every data centre has the head in force, or ctx ends:
// then it returns the last status and the context's error.
func (c *Client) WaitInForce(ctx context.Context, head uint64) (Status, error) {
	for {
		s, err := c.Status(ctx)
		if err == nil && IsInForce(s, head) {
			return s, nil
		}
		select {
		case <-ctx.Done():
			return s, ctx.Err()
		case <-time.After(waitInterval):
		}
	}
}

// IsInForce says whether every data centre has the head in force.
func IsInForce(s Status, head uint64) bool {
	for _, dc := range s.DataCentres {
		if !dc.Known || dc.InForce < head {
			return false
		}
	}
	return len(s.DataCentres) > 0
}

type response struct {
	status int
	body   []byte
}

func (c *Client) get(ctx context.Context, path string, into any) error {
	body, err := c.raw(ctx, path)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(body, into), path)
}

func (c *Client) raw(ctx context.Context, path string) ([]byte, error) {
	resp, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	if resp.status != http.StatusOK {
		return nil, &StatusError{Status: resp.status, Body: string(resp.body)}
	}
	return resp.body, nil
}

// do asks the instances in turn until one answers. A note is submitted to one
// instance only: the second submission of an accepted note would be a conflict.
func (c *Client) do(ctx context.Context, method, path string, body []byte) (*response, error) {
	var last error
	for _, u := range c.URLs {
		resp, err := c.ask(ctx, method, u+path, body)
		if err == nil {
			return resp, nil
		}
		last = err
	}
	return nil, &UnreachableError{Err: last}
}

func (c *Client) ask(ctx context.Context, method, url string, body []byte) (*response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "operator request")
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, err
	}
	return &response{status: resp.StatusCode, body: answer}, nil
}
