package fleetworker

import (
	"fmt"
	"io"
	"net/http"
)

// HeadFault is a way in which an endpoint writes the heads of its responses wrongly. The request
// has run, and the process goes on.
type HeadFault string

// The faults of heads.
const (
	HeadBreaks HeadFault = "head-breaks" // the head ends at any byte, with its connection
	HeadAlone  HeadFault = "head-alone"  // the head is whole, without length, chunks and body, and the connection ends
	HeadJoins  HeadFault = "head-joins"  // the head ends within a line, and another response follows
)

// headFaultOneIn is the share of responses that a fault of heads spoils.
const headFaultOneIn = 3

// AddHeadFault adds a fault of some of the responses until end is called.
func (s *Server) AddHeadFault(f HeadFault) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.headFaults[f]++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.headFaults[f]--
	}
}

// spoilHead writes a wrong response in place of the one to a request if a fault of heads spoils
// it. It reports whether it has done so.
func (s *Server) spoilHead(w http.ResponseWriter, r *http.Request) bool {
	h := attemptHash(r)
	response := s.spoiledHead(r, h)
	if response == "" {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, response) // fails if the caller has left
	return true
}

// spoiledHead returns what is written in place of the response to a request, empty if that is not
// spoiled. h is drawn at random.
func (s *Server) spoiledHead(r *http.Request, h int) string {
	if h%headFaultOneIn != 0 {
		return ""
	}
	h /= headFaultOneIn
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n", headerAttempt, r.Header.Get(headerAttempt), headerStamp, ResponseStamp)
	other := "Content-Length: 5\r\n\r\nother"
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.headFaults[HeadBreaks] > 0:
		framed := head + other[:len(other)-len("\r\nother")]
		return framed[:h%len(framed)]
	case s.headFaults[HeadAlone] > 0:
		return head + "\r\n"
	case s.headFaults[HeadJoins] > 0:
		return head[:len(head)-len(ResponseStamp)] + head + other
	}
	return ""
}
