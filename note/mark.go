package note

import (
	"context"
	"strconv"
	"strings"

	"redwingknot/metastore"
)

// Marks are stored under markPrefix followed by the data centre's name, with the
// head as a decimal number. markRangeEnd is the exclusive end of their key range.
const (
	markPrefix   = "mark/"
	markRangeEnd = "mark0"
	markPurpose  = metastore.Purpose("note-mark")
)

// Mark records that all notes up to Head are in force in a data centre.
type Mark struct {
	DataCentre string
	Head       uint64
}

// SetMark stores the mark that all notes up to head are in force in
// dataCentre. A mark never decreases: one with an equal or higher head is left
// unchanged. Concurrent writes are retried. The error is that of kv, or a
// *DecodeError if the stored mark can't be decoded.
func SetMark(ctx context.Context, kv metastore.KV, dataCentre string, head uint64) error {
	key := markPrefix + dataCentre
	value := strconv.AppendUint(nil, head, 10)
	for {
		old, err := kv.Get(ctx, markPurpose, key)
		switch {
		case metastore.IsCause(err, metastore.CauseNotFound):
			_, err = kv.Create(ctx, markPurpose, key, value, 0)
		case err != nil:
			return err
		default:
			if recorded, err := parseMark(old); err != nil || recorded >= head {
				return err
			}
			_, err = kv.Swap(ctx, markPurpose, key, value, old.ModRevision, 0)
		}
		if !metastore.IsCause(err, metastore.CauseConflict) && !metastore.IsCause(err, metastore.CauseExists) {
			return err
		}
	}
}

// Marks returns the marks of all data centres, ordered by name. The error is
// that of kv, or a *DecodeError if a mark can't be decoded.
func Marks(ctx context.Context, kv metastore.KV) ([]Mark, error) {
	entries, _, err := kv.Range(ctx, markPurpose, markPrefix, markRangeEnd, 0)
	if err != nil {
		return nil, err
	}
	marks := make([]Mark, 0, len(entries))
	for _, e := range entries {
		head, err := parseMark(e)
		if err != nil {
			return nil, err
		}
		marks = append(marks, Mark{strings.TrimPrefix(e.Key, markPrefix), head})
	}
	return marks, nil
}

// parseMark returns the head that a stored mark holds.
func parseMark(e metastore.Entry) (uint64, error) {
	head, err := strconv.ParseUint(string(e.Value), 10, 64)
	if err != nil {
		return 0, &DecodeError{What: "mark " + e.Key, Err: err}
	}
	return head, nil
}
