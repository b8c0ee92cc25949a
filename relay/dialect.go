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
	Model           string
	Parts           []Part // in order; those before the last are shared
	InputTokens     int    // tokens of the whole prompt
	MaxOutputTokens int    // most tokens to generate
}

// PartTokens returns the number of tokens in the parts that other requests may
// bring as well.
func (p *Prompt) PartTokens() int {
	n := 0
	for _, part := range p.Parts {
		n += part.Tokens
	}
	return min(n, p.InputTokens)
}

// Call is what the relay needs of a caller's headers.
type Call struct {
	AttemptID   string
	Budget      time.Duration // that the caller waits; 0 if not told
	Token       string        // of the caller's team, empty without one
	Prompt      *Prompt       // nil for plain requests
	LastEventID int64         // the last event that the caller has, -1 without one
}

// Dispatch is what an attempt tells an endpoint.
type Dispatch struct {
	EndpointID     string        // identifier of the only endpoint that may run it
	Budget         time.Duration // left for the work
	Team           string        // empty on public routes
	Priority       int           // 0 is the most urgent
	LastEventID    int64         // resume after this event, -1 from the start
	WeightsVersion int64         // version that must run it, 0 if any
	Partition      string        // of the cache: prompts of different partitions share nothing
	FetchAddresses []string      // for each part, the address to fetch it from, or empty
	FetchUntil     int64         // on the endpoints' clock in ms, after which a fetch is thrown away
	SaveAddresses  []string      // for each part, the store to save it to, or empty
	ModelRequest   bool          // a model request: the cache and priority fields hold
}

// Reply is what the relay needs of an endpoint's answer.
type Reply struct {
	AttemptID      string
	NotExecuted    bool   // the endpoint states that it did not run the request
	Misdirected    bool   // another endpoint or other weights answer here
	Stamped        bool   // bears the mark of an endpoint's own answer
	WeightsVersion int64  // version that ran it, 0 if not told
	EndpointID     string // identifier of the endpoint, if told
}

// Dialect translates between the headers on the wire and the relay's types.
type Dialect interface {
	ParseCall(h http.Header) (Call, error)
	// AppendCallHeaders appends the caller's headers that go on to endpoints.
	AppendCallHeaders(dst []byte, h http.Header) []byte
	// AppendDispatchHeaders appends the headers that the system sets itself.
	AppendDispatchHeaders(dst []byte, d *Dispatch) []byte
	ParseReply(status int, h http.Header) Reply
	// CopyReplyHeaders copies those of an endpoint's headers that go on to the caller.
	CopyReplyHeaders(dst, src http.Header)
	// SetRetryAfter tells when a caller should come back.
	SetRetryAfter(h http.Header, d time.Duration)
}
