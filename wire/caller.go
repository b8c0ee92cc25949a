package wire

import (
	"context"

	"google.golang.org/protobuf/proto"
)

// Caller makes calls to one process. *Client calls another process and *Server
// its own.
type Caller interface {
	Call(ctx context.Context, method string, req, resp proto.Message) error
}

var (
	_ Caller = (*Client)(nil)
	_ Caller = (*Server)(nil)
)
