package link

import (
	"context"

	"google.golang.org/protobuf/proto"
)

// Caller makes calls to another process; *wire.Client is one.
type Caller interface {
	Call(ctx context.Context, method string, req, resp proto.Message) error
}
