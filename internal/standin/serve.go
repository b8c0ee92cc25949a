// Package standin serves stand-ins: fakes of external systems that tests and the
// demo use.
package standin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const readHeaderTimeout = 5 * time.Second

// Serve serves h on the TCP address addr until ctx is done. It returns nil after
// ctx is done and an error if it can't listen or accept connections.
func Serve(ctx context.Context, addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	err = s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
