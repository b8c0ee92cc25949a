package block

import (
	"context"
	"time"

	"redwingknot/block/blockpb"
	"redwingknot/link"
	"redwingknot/store"
)

// Client makes calls to the home instances of partitions. It is safe for concurrent
// use.
type Client struct {
	homeCaller func(Partition) link.Caller
}

// NewClient returns a client of the homes of partitions. homeCaller returns the caller
// of a partition's home, nil if that home is not reachable.
func NewClient(homeCaller func(Partition) link.Caller) *Client {
	return &Client{homeCaller: homeCaller}
}

// LookupResult is the result of a lookup. If the lookup had wantStores set, Stores has the
// states of all stores, and Chances has the probabilities that a prompt of the class
// returns, by the number of earlier returns. Otherwise Stores has only the stores in
// Found, and Chances is empty.
type LookupResult struct {
	Found               []BlockLocation
	Stores              []StoreView
	ReturnProbabilities []float32
}

// Lookup asks the home of the chain for the blocks of q. All keys of q have to be of
// one chain, so that one call is enough for a prompt.
func (c *Client) Lookup(ctx context.Context, q Query, wantStores bool) (LookupResult, error) {
	if len(q.Keys) == 0 {
		return LookupResult{}, nil
	}
	home, err := c.callerFor(q.Keys[0])
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
	return decodeLookupResponse(q, &resp)
}

// decodeLookupResponse decodes the response to q. It returns a *MessageError if resp
// has more blocks than q has keys or names a store that it doesn't list.
func decodeLookupResponse(q Query, resp *blockpb.LookupResponse) (LookupResult, error) {
	result := LookupResult{ReturnProbabilities: resp.Chances}
	for _, s := range resp.Stores {
		result.Stores = append(result.Stores, StoreView{URL: s.Url, Down: s.Down, Used: s.Used, Total: s.Total, Price: s.Price})
	}
	for i, f := range resp.Found {
		if i >= len(q.Keys) || f.Store < 0 || int(f.Store) >= len(result.Stores) {
			return LookupResult{}, &MessageError{Method: methodLookup}
		}
		result.Found = append(result.Found, BlockLocation{
			Store: result.Stores[f.Store].URL, Key: q.Keys[i],
			Generation: f.Generation, Length: f.Length, Checksum: f.Checksum,
		})
	}
	return result, nil
}

// Publish publishes sealed blocks of one chain at one store to the chain's home, and
// returns how many the home accepted. The position of blocks[0] in the chain is first.
// If a block has another epoch than blocks[0], it and all blocks after it are left out.
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
	home, err := c.callerFor(Key(req.Blocks[0].Key))
	if err != nil {
		return 0, err
	}
	var resp blockpb.PublishResponse
	err = home.Call(ctx, methodPublish, req, &resp)
	return int(resp.Published), err
}

// Reject reports to the home that a block could not be read as the directory
// describes it.
func (c *Client) Reject(ctx context.Context, l BlockLocation) error {
	home, err := c.callerFor(l.Key)
	if err != nil {
		return err
	}
	req := &blockpb.RejectRequest{Blocks: []*blockpb.Rejection{{Key: l.Key[:], Generation: l.Generation}}}
	return home.Call(ctx, methodReject, req, &blockpb.RejectResponse{})
}

// callerFor returns the caller of the key's home, or a *NoHomeError.
func (c *Client) callerFor(k Key) (link.Caller, error) {
	if home := c.homeCaller(k.Partition()); home != nil {
		return home, nil
	}
	return nil, &NoHomeError{Partition: k.Partition()}
}

// callTimeout limits a lookup, because a request waits for it, and the engine can
// prefill the prompt without its result. It also limits the check of a block whose
// import failed.
const callTimeout = 100 * time.Millisecond
