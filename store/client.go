package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"redwingknot/engine"
)

// maxMessageBytes limits the size of a response that is not a block's content.
const maxMessageBytes = 4 << 20

// Client is the HTTP client of one store instance. It is safe for concurrent use.
type Client struct {
	url  string
	http *http.Client
}

// NewClient returns a client of the store at the URL base, such as
// http://10.0.0.7:7400. If h is nil, it uses http.DefaultClient.
func NewClient(base string, h *http.Client) *Client {
	if h == nil {
		h = http.DefaultClient
	}
	return &Client{url: base, http: h}
}

// URL returns the base URL of the store.
func (c *Client) URL() string { return c.url }

// Checksum returns the checksum with which blocks are sealed and verified, an
// xxHash64.
func Checksum(content []byte) uint64 { return xxhash.Sum64(content) }

// Put writes content at no more than rate bytes per second, 0 for no limit, and
// seals it. It ignores the length and checksum in ref and seals with those of
// content. After an error the block may exist, unsealed or sealed; it is usable
// only if Stat confirms it.
func (c *Client) Put(ctx context.Context, ref engine.BlockRef, content []byte, rate int64) (SealedBlock, error) {
	if err := c.Write(ctx, ref, content, rate); err != nil {
		return SealedBlock{}, err
	}
	ref.Length = int64(len(content))
	ref.Checksum = Checksum(content)
	return c.Seal(ctx, ref)
}

// Write writes content at no more than rate bytes per second, 0 for no limit,
// without sealing it.
func (c *Client) Write(ctx context.Context, ref engine.BlockRef, content []byte, rate int64) error {
	body := limitReader(ctx, bytes.NewReader(content), rate)
	req, err := c.newRequest(ctx, http.MethodPut, blockPath(ref), body)
	if err != nil {
		return err
	}
	req.ContentLength = int64(len(content))
	return c.do(req, "write", ref, nil)
}

// Seal makes a written block readable if its bytes have the length and checksum of
// ref; otherwise the store refuses with CodeMismatch.
func (c *Client) Seal(ctx context.Context, ref engine.BlockRef) (SealedBlock, error) {
	var sealed SealedBlock
	body, err := json.Marshal(SealRequest{Length: ref.Length, Checksum: ref.Checksum})
	if err != nil {
		return sealed, errors.Wrap(err, "encode seal request")
	}
	req, err := c.newRequest(ctx, http.MethodPost, blockPath(ref)+"/seal", bytes.NewReader(body))
	if err != nil {
		return sealed, err
	}
	err = c.do(req, "seal", ref, &sealed)
	return sealed, err
}

// Stat returns the store's confirmation of a sealed block. The store refuses if the
// block is freed or not sealed. A confirmation of another block or generation is a
// *CorruptError.
func (c *Client) Stat(ctx context.Context, ref engine.BlockRef) (SealedBlock, error) {
	var sealed SealedBlock
	req, err := c.newRequest(ctx, http.MethodGet, blockPath(ref)+"/seal", nil)
	if err != nil {
		return sealed, err
	}
	if err := c.do(req, "stat", ref, &sealed); err != nil {
		return sealed, err
	}
	if sealed.Ref.Key != ref.Key || sealed.Ref.Generation != ref.Generation {
		return SealedBlock{}, &CorruptError{URL: c.url, Want: ref, GotGeneration: sealed.Ref.Generation}
	}
	return sealed, nil
}

// StatAll returns the store's confirmations of those blocks that are sealed, in the
// order of refs. The error is a *MalformedError if it confirms others.
func (c *Client) StatAll(ctx context.Context, refs []engine.BlockRef) ([]SealedBlock, error) {
	body, err := json.Marshal(StatRequest{Refs: refs})
	if err != nil {
		return nil, errors.Wrap(err, "encode stat request")
	}
	req, err := c.newRequest(ctx, http.MethodPost, "/v1/stat", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	var answer StatResponse
	if err := c.do(req, "stat", engine.BlockRef{}, &answer); err != nil {
		return nil, err
	}
	if err := c.checkStat(refs, answer.Blocks); err != nil {
		return nil, err
	}
	return answer.Blocks, nil
}

// checkStat returns a *MalformedError unless blocks are some of those that refs name, in their
// order.
func (c *Client) checkStat(refs []engine.BlockRef, blocks []SealedBlock) error {
	for _, b := range blocks {
		i := slices.IndexFunc(refs, func(ref engine.BlockRef) bool { return ref.Key == b.Ref.Key })
		if i < 0 {
			return &MalformedError{URL: c.url, Op: "stat", Key: b.Ref.Key}
		}
		refs = refs[i+1:]
	}
	return nil
}

// Get reads a block at no more than rate bytes per second, 0 for no limit. The
// store holds a read grant on the block while it sends. Get returns a *CorruptError
// if generation, length or checksum differ from those of ref.
func (c *Client) Get(ctx context.Context, ref engine.BlockRef, rate int64) ([]byte, error) {
	req, err := c.newRequest(ctx, http.MethodGet, blockPath(ref), nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &UnreachableError{URL: c.url, Op: "read", Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, c.newResponseError(resp, "read", ref)
	}
	content, err := readContent(limitReader(ctx, resp.Body, rate), ref.Length)
	if err != nil {
		return nil, &UnreachableError{URL: c.url, Op: "read", Err: err}
	}
	return c.verifyContent(ref, resp.Header.Get(HeaderGeneration), content)
}

// readContent reads at most one byte more than length, which is enough to detect
// that a block is too long.
func readContent(r io.Reader, length int64) ([]byte, error) {
	buf := bytes.NewBuffer(make([]byte, 0, length+bytes.MinRead))
	_, err := io.Copy(buf, io.LimitReader(r, length+1))
	return buf.Bytes(), err
}

// verifyContent returns content if it is what ref describes, or a *CorruptError.
func (c *Client) verifyContent(ref engine.BlockRef, generationHeader string, content []byte) ([]byte, error) {
	gotGeneration, _ := strconv.ParseUint(generationHeader, 10, 64)
	sum := Checksum(content)
	if gotGeneration != ref.Generation || int64(len(content)) != ref.Length || sum != ref.Checksum {
		return nil, &CorruptError{URL: c.url, Want: ref, GotGeneration: gotGeneration, GotLength: int64(len(content)), GotChecksum: sum}
	}
	return content, nil
}

// Free removes a block; the store answers after the read grants on it have ended.
// The store refuses new reads as soon as the request arrives, even if the caller
// doesn't wait for the response.
func (c *Client) Free(ctx context.Context, ref engine.BlockRef) (FreeResponse, error) {
	var freed FreeResponse
	req, err := c.newRequest(ctx, http.MethodDelete, blockPath(ref), nil)
	if err != nil {
		return freed, err
	}
	err = c.do(req, "free", ref, &freed)
	return freed, err
}

// List returns a page of the sealed blocks whose keys begin with prefix and sort
// after the key after; an empty after starts at the first key. Pages that go back to keys
// before are refused, so that whoever reads all pages comes to an end.
func (c *Client) List(ctx context.Context, prefix, after string) (Listing, error) {
	var l Listing
	query := url.Values{"prefix": {prefix}, "after": {after}}
	req, err := c.newRequest(ctx, http.MethodGet, "/v1/blocks?"+query.Encode(), nil)
	if err != nil {
		return l, err
	}
	if err := c.do(req, "list", engine.BlockRef{}, &l); err != nil {
		return Listing{}, err
	}
	for _, b := range l.Blocks {
		if b.Ref.Key <= after || !strings.HasPrefix(b.Ref.Key, prefix) {
			return Listing{}, &MalformedError{URL: c.url, Op: "list", Key: b.Ref.Key}
		}
	}
	return l, nil
}

// Status returns the epoch and the capacity of the store.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	req, err := c.newRequest(ctx, http.MethodGet, "/v1/status", nil)
	if err != nil {
		return s, err
	}
	err = c.do(req, "status", engine.BlockRef{}, &s)
	return s, err
}

func blockPath(ref engine.BlockRef) string {
	return "/v1/blocks/" + url.PathEscape(ref.Key) + "/" + strconv.FormatUint(ref.Generation, 10)
}

// newRequest returns a request for path at the store.
func (c *Client) newRequest(ctx context.Context, method, path string, body io.Reader) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.url+path, body)
	if err != nil {
		return nil, &UnreachableError{URL: c.url, Op: method, Err: err}
	}
	return req, nil
}

// do sends req and decodes a successful response into out, unless out is nil.
func (c *Client) do(req *http.Request, op string, ref engine.BlockRef, out any) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return &UnreachableError{URL: c.url, Op: op, Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return c.newResponseError(resp, op, ref)
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxMessageBytes)).Decode(out); err != nil {
		return &UnreachableError{URL: c.url, Op: op, Err: err}
	}
	return nil
}

// newResponseError returns the error of an unsuccessful response: a *RefusedError if
// its body is a Problem, otherwise a *StatusError.
func (c *Client) newResponseError(resp *http.Response, op string, ref engine.BlockRef) error {
	var p Problem
	err := json.NewDecoder(io.LimitReader(resp.Body, maxMessageBytes)).Decode(&p)
	if err != nil || p.Code == "" {
		return &StatusError{URL: c.url, Op: op, Status: resp.StatusCode}
	}
	return &RefusedError{URL: c.url, Op: op, Key: ref.Key, Generation: ref.Generation, Code: p.Code, Detail: p.Detail}
}

// HasCode reports whether err is a store's refusal with the given code.
func HasCode(err error, code RefusalCode) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Code == code
}

// IsRefusal reports whether err is a store's refusal, as opposed to an
// *UnreachableError, a *StatusError or a *CorruptError.
func IsRefusal(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused)
}
