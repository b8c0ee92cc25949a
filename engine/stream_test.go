package engine

import (
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

const completeStream = `data: {"id":"a","offset":0,"choices":[{"delta":{"content":"x \"y\""},"finish_reason":null}]}

: a comment
data: {"id":"a","offset":1,"choices":[{"delta":{"content":"z"},"finish_reason":"stop"}]}

data: [DONE]
`

func TestStreamReadsFrames(t *testing.T) {
	s := NewStream(io.NopCloser(strings.NewReader(completeStream)), Weights{Version: "v1"})
	f, err := s.Next()
	assert.NilError(t, err)
	text, err := f.Text()
	assert.NilError(t, err)
	assert.Equal(t, text, `x "y"`)
	f, err = s.Next()
	assert.NilError(t, err)
	assert.Equal(t, f.FinishReason, "stop")
	assert.Equal(t, f.Offset, 1)
	_, err = s.Next()
	assert.Assert(t, errors.Is(err, io.EOF))
}

func TestStreamWithoutEndMarkerIsTruncated(t *testing.T) {
	s := NewStream(io.NopCloser(strings.NewReader(strings.TrimSuffix(completeStream, "data: [DONE]\n"))), Weights{Version: "v1"})
	var err error
	for err == nil {
		_, err = s.Next()
	}
	var truncated *TruncatedError
	assert.Assert(t, errors.As(err, &truncated))
}

// FuzzStream reads arbitrary response bodies: Next must report an end or an error
// for each, and io.EOF only if the body has the end marker.
func FuzzStream(f *testing.F) {
	for _, s := range []string{completeStream, "", "data:", "data: {}", "data: [DONE]", "data: {\"choices\":[{}]}\n"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, body string) {
		s := NewStream(io.NopCloser(strings.NewReader(body)), Weights{Version: "v1"})
		for range len(body) + 2 {
			frame, err := s.Next()
			if errors.Is(err, io.EOF) && !strings.Contains(body, doneMarker) {
				t.Fatal("io.EOF without an end marker")
			}
			if err != nil {
				return
			}
			frame.Text()
		}
		t.Fatal("more frames than bytes in the body")
	})
}
