package metastore_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"redwingknot/metastore"
	"redwingknot/upstream/upstreamtest"
)

// framings are the ways in which a response says where its body ends, by the format of its head.
var framings = map[string]func(body string) string{
	"length": func(body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	},
	"chunks": func(body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	},
	"connection": func(body string) string { return "HTTP/1.1 200 OK\r\n\r\n" + body },
}

// TestResponseThatIsBrokenOffHasNoOutcome breaks off the response to each call after each byte: the
// call may have taken effect, and nothing is read.
func TestResponseThatIsBrokenOffHasNoOutcome(t *testing.T) {
	for _, c := range []struct {
		name string
		body string
		call func(c *metastore.Client) error
	}{
		{"get", `{"header":{"revision":"7"},"kvs":[{"key":"YQ==","value":"Yg==","mod_revision":"7"}]}`, func(c *metastore.Client) error {
			_, err := c.Get(t.Context(), purpose, "a")
			return err
		}},
		{"range", `{"header":{"revision":"7"}}`, func(c *metastore.Client) error {
			_, _, err := c.Range(t.Context(), purpose, "a", "b", 0)
			return err
		}},
		{"create", `{"header":{"revision":"7"},"succeeded":true}`, func(c *metastore.Client) error {
			_, err := c.Create(t.Context(), purpose, "a", nil, 0)
			return err
		}},
		{"delete", `{"header":{"revision":"7"},"deleted":"1"}`, func(c *metastore.Client) error {
			return c.Delete(t.Context(), purpose, "a", 0)
		}},
		{"grant", `{"ID":"9","TTL":"3"}`, func(c *metastore.Client) error {
			_, err := c.Grant(t.Context(), purpose, 1)
			return err
		}},
		{"keepalive", `{"result":{"ID":"9","TTL":"3"}}`, func(c *metastore.Client) error {
			_, err := c.KeepAlive(t.Context(), purpose, 9)
			return err
		}},
		{"revoke", `{}`, func(c *metastore.Client) error { return c.Revoke(t.Context(), purpose, 9) }},
		{"watch", `{"result":{"created":true}}`, func(c *metastore.Client) error {
			_, err := c.Watch(t.Context(), purpose, "a", "b", 0)
			return err
		}},
	} {
		for name, frame := range framings {
			call := func(bytes string) error {
				client := upstreamtest.NewClient(bytes)
				defer client.CloseIdleConnections()
				return c.call(metastore.NewClient(metastore.ClientOptions{URLs: []string{"http://store"}, HTTP: client}))
			}
			assert.NilError(t, call(frame(c.body)), c.name)
			upstreamtest.Prefixes(frame(c.body), func(prefix string, inHead bool) {
				err := call(prefix)
				if c.name == "watch" && !inHead && err == nil {
					return // its first message is whole, and no other follows
				}
				assert.Check(t, metastore.IsUnknownOutcome(err), "%s by %s: %v after %q", c.name, name, err, prefix)
			})
		}
	}
}

// TestWatchThatIsBrokenOffBringsWholeChanges breaks off the response to a watch after each byte.
func TestWatchThatIsBrokenOffBringsWholeChanges(t *testing.T) {
	const first = `{"result":{"created":true}}`
	const second = `{"result":{"events":[{"kv":{"key":"YQ==","value":"Yg==","mod_revision":"8"}}]}}`
	for n := range len(second) {
		client := upstreamtest.NewClient("HTTP/1.1 200 OK\r\n\r\n" + first + second[:n])
		c := metastore.NewClient(metastore.ClientOptions{URLs: []string{"http://store"}, HTTP: client})
		changes, err := c.Watch(t.Context(), purpose, "a", "b", 0)
		assert.NilError(t, err)
		for change := range changes {
			t.Errorf("after %q: %+v", second[:n], change)
		}
		client.CloseIdleConnections()
	}
}
