package metastore

import (
	"context"
	"encoding/json"
	"io"
	"time"
)

// Watch implements KV. It returns once the service has confirmed the watch.
func (c *Client) Watch(ctx context.Context, p Purpose, from, to string, rev int64) (<-chan Change, error) {
	what := call{op: "watch", key: from, purpose: p, path: "/v3/watch"}
	req := watchRequest{Create: watchCreateRequest{Key: []byte(from), RangeEnd: []byte(to), StartRevision: int64String(rev + 1)}}
	ctx, cancel := context.WithCancel(ctx)
	expiry := time.AfterFunc(callTimeout, cancel) // of the confirmation only
	body, err := c.open(ctx, what, req)
	if err != nil {
		cancel()
		return nil, err
	}
	answers := json.NewDecoder(body)
	if err := confirm(what, answers); err != nil {
		body.Close()
		cancel()
		return nil, err
	}
	expiry.Stop()
	changes := make(chan Change)
	go func() {
		defer cancel()
		forward(ctx, body, answers, changes)
	}()
	return changes, nil
}

func confirm(what call, answers *json.Decoder) error {
	var first watchResponse
	if err := answers.Decode(&first); err != nil {
		return what.unknown(err)
	}
	if first.Result == nil || first.Result.Canceled || !first.Result.Created {
		return what.refused(CauseInvalid)
	}
	return nil
}

// forward passes changes on until the stream breaks, is cancelled or ctx ends.
func forward(ctx context.Context, body io.Closer, answers *json.Decoder, changes chan<- Change) {
	defer close(changes)
	defer body.Close()
	for {
		var res watchResponse
		if answers.Decode(&res) != nil || res.Result == nil || res.Result.Canceled {
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
