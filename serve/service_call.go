package serve

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/contract"
	"redwingknot/note"
	"redwingknot/upstream"
)

// strippedHeaders are not forwarded because they apply to one connection only or
// are meant for this system.
var strippedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Authorization", "Host",
}

// HeaderTeam tells a plain service which team the call is from. A value sent by
// the caller is overwritten.
const HeaderTeam = "X-Team"

// EndpointClients holds the HTTP clients for requests to endpoints.
type EndpointClients struct {
	Shared *http.Client // for idempotent calls; reuses connections
	// SingleUse is for non-idempotent calls. Each call uses a new connection, so that
	// a failure to connect proves that nothing was sent.
	SingleUse *http.Client
}

// NewEndpointClients returns clients with connection pools of their own.
func NewEndpointClients() *EndpointClients {
	shared := http.DefaultTransport.(*http.Transport).Clone()
	shared.MaxResponseHeaderBytes = upstream.MaxHeadBytes
	shared.Proxy = nil
	shared.DisableCompression = true // it would hide how a response is framed
	shared.MaxIdleConns = 0
	shared.MaxIdleConnsPerHost = idleConnsPerEndpoint
	singleUse := shared.Clone()
	singleUse.DisableKeepAlives = true
	return &EndpointClients{Shared: &http.Client{Transport: upstream.NewTransport(shared)}, SingleUse: &http.Client{Transport: upstream.NewTransport(singleUse)}}
}

// idleConnsPerEndpoint is the maximum number of idle connections per endpoint
// that are kept for reuse.
const idleConnsPerEndpoint = 64

// clientFor returns the client for calls of that idempotency.
func (c *EndpointClients) clientFor(i contract.Idempotency) *http.Client {
	if i == contract.NonIdempotent {
		return c.SingleUse
	}
	return c.Shared
}

// serviceCall is a validated call of a plain service.
type serviceCall struct {
	team    note.Team
	service note.Service
	spec    note.Call
	class   contract.Class
	path    string // path within the service, followed by the query
	header  http.Header
	body    []byte
}

// serviceReply is the complete HTTP response of a plain service to a call, which is
// also called the service's answer.
type serviceReply struct {
	status int
	header http.Header
	body   []byte
}

// ReplyTooLargeError reports that the body of a plain service's response is larger
// than Limit bytes.
type ReplyTooLargeError struct{ Limit int64 }

// Error implements error.
func (e *ReplyTooLargeError) Error() string { return "the service's answer is larger than the limit" }

// UnframedReplyError reports a plain service's response whose body has neither a length nor
// chunks: that its connection has ended does not show that it is whole.
type UnframedReplyError struct{ Status int }

// Error implements error.
func (e *UnframedReplyError) Error() string {
	return fmt.Sprintf("the service's answer of status %d has neither a length nor chunks", e.Status)
}

// findCall returns the configured call of svc that matches method and path.
func findCall(svc note.Service, method, path string) (note.Call, bool) {
	for _, c := range svc.Calls {
		if c.Method == method && matchPath(c.Path, path) {
			return c, true
		}
	}
	return note.Call{}, false
}

// matchPath reports whether path matches pattern. A segment such as "{x}" in the
// pattern matches any one segment that is not empty.
func matchPath(pattern, path string) bool {
	want := strings.Split(strings.Trim(pattern, "/"), "/")
	got := strings.Split(strings.Trim(path, "/"), "/")
	if len(want) != len(got) {
		return false
	}
	for i := range want {
		if isWildcard(want[i]) && got[i] != "" {
			continue
		}
		if want[i] != got[i] {
			return false
		}
	}
	return true
}

func isWildcard(segment string) bool {
	return strings.HasPrefix(segment, "{") && strings.HasSuffix(segment, "}")
}

// send makes one attempt at the call: it sends the call to the endpoint at baseURL,
// with attemptID as the request identifier, and returns the response. It returns a
// *ReplyTooLargeError if the body of the response exceeds limit bytes, and an
// *UnframedReplyError if a success does not say where its body ends.
func (c *serviceCall) send(ctx context.Context, client *http.Client, baseURL, attemptID string, limit int64) (*serviceReply, error) {
	req, err := http.NewRequestWithContext(ctx, c.spec.Method, strings.TrimSuffix(baseURL, "/")+c.path, bytes.NewReader(c.body))
	if err != nil {
		return nil, errors.Wrap(err, "service call")
	}
	if c.spec.Idempotency == contract.NonIdempotent {
		forbidReplay(req)
	}
	req.Header = c.header.Clone()
	for _, h := range strippedHeaders {
		req.Header.Del(h)
	}
	req.Header.Set(HeaderTeam, c.team.Name)
	req.Header.Set(HeaderRequestID, attemptID)
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "service call")
	}
	defer resp.Body.Close()
	if isUnframed(resp) && resp.StatusCode/100 == 2 {
		return nil, &UnframedReplyError{Status: resp.StatusCode}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "service answer")
	}
	if int64(len(body)) > limit {
		return nil, &ReplyTooLargeError{Limit: limit}
	}
	return &serviceReply{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

// isUnframed reports whether the body of a response ends with its connection.
func isUnframed(resp *http.Response) bool {
	return resp.ProtoMajor == 1 && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Request.Method != http.MethodHead
}

// forbidReplay prevents the HTTP transport from sending req a second time. The
// transport treats any request with an Idempotency-Key header as safe to retry,
// unless its body cannot be read again.
func forbidReplay(req *http.Request) {
	req.GetBody = nil
	req.Body = io.NopCloser(struct{ io.Reader }{req.Body})
}

// write writes the response to the caller, without the stripped headers.
func (r *serviceReply) write(w http.ResponseWriter) {
	for name, values := range r.header {
		w.Header()[name] = values
	}
	for _, h := range strippedHeaders {
		w.Header().Del(h)
	}
	w.Header().Del("Content-Length")
	w.WriteHeader(r.status)
	w.Write(r.body)
}

// parseServiceCall validates a call of a plain service by team t against
// configuration s. Errors are of type *contract.Refusal.
func parseServiceCall(s *note.State, t note.Team, service, method, path string) (*serviceCall, error) {
	svc, ok := s.Services[service]
	if !ok || svc.Kind != note.KindPlain {
		return nil, contract.Refuse(http.StatusNotFound, contract.ReasonUnknownService, "no plain service is named "+service)
	}
	if err := authorizeService(t, service); err != nil {
		return nil, err
	}
	call, ok := findCall(svc, method, path)
	if !ok {
		return nil, contract.Refuse(http.StatusNotFound, contract.ReasonUnknownCall, "the service has no call "+method+" "+path)
	}
	return &serviceCall{team: t, service: svc, spec: call, class: s.Classes[call.Class], path: path}, nil
}

// detachedContext returns a context that ends at the request's deadline or in End but
// not when the caller disconnects, so that the outcome of a call that was sent is
// recorded in any case.
func (s *Server) detachedContext(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, end := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(s.ended, func() { end(context.Cause(s.ended)) })
	ctx, cancel := context.WithDeadline(ctx, deadline)
	return ctx, func() {
		cancel()
		stop()
		end(nil)
	}
}
