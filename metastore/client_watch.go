package metastore

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// Watch implements KV. It returns once the service has confirmed that the watch
// was created.
func (c *Client) Watch(ctx context.Context, p Purpose, from, to string, rev int64) (<-chan Change, error) {
	info := callInfo{op: "watch", key: from, purpose: p, path: "/v3/watch"}
	req := watchRequest{Create: watchCreateRequest{Key: []byte(from), RangeEnd: []byte(to), StartRevision: int64String(rev + 1)}}
	ctx, cancel := context.WithCancel(ctx)
	createTimer := time.AfterFunc(callTimeout, cancel) // limits the wait for the confirmation, not the watch
	body, err := c.openResponse(ctx, info, req)
	if err != nil {
		cancel()
		return nil, err
	}
	limited := &messageReader{body: body}
	responses := &watchStream{decoder: json.NewDecoder(limited), limit: limited}
	if err := awaitCreated(info, responses); err != nil {
		body.Close()
		cancel()
		return nil, err
	}
	createTimer.Stop()
	changes := make(chan Change)
	go func() {
		defer cancel()
		forwardEvents(ctx, body, responses, changes)
	}()
	return changes, nil
}

// awaitCreated reads the first response and returns an error unless it confirms
// that the watch was created.
func awaitCreated(info callInfo, responses *watchStream) error {
	var first watchResponse
	if err := responses.next(&first); err != nil {
		return info.unknownOutcomeError(err)
	}
	if first.Result == nil || first.Result.Canceled || !first.Result.Created {
		return info.refusedError(CauseInvalid)
	}
	return nil
}

// forwardEvents sends the events of the watch to changes until the stream breaks,
// the service cancels the watch or ctx ends.
func forwardEvents(ctx context.Context, body io.Closer, responses *watchStream, changes chan<- Change) {
	defer close(changes)
	defer body.Close()
	for {
		var res watchResponse
		if responses.next(&res) != nil || res.Result == nil || res.Result.Canceled {
			return
		}
		for _, e := range res.Result.Events {
			select {
			case changes <- Change{Entry: e.Kv.entry(), Deleted: e.Type == eventDelete}:
			case <-ctx.Done():
				return
			}
		}
	}
}

// watchStream decodes the responses of a watch, each of which has at most maxResponseBytes.
type watchStream struct {
	decoder *json.Decoder
	limit   *messageReader
}

// next decodes the next response. The error is an *http.MaxBytesError if it is too large.
func (s *watchStream) next(res *watchResponse) error {
	s.limit.read = 0
	return s.decoder.Decode(res)
}

// messageReader reads from a body and limits the bytes of one message.
type messageReader struct {
	body io.Reader
	read int // bytes of the message
}

// Read implements io.Reader.
func (r *messageReader) Read(p []byte) (int, error) {
	if r.read >= maxResponseBytes {
		return 0, &http.MaxBytesError{Limit: maxResponseBytes}
	}
	n, err := r.body.Read(p)
	r.read += n
	return n, err
}
