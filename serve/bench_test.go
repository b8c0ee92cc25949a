package serve

import (
	"io"
	"net/http"
	"strings"
	"testing"

	enginestandin "redwingknot/internal/standin/engine"
)

// BenchmarkChat measures a streamed answer of 8 tokens, including the time of the
// stand-in engine and of the caller.
func BenchmarkChat(b *testing.B) {
	f := newFixture(b, enginestandin.Options{}, enginestandin.Options{})
	body := chatJSON(strings.Repeat("word ", 400), true)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			req, err := http.NewRequest("POST", f.url+"/v1/chat/completions", strings.NewReader(body))
			if err != nil {
				b.Fatal(err)
			}
			req.Header.Set("Authorization", "Bearer "+teamToken)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				b.Fatal(err)
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	})
}
