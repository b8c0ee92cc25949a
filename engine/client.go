package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Headers of the requests that an entry instance sends to an engine.
const (
	HeaderAttemptID     = "X-Attempt-Id"     // ID of one attempt; the engine repeats it in every frame
	HeaderModel         = "X-Model"          // wanted model; the engine refuses the request if it has loaded another
	HeaderWeightVersion = "X-Weight-Version" // wanted weight version; the engine refuses the request if it has loaded another
	HeaderAdapter       = "X-Adapter"        // wanted adapter as name@version, absent for none; the engine refuses the request if it does not have it
	HeaderBlockKeys     = "X-Block-Keys"     // block keys of the full pieces of the prompt, separated by commas
	HeaderPriority      = "X-Priority"       // requests with a larger number run first
	HeaderResumeOffset  = "X-Resume-Offset"  // number of tokens that the caller already has
)

// maxMessageBytes limits the body of a successful response, the largest of which lists the
// runs of an engine.
const maxMessageBytes = 4 << 20

// maxDetailBytes limits how much of an engine's error text is read and kept.
const maxDetailBytes = 512

// Client is the HTTP client of one engine. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

var _ Engine = (*Client)(nil)

// NewClient returns a client of the engine at the URL base that sends its requests
// through h.
func NewClient(base string, h *http.Client) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), http: h}
}

// maxReported bounds the numbers of requests and tokens in a report, so that sums of them fit
// into the messages between instances. It is about a thousand times the memory of an engine.
const maxReported = 1 << 27

// Report implements Engine. It sets At to the time at which the request was sent.
func (c *Client) Report(ctx context.Context) (Report, error) {
	var r Report
	requestedAt := time.Now()
	if err := c.sendJSON(ctx, http.MethodGet, "/report", nil, &r); err != nil {
		return Report{}, err
	}
	for _, n := range []int{r.Running, r.Waiting, r.QueuedTokens} {
		if n < 0 || n > maxReported {
			return Report{}, &InvalidReportError{Number: n}
		}
	}
	r.At = requestedAt
	return r, nil
}

// Order implements Engine.
func (c *Client) Order(ctx context.Context, o Order) error {
	return c.sendJSON(ctx, http.MethodPost, "/order", o, nil)
}

// Events implements Engine.
func (c *Client) Events(ctx context.Context, after uint64) (Events, error) {
	var e Events
	err := c.sendJSON(ctx, http.MethodGet, "/events?after="+strconv.FormatUint(after, 10), nil, &e)
	return e, err
}

// Export implements Engine.
func (c *Client) Export(ctx context.Context, t Transfer) error {
	return c.sendJSON(ctx, http.MethodPost, "/export", t, nil)
}

// ImportResult is the engine's response to an import.
type ImportResult struct {
	Imported int // see Engine.Import
}

// Import implements Engine.
func (c *Client) Import(ctx context.Context, t Transfer) (int, error) {
	var r ImportResult
	err := c.sendJSON(ctx, http.MethodPost, "/import", t, &r)
	return r.Imported, err
}

// Cancel implements Engine.
func (c *Client) Cancel(ctx context.Context, attempt string) error {
	return c.sendJSON(ctx, http.MethodPost, "/cancel?attempt="+url.QueryEscape(attempt), nil, nil)
}

// sendJSON sends in as JSON and decodes a successful response into out, unless out
// is nil. Status 409 gives a *FencedError, any other status outside 2xx a
// *StatusError.
func (c *Client) sendJSON(ctx context.Context, method, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, path)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, path)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, path)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusConflict {
		return decodeFencedError(resp.Body)
	}
	if resp.StatusCode/100 != 2 {
		return newStatusError(path, resp)
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxMessageBytes)).Decode(out), path)
}

// decodeFencedError returns the *FencedError in the body, or the error of decoding it.
func decodeFencedError(body io.Reader) error {
	e := &FencedError{}
	if err := json.NewDecoder(io.LimitReader(body, maxDetailBytes)).Decode(e); err != nil {
		return errors.Wrap(err, "decode refusal of an order")
	}
	return e
}

// newStatusError returns a *StatusError with the start of the body as its detail.
func newStatusError(op string, resp *http.Response) error {
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxDetailBytes))
	return &StatusError{Op: op, Status: resp.StatusCode, Detail: strings.TrimSpace(string(detail))}
}
