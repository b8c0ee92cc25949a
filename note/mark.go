package note

import (
	"context"
	"strconv"
	"strings"

	"redwingknot/metastore"
)

const (
	markPrefix  = "mark/"
	markEnd     = "mark0"
	markPurpose = metastore.Purpose("note-mark")
)

// Mark says that a data centre has all notes up to Head in force.
type Mark struct {
	DataCentre string
	Head       uint64
}

// SetMark records that dataCentre has all notes up to head in force. The
// mark only moves forward; a higher one is left as it is.
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
			if known, err := parseMark(old); err != nil || known >= head {
				return err
			}
			_, err = kv.Swap(ctx, markPurpose, key, value, old.ModRevision, 0)
		}
		if !metastore.IsCause(err, metastore.CauseConflict) && !metastore.IsCause(err, metastore.CauseExists) {
			return err
		}
	}
}

// Marks returns the marks of all data centres, in order of name.
func Marks(ctx context.Context, kv metastore.KV) ([]Mark, error) {
	entries, _, err := kv.Range(ctx, markPurpose, markPrefix, markEnd, 0)
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

func parseMark(e metastore.Entry) (uint64, error) {
	head, err := strconv.ParseUint(string(e.Value), 10, 64)
	if err != nil {
		return 0, &DecodeError{What: "mark " + e.Key, Err: err}
	}
	return head, nil
}
