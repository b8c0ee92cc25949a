package metastore

import "context"

// MaxValueBytes is the largest value that may be written, in bytes. It leaves
// room for the key and the encoding below the service's request limit of one
// megabyte.
const MaxValueBytes = 960 << 10

// RangeDeleter is implemented by a KV that can remove all keys with
// from <= key < to in one call.
type RangeDeleter interface {
	DeleteRange(ctx context.Context, p Purpose, from, to string) error
}
