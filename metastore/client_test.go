package metastore_test

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"

	"redwingknot/metastore"
)

// fixedResponse is an http.RoundTripper that returns the same response to every
// request.
type fixedResponse struct {
	status int
	body   []byte
}

func (r fixedResponse) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: r.status, Body: io.NopCloser(bytes.NewReader(r.body)), Header: http.Header{}}, nil
}

// FuzzGatewayResponses checks that no response makes the client panic, that every
// error is of one of the three types of KV, and that no call succeeds with an
// HTTP status of 500 or more.
func FuzzGatewayResponses(f *testing.F) {
	f.Add(200, []byte(`{"header":{"revision":"7"},"kvs":[{"key":"YQ==","value":"Yg==","mod_revision":"7"}],"count":"1"}`))
	f.Add(200, []byte(`{"header":{"revision":"7"},"succeeded":true}`))
	f.Add(200, []byte(`{"result":{"ID":"9","TTL":"3"}}`))
	f.Add(200, []byte(`{"result":{"created":true}}{"result":{"events":[{"kv":{"key":"YQ=="}}]}}`))
	f.Add(404, []byte(`{"code":5,"message":"requested lease not found"}`))
	f.Add(503, []byte(`<html>`))
	f.Add(200, []byte(`{"header":{"revision":"9999999999999999999"}}`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		if status < 100 || status > 999 {
			t.Skip()
		}
		c := metastore.NewClient(metastore.ClientOptions{
			URLs: []string{"http://127.0.0.1:1"},
			HTTP: &http.Client{Transport: fixedResponse{status, body}},
		})
		ctx := t.Context()
		var errs [6]error
		_, errs[0] = c.Get(ctx, purpose, "a")
		_, _, errs[1] = c.Range(ctx, purpose, "a", "b", 0)
		_, errs[2] = c.Create(ctx, purpose, "a", nil, 0)
		errs[3] = c.Delete(ctx, purpose, "a", 0)
		_, errs[4] = c.KeepAlive(ctx, purpose, 1)
		changes, err := c.Watch(ctx, purpose, "a", "b", 0)
		errs[5] = err
		if err == nil {
			for range changes {
			}
		}
		for i, err := range errs {
			var refused *metastore.RefusedError
			var notSent *metastore.NotSentError
			if err != nil && !errors.As(err, &refused) && !errors.As(err, &notSent) && !metastore.IsUnknownOutcome(err) {
				t.Errorf("call %d: %v", i, err)
			}
			if status >= 500 && err == nil {
				t.Errorf("call %d succeeded with HTTP %d", i, status)
			}
		}
	})
}
