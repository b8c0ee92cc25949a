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

// statusPollInterval is the time between two status requests of WaitInForce.
const statusPollInterval = 100 * time.Millisecond

// maxResponseBytes is the number of bytes after which the body of a response is cut
// off.
const maxResponseBytes = 16 << 20

// Client calls the operator API of the entry instances of a deployment. It tries the
// instances in order and uses the first one that answers.
type Client struct {
	URLs  []string // base URLs of the entry instances
	Token string   // operators' token
	HTTP  *http.Client
}

// StatusError reports a response with an unexpected status or with a body that
// can't be decoded.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, strings.TrimSpace(e.Body))
}

// UnreachableError reports that no instance answered. Err is the error of the last
// instance tried.
type UnreachableError struct{ Err error }

// Error implements error.
func (e *UnreachableError) Error() string { return fmt.Sprintf("no instance answers: %v", e.Err) }

// Unwrap returns the error of the last instance tried.
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

// Status returns the state of the deployment as the answering instance knows it.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.getJSON(ctx, "/operator/status", &s)
	return s, err
}

// SubmitNote submits a release note and returns its number. base is the head that the
// note was written against. If an instance answers with a NoteAnswer that does not
// confirm the note, the error is a *NoteError; in its Answer, Unknown is set if the note
// may have been accepted all the same.
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

// Note returns the text of the accepted note with the given number.
func (c *Client) Note(ctx context.Context, number string) ([]byte, error) {
	return c.getBody(ctx, "/operator/notes/"+url.PathEscape(number))
}

// ExplainRequest returns the trace of a request as JSON. Only the instance that
// served the request has its trace, so ExplainRequest asks the instances one after
// another until one returns it. If none does, it returns the error of the last.
func (c *Client) ExplainRequest(ctx context.Context, id string) ([]byte, error) {
	var lastErr error
	for _, u := range c.URLs {
		single := Client{URLs: []string{u}, Token: c.Token, HTTP: c.HTTP}
		body, err := single.getBody(ctx, "/operator/explain/request/"+url.PathEscape(id))
		if err == nil {
			return body, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

// ExplainEndpoint returns the EndpointStatus of an endpoint as JSON, as the answering
// instance knows it.
func (c *Client) ExplainEndpoint(ctx context.Context, name string) ([]byte, error) {
	return c.getBody(ctx, "/operator/explain/endpoint/"+url.PathEscape(name))
}

// WaitInForce waits until every data centre has the head in force and returns the
// status. If ctx ends first, it returns the last status and the context's error.
func (c *Client) WaitInForce(ctx context.Context, head uint64) (Status, error) {
	for {
		s, err := c.Status(ctx)
		if err == nil && IsInForce(s, head) {
			return s, nil
		}
		select {
		case <-ctx.Done():
			return s, ctx.Err()
		case <-time.After(statusPollInterval):
		}
	}
}

// IsInForce reports whether every data centre of s is known to have the head or a later
// one in force. It returns false if s lists no data centre.
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

// getJSON requests path and decodes the JSON body of the response into v.
func (c *Client) getJSON(ctx context.Context, path string, v any) error {
	body, err := c.getBody(ctx, path)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(body, v), path)
}

// getBody requests path and returns the body of the response. A status other than
// 200 is a *StatusError.
func (c *Client) getBody(ctx context.Context, path string) ([]byte, error) {
	resp, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	if resp.status != http.StatusOK {
		return nil, &StatusError{Status: resp.status, Body: string(resp.body)}
	}
	return resp.body, nil
}

// do sends a request to the instances in order until one answers. The first answer
// counts, whatever its status, so that a note whose submission was answered is not
// submitted again to another instance: the second submission of an accepted note would
// be a conflict.
func (c *Client) do(ctx context.Context, method, path string, body []byte) (*response, error) {
	var lastErr error
	for _, u := range c.URLs {
		resp, err := c.send(ctx, method, u+path, body)
		if err == nil {
			return resp, nil
		}
		lastErr = err
	}
	return nil, &UnreachableError{Err: lastErr}
}

// send sends a request to one instance and reads the response.
func (c *Client) send(ctx context.Context, method, url string, body []byte) (*response, error) {
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
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	return &response{status: resp.StatusCode, body: respBody}, nil
}
