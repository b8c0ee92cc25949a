package block

import (
	"context"
	"time"

	"redwingknot/block/blockpb"
	"redwingknot/link"
	"redwingknot/store"
)

// Client makes calls to the homes of blocks. It is safe for concurrent use.
type Client struct {
	home func(Partition) link.Caller
}

// NewClient returns a client; home returns nil for a partition whose home is
// not in reach.
func NewClient(home func(Partition) link.Caller) *Client {
	return &Client{home: home}
}

// LookupResult is the outcome of a lookup: the blocks found, the state of stores, and
// the chances of a return of the class's prompts by the number of returns before.
type LookupResult struct {
	Found   []BlockLocation
	Stores  []StoreView
	Chances []float32
}

// Lookup asks the home of the chain for the blocks of q. All keys of q are of
// one chain, so that one call serves a prompt.
func (c *Client) Lookup(ctx context.Context, q Query, wantStores bool) (LookupResult, error) {
	if len(q.Keys) == 0 {
		return LookupResult{}, nil
	}
	home, err := c.homeOf(q.Keys[0])
	if err != nil {
		return LookupResult{}, err
	}
	req := &blockpb.LookupRequest{Class: q.Class, First: int32(q.First), GrantMs: q.GrantDuration.Milliseconds(), WantStores: wantStores}
	for i := range q.Keys {
		req.Fingerprints = append(req.Fingerprints, uint64(q.Keys[i].Fingerprint()))
	}
	var resp blockpb.LookupResponse
	if err := home.Call(ctx, methodLookup, req, &resp); err != nil {
		return LookupResult{}, err
	}
	return answerOf(q, &resp)
}

func answerOf(q Query, resp *blockpb.LookupResponse) (LookupResult, error) {
	a := LookupResult{Chances: resp.Chances}
	for _, s := range resp.Stores {
		a.Stores = append(a.Stores, StoreView{URL: s.Url, Down: s.Down, Used: s.Used, Total: s.Total, Price: s.Price})
	}
	for i, f := range resp.Found {
		if i >= len(q.Keys) || f.Store < 0 || int(f.Store) >= len(a.Stores) {
			return LookupResult{}, &MessageError{Method: methodLookup}
		}
		a.Found = append(a.Found, BlockLocation{
			Store: a.Stores[f.Store].URL, Key: q.Keys[i],
			Generation: f.Generation, Length: f.Length, Checksum: f.Checksum,
		})
	}
	return a, nil
}

// Publish announces sealed blocks of one chain at one store, the first of which
// is at position first, and returns how many were taken.
func (c *Client) Publish(ctx context.Context, url, class string, first int, blocks []store.SealedBlock) (int, error) {
	if len(blocks) == 0 {
		return 0, nil
	}
	req := &blockpb.PublishRequest{Store: url, Class: class, First: int32(first), Epoch: blocks[0].Epoch}
	for _, b := range blocks {
		if b.Epoch != req.Epoch {
			break
		}
		key, err := ParseKey(b.Ref.Key)
		if err != nil {
			return 0, err
		}
		req.Blocks = append(req.Blocks, &blockpb.Sealed{
			Key: key[:], Generation: b.Ref.Generation, Length: b.Ref.Length, Checksum: b.Ref.Checksum,
			Seq: b.Seq,
		})
	}
	home, err := c.homeOf(Key(req.Blocks[0].Key))
	if err != nil {
		return 0, err
	}
	var resp blockpb.PublishResponse
	err = home.Call(ctx, methodPublish, req, &resp)
	return int(resp.Published), err
}

// Reject reports a block that could not be read as the directory has it.
func (c *Client) Reject(ctx context.Context, l BlockLocation) error {
	home, err := c.homeOf(l.Key)
	if err != nil {
		return err
	}
	req := &blockpb.RejectRequest{Blocks: []*blockpb.Rejection{{Key: l.Key[:], Generation: l.Generation}}}
	return home.Call(ctx, methodReject, req, &blockpb.RejectResponse{})
}

func (c *Client) homeOf(k Key) (link.Caller, error) {
	if home := c.home(k.Partition()); home != nil {
		return home, nil
	}
	return nil, &NoHomeError{Partition: k.Partition()}
}

// callTimeout bounds a lookup: a request waits for it, and can be computed
// without.
const callTimeout = 100 * time.Millisecond
