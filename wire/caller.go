package wire

import (
	"context"

	"google.golang.org/protobuf/proto"
)

// Caller makes calls to one process: a *Client to a remote process, a *Server to
// its own process without a connection.
type Caller interface {
	Call(ctx context.Context, method string, req, resp proto.Message) error
}

var (
	_ Caller = (*Client)(nil)
	_ Caller = (*Server)(nil)
)
