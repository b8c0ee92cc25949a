package upstream

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
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
	// Each request needs a trace of its own: WithClientTrace adds the hooks of the caller's to it.
	w := &headWatch{}
	trace := &httptrace.ClientTrace{GotConn: w.gotConn, Got1xxResponse: w.gotInterim}
	res, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil || !joinsHeads(res) {
		return res, err
	}
	if info := w.conn.Load(); info != nil {
		info.Conn.Close() // what follows on it belongs to no request
	}
	res.Body.Close()
	return nil, &UnrelatedResponseError{Detail: joinedDetail}
}

// headWatch watches the heads that a request gets.
type headWatch struct {
	conn atomic.Pointer[httptrace.GotConnInfo] // on which the request was sent
}

func (w *headWatch) gotConn(info httptrace.GotConnInfo) { w.conn.Store(&info) }

// gotInterim fails the request if the head of an interim response goes on with another one.
func (w *headWatch) gotInterim(_ int, header textproto.MIMEHeader) error {
	if joinsHeads(&http.Response{Header: http.Header(header)}) {
		return &UnrelatedResponseError{Detail: joinedDetail}
	}
	return nil
}
