package relay

import (
	"net/http"
	"time"

	"redwingknot/fleet"
)

// Part is a contiguous part of a prompt. Parts of different prompts with the same
// identifier are the same.
type Part struct {
	ID     string
	Tokens int // length in tokens
}

// Prompt describes the prompt of a model request.
type Prompt struct {
	Model           string
	Parts           []Part // in order; all but the last may be shared with other requests
	InputTokens     int    // length of the whole prompt in tokens
	MaxOutputTokens int    // maximum number of tokens to generate
}

// PartTokens returns the number of tokens in all parts, at most
// InputTokens.
func (p *Prompt) PartTokens() int {
	n := 0
	for _, part := range p.Parts {
		n += part.Tokens
	}
	return min(n, p.InputTokens)
}

// Call holds the data that the relay needs from a caller's request headers.
type Call struct {
	AttemptID   string
	Budget      time.Duration // how long the caller waits for the response; 0 if not stated
	Token       string        // the caller's team token, empty without one
	Prompt      *Prompt       // nil for plain requests
	LastEventID int64         // identifier of the last event that the caller has received, -1 without one
	// ResumedAttempt is the identifier of the attempt that brought the caller the first event
	// of the stream that it takes up, empty if it takes up none.
	ResumedAttempt string
}

// Resumes reports whether the caller takes up a stream of which it has got events.
func (c *Call) Resumes() bool { return c.LastEventID >= 0 || c.ResumedAttempt != "" }

// Dispatch holds the data that the relay sends to an endpoint with an attempt.
type Dispatch struct {
	EndpointID     string        // identifier of the only endpoint that may execute the request
	Budget         time.Duration // time left until the deadline
	Team           string        // empty on public routes
	Priority       int           // 0 is the most urgent
	LastEventID    int64         // identifier of the event after which to resume, -1 to start at the beginning
	WeightsVersion int64         // weights version that must execute the request, 0 for any
	Partition      string        // cache partition: prompts of different partitions share nothing
	FetchAddresses []string      // for each part, the address to fetch it from, or empty
	FetchUntil     int64         // time in ms on the endpoints' clock after which a fetch is discarded
	SaveAddresses  []string      // for each part, the store to save it to, or empty
	ModelRequest   bool          // a model request: the cache and priority fields apply
	MovedFrom      string        // address of the endpoint at which the run stopped that the request continues, empty if it continues none
	Handle         string        // identifies the memory of that run
}

// Reply holds the data that the relay needs from an endpoint's response headers.
type Reply struct {
	AttemptID      string
	NotExecuted    bool         // the endpoint states that it did not execute the request
	Misdirected    bool         // another endpoint or another weights version responds at the address
	Stamped        bool         // the response bears the stamp of an endpoint's own response
	WeightsVersion int64        // weights version that executed the request, 0 if not stated
	EndpointID     string       // identifier of the endpoint, empty if not stated
	Notice         fleet.Notice // what the response says about further requests
	// NoticeErr is the error of a header that would be part of Notice but can't be
	// decoded; it is ignored then. It is nil if there is none.
	NoticeErr error
}

// Dialect translates between HTTP headers and the relay's types.
type Dialect interface {
	MoveDialect
	IncarnationDialect
	// ParseCall parses a caller's request headers. It returns an error if one of
	// them is malformed.
	ParseCall(h http.Header) (Call, error)
	// AppendCallHeaders appends those of a caller's headers that are forwarded to
	// endpoints.
	AppendCallHeaders(dst []byte, h http.Header) []byte
	// AppendDispatchHeaders appends the headers that the relay itself sets.
	AppendDispatchHeaders(dst []byte, d *Dispatch) []byte
	// ParseReply parses an endpoint's response status and headers.
	ParseReply(status int, h http.Header) Reply
	// CopyReplyHeaders copies those of an endpoint's headers that are forwarded to the
	// caller.
	CopyReplyHeaders(dst, src http.Header)
	// SetRetryAfter sets the header that states after how long the caller should
	// retry.
	SetRetryAfter(h http.Header, d time.Duration)
}
