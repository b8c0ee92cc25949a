package metastore

// Positions order what happens in a service that can come back from an older copy of
// itself: each time its era rises by one, and its revisions go back and are given out
// again. A position has the era in its high bits and the revision in its low ones, so
// that a later era is after every revision of an earlier one. All revisions of a KV are
// positions; those of a service without eras are plain revisions.

// revisionBits is the number of bits of a position that hold the revision: enough for a
// thousand changes a second over thirty years.
const revisionBits = 40

// Limits of the parts of a position.
const (
	MaxRevision = 1<<revisionBits - 1
	MaxEra      = 1<<(63-revisionBits) - 1
)

// Position returns the position of a revision in an era. Revision 0, which stands for no
// revision, is position 0 in every era.
func Position(era, revision int64) int64 {
	if revision == 0 {
		return 0
	}
	return era<<revisionBits | revision
}

// SplitPosition returns the era and the revision of a position.
func SplitPosition(position int64) (era, revision int64) {
	return position >> revisionBits, position & MaxRevision
}

// EraObserver is implemented by a KV whose service may come back from an older copy.
type EraObserver interface {
	// Era returns the highest era that an answer of the service has named.
	Era() int64
}
