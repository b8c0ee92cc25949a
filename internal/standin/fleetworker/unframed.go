package fleetworker

import (
	"net"
	"net/http"
)

// unframedWriter writes a response that has neither a length nor chunks, and ends with its
// connection. It implements http.ResponseWriter and http.Flusher.
type unframedWriter struct {
	conn   net.Conn
	header http.Header
	begun  bool
}

// unframe returns a writer to replace w if the response is to be unframed, and nil if not.
func (s *Server) unframe(w http.ResponseWriter, r *http.Request) (*unframedWriter, error) {
	if !s.isUnframed(r) {
		return nil, nil
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, err
	}
	return &unframedWriter{conn: conn, header: w.Header().Clone()}, nil
}

// Header implements http.ResponseWriter.
func (u *unframedWriter) Header() http.Header { return u.header }

// WriteHeader implements http.ResponseWriter. The status is always 200.
func (u *unframedWriter) WriteHeader(int) {
	if u.begun {
		return
	}
	u.begun = true
	// A failed write shows at the next one, and to the caller.
	_, _ = u.conn.Write([]byte("HTTP/1.1 200 OK\r\n"))
	_ = u.header.Write(u.conn)
	_, _ = u.conn.Write([]byte("\r\n"))
}

// Write implements http.ResponseWriter.
func (u *unframedWriter) Write(b []byte) (int, error) {
	u.WriteHeader(http.StatusOK)
	return u.conn.Write(b)
}

// Flush implements http.Flusher.
func (u *unframedWriter) Flush() {}

// reset makes the end of the connection a TCP reset.
func (u *unframedWriter) reset() {
	if c, ok := u.conn.(*net.TCPConn); ok {
		// A connection that is closed already is not reset.
		_ = c.SetLinger(0)
	}
}
