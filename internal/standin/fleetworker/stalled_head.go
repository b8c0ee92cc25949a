package fleetworker

import (
	"fmt"
	"io"
	"net/http"
	"path"
	"strconv"
	"strings"
)

// Prefixes of the last elements of paths. A number follows: the response stops after so many bytes
// of its head, and the connection ends with the process, or when the peer closes it.
const (
	StallFramedHead   = "stall-framed-"
	StallUnframedHead = "stall-unframed-"
)

// StalledHead returns the head that a response to an attempt at a path begins with, and how many
// bytes of it are written, at most all. The head is empty if the path asks for no such response.
func StalledHead(urlPath, attempt string) (head string, written int) {
	element := path.Base(urlPath)
	framing, number, isHead := "Content-Length: 1200\r\n", "", false
	if number, isHead = strings.CutPrefix(element, StallFramedHead); !isHead {
		framing = ""
		number, isHead = strings.CutPrefix(element, StallUnframedHead)
	}
	n, err := strconv.Atoi(number)
	if !isHead || err != nil || n < 0 {
		return "", 0
	}
	head = fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%s\r\n", headerAttempt, attempt, headerStamp, ResponseStamp, framing)
	return head, min(n, len(head))
}

// stallHead writes the beginning of a head if the path of the request asks for that, and waits for
// the end of the connection. It reports whether it has done so.
func (s *Server) stallHead(w http.ResponseWriter, r *http.Request) bool {
	head, written := StalledHead(r.URL.Path, r.Header.Get(headerAttempt))
	if head == "" {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	// Both end with the connection.
	_, _ = io.WriteString(conn, head[:written])
	_, _ = io.Copy(io.Discard, conn)
	return true
}
