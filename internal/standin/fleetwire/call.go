package fleetwire

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"redwingknot/internal/standin/fleetworker"
)

// Call describes a request of a caller.
type Call struct {
	Attempt string
	Method  string
	Host    string
	Path    string
	Body    string
	Token   string        // bearer token, empty for none
	Timeout time.Duration // time within which the caller wants the answer
	Prompt  *Prompt       // nil for calls to applications
	Resume  *Resumption   // nil for calls that take up no stream
}

// Resumption describes the stream that a call takes up.
type Resumption struct {
	Attempt   string // attempt that brought its first event
	LastEvent int    // ID of the last event that the caller has received
}

// Prompt describes the prompt of a call to an engine.
type Prompt struct {
	Model         string
	Input, Output int      // number of tokens of the prompt and of the answer
	Parts         []string // parts of the prompt, each as identifier:tokens
}

// Request returns the call as an HTTP request. The request has no GetBody, so
// that net/http doesn't retry it by itself.
func (c *Call) Request() (*http.Request, error) {
	req, err := http.NewRequest(c.Method, "http://"+c.Host+c.Path, strings.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Header.Set("Attempt-Id", c.Attempt)
	req.Header.Set("Deadline-Ms", fmt.Sprint(c.Timeout.Milliseconds()))
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	if c.Resume != nil {
		req.Header.Set("Resumes", c.Resume.Attempt)
		req.Header.Set("Last-Event-Id", strconv.Itoa(c.Resume.LastEvent))
	}
	if p := c.Prompt; p != nil {
		req.Header.Set("Model", p.Model)
		req.Header.Set("Token-Count", fmt.Sprintf("%d,%d", p.Input, p.Output))
		req.Header.Set("Prompt-Prefix", strings.Join(p.Parts, ","))
	}
	return req, nil
}

// IsResponseTo reports whether a response with the header h comes from a fake
// endpoint, as its stamp shows, and belongs to the attempt.
func IsResponseTo(h http.Header, attempt string) bool {
	return h.Get("Response-Stamp") == fleetworker.ResponseStamp && h.Get("Attempt-Id") == attempt
}
