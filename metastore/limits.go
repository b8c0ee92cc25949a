package metastore

import "context"

// MaxValueBytes is the largest value that may be written; it leaves room for
// the key and the encoding below the service's limit of a megabyte.
const MaxValueBytes = 960 << 10

// RangeDeleter is a KV that removes all keys with from <= key < to in one call.
type RangeDeleter interface {
	DeleteRange(ctx context.Context, p Purpose, from, to string) error
}
