package upstream

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// Transport is an http.RoundTripper for responses of other processes. It returns none whose head
// contains the status line of another response: it broke off, and the other one followed. It is
// safe for concurrent use.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport that sends requests by base.
func NewTransport(base *http.Transport) *Transport { return &Transport{base} }

// RoundTrip implements http.RoundTripper. The error is that of the http.Transport, or an
// *UnrelatedResponseError.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), newInterimTrace())))
	if err != nil || !joinsHeads(res) {
		return res, err
	}
	res.Body.Close()
	t.CloseIdleConnections() // what follows on the connection belongs to no request
	return nil, &UnrelatedResponseError{Detail: joinedDetail}
}

// newInterimTrace returns a trace that fails a request whose interim responses have such heads.
// Each request needs one of its own: WithClientTrace adds the hooks of the caller's trace to it.
func newInterimTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{Got1xxResponse: func(_ int, header textproto.MIMEHeader) error {
		if joinsHeads(&http.Response{Header: http.Header(header)}) {
			return &UnrelatedResponseError{Detail: joinedDetail}
		}
		return nil
	}}
}
