package engine_test

import (
	"fmt"
	"io"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"redwingknot/engine"
	"redwingknot/upstream/upstreamtest"
)

// framings are the ways in which a response says where its body ends.
var framings = map[string]func(body string) string{
	"length": func(body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	},
	"chunks": func(body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	},
	"connection": func(body string) string { return "HTTP/1.1 200 OK\r\n\r\n" + body },
}

// eachBreak calls f with a client of an engine whose response with the given body breaks off after
// each byte. wholeBody says that all bytes of the body have arrived, if not the end of the chunks.
func eachBreak(body string, f func(c *engine.Client, name string, inHead, wholeBody bool)) {
	for framing, frame := range framings {
		response := frame(body)
		bodyEnd := len(response)
		if framing == "chunks" {
			bodyEnd -= len("\r\n0\r\n\r\n")
		}
		upstreamtest.Prefixes(response, func(prefix string, inHead bool) {
			client := upstreamtest.NewClient(prefix)
			defer client.CloseIdleConnections()
			f(engine.NewClient("http://engine", client), fmt.Sprintf("%s, %q", framing, prefix), inHead, len(prefix) >= bodyEnd)
		})
	}
}

// TestResponseThatIsBrokenOffIsNoReport breaks off the responses of an engine after each byte.
func TestResponseThatIsBrokenOffIsNoReport(t *testing.T) {
	for _, c := range []struct {
		name string
		body string
		call func(c *engine.Client) error
	}{
		{"report", `{"Epoch":"e","Running":8}`, func(c *engine.Client) error {
			_, err := c.Report(t.Context())
			return err
		}},
		{"events", `{"Epoch":"e","Last":7}`, func(c *engine.Client) error {
			_, err := c.Events(t.Context(), 7)
			return err
		}},
		{"import", `{"Imported":7}`, func(c *engine.Client) error {
			_, err := c.Import(t.Context(), engine.Transfer{})
			return err
		}},
		{"order", `{}`, func(c *engine.Client) error { return c.Order(t.Context(), engine.Order{}) }},
	} {
		eachBreak(c.body, func(client *engine.Client, name string, inHead, wholeBody bool) {
			if !inHead && (c.name == "order" || wholeBody) {
				return // the status, or the whole message, has arrived
			}
			assert.Check(t, c.call(client) != nil, "%s: %s", c.name, name)
		})
	}
}

// TestStreamThatIsBrokenOffIsNotWhole breaks off an engine's stream after each byte of its head and
// of its events.
func TestStreamThatIsBrokenOffIsNotWhole(t *testing.T) {
	const marker = "data: [DONE]"
	const body = `data: {"id":"a","offset":0,"choices":[{"delta":{"content":"x"},"finish_reason":"stop"}]}` + "\n\n" + marker + "\n\n"
	eachBreak(body, func(client *engine.Client, name string, inHead, wholeBody bool) {
		s, err := client.Generate(t.Context(), engine.GenerateRequest{AttemptID: "a"})
		assert.Equal(t, err != nil, inHead, "%s: %v", name, err)
		frames := 0
		for err == nil {
			if _, err = s.Next(); err == nil {
				frames++
			}
		}
		atEnd := errors.Is(err, io.EOF) && !inHead
		assert.Check(t, !atEnd || frames == 1, "%s: %d frames", name, frames)
	})
}
