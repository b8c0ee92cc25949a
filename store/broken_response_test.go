package store_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"redwingknot/engine"
	"redwingknot/store"
	"redwingknot/upstream/upstreamtest"
)

// TestResponseThatIsBrokenOffConfirmsNothing breaks off the responses of a store after each byte.
func TestResponseThatIsBrokenOffConfirmsNothing(t *testing.T) {
	content := testContent(40)
	ref := engine.BlockRef{Key: testKey, Generation: 3, Length: int64(len(content)), Checksum: store.Checksum(content)}
	sealed, err := json.Marshal(store.SealedBlock{Ref: ref, Epoch: "e", Seq: 1})
	assert.NilError(t, err)
	for _, c := range []struct {
		name   string
		header string
		body   string
		call   func(c *store.Client) error
	}{
		{"get", "Block-Generation: 3\r\n", string(content), func(c *store.Client) error {
			_, err := c.Get(t.Context(), ref, 0)
			return err
		}},
		{"stat", "", string(sealed), func(c *store.Client) error {
			_, err := c.Stat(t.Context(), ref)
			return err
		}},
		{"seal", "", string(sealed), func(c *store.Client) error {
			_, err := c.Seal(t.Context(), ref)
			return err
		}},
		{"stat of several", "", `{"blocks":[` + string(sealed) + `]}`, func(c *store.Client) error {
			_, err := c.StatAll(t.Context(), []engine.BlockRef{ref})
			return err
		}},
		{"list", "", `{"epoch":"e","seq":1,"blocks":[` + string(sealed) + `]}`, func(c *store.Client) error {
			_, err := c.List(t.Context(), "", "")
			return err
		}},
		{"free", "", `{"epoch":"e","seq":2}`, func(c *store.Client) error {
			_, err := c.Free(t.Context(), ref)
			return err
		}},
		{"status", "", `{"epoch":"e"}`, func(c *store.Client) error {
			_, err := c.Status(t.Context())
			return err
		}},
	} {
		call := func(bytes string) error {
			client := upstreamtest.NewClient(bytes)
			defer client.CloseIdleConnections()
			return c.call(store.NewClient("http://store", client))
		}
		for framing, response := range map[string]string{
			"length":     fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", c.header, len(c.body), c.body),
			"connection": "HTTP/1.1 200 OK\r\n" + c.header + "\r\n" + c.body,
		} {
			assert.NilError(t, call(response), "%s by %s", c.name, framing)
			upstreamtest.Prefixes(response, func(prefix string, _ bool) {
				err := call(prefix)
				assert.Check(t, err != nil, "%s by %s after %q", c.name, framing, prefix)
				assert.Check(t, !store.IsRefusal(err), "%s by %s after %q: %v", c.name, framing, prefix, err)
			})
		}
	}
}
