package serve

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/contract"
	"redwingknot/note"
)

// hopHeaders belong to one connection or to this system and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Authorization", "Host",
}

// HeaderTeam tells a plain service which team calls; a caller can't set it.
const HeaderTeam = "X-Team"

// EndpointClients are the HTTP clients to endpoints.
type EndpointClients struct {
	Shared *http.Client // for calls that may be repeated
	// SingleUse is for calls that may not: each has a connection of its own, so that
	// a failure to connect proves that nothing was sent.
	SingleUse *http.Client
}

// NewEndpointClients returns clients with their own connections.
func NewEndpointClients() *EndpointClients {
	shared := http.DefaultTransport.(*http.Transport).Clone()
	shared.Proxy = nil
	shared.MaxIdleConns = 0
	shared.MaxIdleConnsPerHost = idleConnsPerEndpoint
	once := shared.Clone()
	once.DisableKeepAlives = true
	return &EndpointClients{Shared: &http.Client{Transport: shared}, SingleUse: &http.Client{Transport: once}}
}

// idleConnsPerEndpoint is the number of connections kept for the next requests.
const idleConnsPerEndpoint = 64

func (c *EndpointClients) of(i contract.Idempotency) *http.Client {
	if i == contract.NonIdempotent {
		return c.SingleUse
	}
	return c.Shared
}

// serviceCall is a checked call of a plain service.
type serviceCall struct {
	team    note.Team
	service note.Service
	call    note.Call
	class   contract.Class
	path    string // below the service, with its query
	header  http.Header
	body    []byte
}

// reply is a plain service's whole answer.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// ReplyTooLargeError reports an answer above the limit.
type ReplyTooLargeError struct{ Limit int64 }

// Error implements error.
func (e *ReplyTooLargeError) Error() string { return "the service's answer is larger than the limit" }

// findCall returns the call of svc that method and path name.
func findCall(svc note.Service, method, path string) (note.Call, bool) {
	for _, c := range svc.Calls {
		if c.Method == method && matchPath(c.Path, path) {
			return c, true
		}
	}
	return note.Call{}, false
}

// matchPath says whether path fits a pattern in which "{x}" is any one segment.
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

// send executes the call once at the endpoint with the given base URL.
func (c *serviceCall) send(ctx context.Context, client *http.Client, base, request string, limit int64) (*reply, error) {
	req, err := http.NewRequestWithContext(ctx, c.call.Method, strings.TrimSuffix(base, "/")+c.path, bytes.NewReader(c.body))
	if err != nil {
		return nil, errors.Wrap(err, "service call")
	}
	if c.call.Idempotency == contract.NonIdempotent {
		forbidReplay(req)
	}
	req.Header = c.header.Clone()
	for _, h := range hopHeaders {
		req.Header.Del(h)
	}
	req.Header.Set(HeaderTeam, c.team.Name)
	req.Header.Set(HeaderRequestID, request)
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "service call")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "service answer")
	}
	if int64(len(body)) > limit {
		return nil, &ReplyTooLargeError{Limit: limit}
	}
	return &reply{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

// forbidReplay keeps the transport from sending req a second time: it takes any
// request with an Idempotency-Key header for one that may be repeated, unless
// its body can't be read again.
func forbidReplay(req *http.Request) {
	req.GetBody = nil
	req.Body = io.NopCloser(struct{ io.Reader }{req.Body})
}

// write passes the reply to the caller.
func (p *reply) write(w http.ResponseWriter) {
	for name, values := range p.header {
		w.Header()[name] = values
	}
	for _, h := range hopHeaders {
		w.Header().Del(h)
	}
	w.Header().Del("Content-Length")
	w.WriteHeader(p.status)
	w.Write(p.body)
}

// parseServiceCall checks a call of a plain service against the configuration.
func parseServiceCall(s *note.State, t note.Team, service, method, path string) (*serviceCall, error) {
	svc, ok := s.Services[service]
	if !ok || svc.Kind != note.KindPlain {
		return nil, contract.Refuse(http.StatusNotFound, contract.ReasonUnknownService, "no plain service is named "+service)
	}
	if err := mayCall(t, service); err != nil {
		return nil, err
	}
	call, ok := findCall(svc, method, path)
	if !ok {
		return nil, contract.Refuse(http.StatusNotFound, contract.ReasonUnknownCall, "the service has no call "+method+" "+path)
	}
	return &serviceCall{team: t, service: svc, call: call, class: s.Classes[call.Class], path: path}, nil
}

// detached returns a context that outlives the caller's connection but not the
// request's deadline: the outcome of a dispatched call is recorded even if its
// caller has gone.
func detached(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	return context.WithDeadline(context.WithoutCancel(ctx), deadline)
}
