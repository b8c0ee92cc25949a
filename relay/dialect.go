package relay

import (
	"net/http"
	"time"
)

// Part is a piece of a prompt that requests share by its identifier.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes the prompt of a model request.
type Prompt struct {
	Model  string
	Parts  []Part // in order; those before the last are shared
	Input  int    // tokens of the whole prompt
	Output int    // most tokens to generate
}

// Shared returns the number of tokens in the parts that other requests may
// bring as well.
func (p *Prompt) Shared() int {
	n := 0
	for _, part := range p.Parts {
		n += part.Tokens
	}
	return min(n, p.Input)
}

// Call is what the relay needs of a caller's headers.
type Call struct {
	AttemptID string
	Budget    time.Duration // that the caller waits; 0 if not told
	Token     string        // of the caller's team, empty without one
	Prompt    *Prompt       // nil for plain requests
	LastEvent int64         // the last event that the caller has, -1 without one
}

// Dispatch is what an attempt tells an endpoint.
type Dispatch struct {
	Endpoint   string        // identifier of the only endpoint that may run it
	Budget     time.Duration // left for the work
	Team       string        // empty on public routes
	Priority   int           // 0 is the most urgent
	LastEvent  int64         // resume after this event, -1 from the start
	Weights    int64         // version that must run it, 0 if any
	Partition  string        // of the cache: prompts of different partitions share nothing
	Fetch      []string      // for each part, the address to fetch it from, or empty
	FetchUntil int64         // on the endpoints' clock in ms, after which a fetch is thrown away
	Save       []string      // for each part, the store to save it to, or empty
	Model      bool          // a model request: the cache and priority fields hold
}

// Reply is what the relay needs of an endpoint's answer.
type Reply struct {
	AttemptID string
	NotRun    bool   // the endpoint states that it did not run the request
	Moved     bool   // another endpoint or other weights answer here
	Signed    bool   // bears the mark of an endpoint's own answer
	Weights   int64  // version that ran it, 0 if not told
	Endpoint  string // identifier of the endpoint, if told
}

// Dialect translates between the headers on the wire and the relay's types.
type Dialect interface {
	ParseCall(h http.Header) (Call, error)
	// AppendHeaders appends the caller's headers that go on to endpoints.
	AppendHeaders(dst []byte, h http.Header) []byte
	// AppendDispatch appends the headers that the system sets itself.
	AppendDispatch(dst []byte, d *Dispatch) []byte
	ParseReply(status int, h http.Header) Reply
	// CopyReply copies those of an endpoint's headers that go on to the caller.
	CopyReply(dst, src http.Header)
	// SetRetryAfter tells when a caller should come back.
	SetRetryAfter(h http.Header, d time.Duration)
}
