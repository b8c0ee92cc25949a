package metastore

import (
	"context"
	"encoding/json"
	"io"
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
	responses := json.NewDecoder(body)
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
func awaitCreated(info callInfo, responses *json.Decoder) error {
	var first watchResponse
	if err := responses.Decode(&first); err != nil {
		return info.unknownOutcomeError(err)
	}
	if first.Result == nil || first.Result.Canceled || !first.Result.Created {
		return info.refusedError(CauseInvalid)
	}
	return nil
}

// forwardEvents sends the events of the watch to changes until the stream breaks,
// the service cancels the watch or ctx ends.
func forwardEvents(ctx context.Context, body io.Closer, responses *json.Decoder, changes chan<- Change) {
	defer close(changes)
	defer body.Close()
	for {
		var res watchResponse
		if responses.Decode(&res) != nil || res.Result == nil || res.Result.Canceled {
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
