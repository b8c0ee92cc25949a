package metastore

import (
	"context"
	"log/slog"
	"slices"
	"strings"

	"redwingknot/event"
	"redwingknot/metastore/metastorepb"
)

// writeSnapshot folds the log up to this process's tail into a snapshot and
// trims it: first the parts, then the head that names them, then the trim mark,
// and only then are slots deleted.
func (l *SharedLog) writeSnapshot(ctx context.Context) error {
	old, rev, err := l.snapshotHead(ctx)
	if err != nil {
		return err
	}
	if old.Slot < l.tail.slot {
		old, err = l.advanceSnapshot(ctx, rev)
		if err != nil {
			return err
		}
	}
	return l.trim(ctx, old)
}

// snapshotHead returns the head in force and its revision; an absent one is empty.
func (l *SharedLog) snapshotHead(ctx context.Context) (*metastorepb.SnapshotHead, int64, error) {
	e, err := l.get(ctx, l.keys.head())
	if IsCause(err, CauseNotFound) {
		return &metastorepb.SnapshotHead{}, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var h metastorepb.SnapshotHead
	if err := unmarshal(e, &h); err != nil {
		return nil, 0, err
	}
	return &h, e.ModRevision, nil
}

func (l *SharedLog) get(ctx context.Context, key string) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, l.o.CallTimeout)
	defer cancel()
	return l.kv.Get(ctx, l.o.Purpose, key)
}

// advanceSnapshot writes the parts under a prefix of their own and swaps the
// head from revision rev, which fails if another process has moved it.
func (l *SharedLog) advanceSnapshot(ctx context.Context, rev int64) (*metastorepb.SnapshotHead, error) {
	parts := append([][]byte{l.writerTable()}, l.o.StateMachine.Snapshot()...)
	h := &metastorepb.SnapshotHead{
		Slot:     l.tail.slot,
		Index:    l.AppliedIndex(),
		Prefix:   l.keys.prefix(l.tail.slot, l.o.Writer, l.sequence),
		Parts:    uint32(len(parts)),
		Writer:   l.tail.owner.writer,
		Sequence: l.tail.owner.sequence,
	}
	for i, part := range parts {
		if err := l.createPart(ctx, partKey(h.Prefix, i), part); err != nil {
			return nil, err
		}
	}
	return h, l.put(ctx, l.keys.head(), marshal(h), rev)
}

// createPart takes a part that exists as its own: no other process writes
// under the prefix.
func (l *SharedLog) createPart(ctx context.Context, key string, part []byte) error {
	err := l.put(ctx, key, part, 0)
	if IsCause(err, CauseExists) {
		return nil
	}
	return err
}

// put creates key, or swaps it from revision rev if that is not 0.
func (l *SharedLog) put(ctx context.Context, key string, value []byte, rev int64) error {
	ctx, cancel := context.WithTimeout(ctx, l.o.CallTimeout)
	defer cancel()
	if rev == 0 {
		_, err := l.kv.Create(ctx, l.o.Purpose, key, value, 0)
		return err
	}
	_, err := l.kv.Swap(ctx, l.o.Purpose, key, value, rev, 0)
	return err
}

// writerTable encodes the last commits of the writers.
func (l *SharedLog) writerTable() []byte {
	l.tail.prune(l.o.WriterWindow)
	t := &metastorepb.WriterTable{Forgotten: l.tail.forgotten}
	for w, r := range l.tail.writers {
		t.Records = append(t.Records, &metastorepb.WriterRecord{Writer: w, Sequence: r.sequence, Slot: r.slot, First: r.first})
	}
	slices.SortFunc(t.Records, func(a, b *metastorepb.WriterRecord) int { return strings.Compare(a.Writer, b.Writer) })
	return marshal(t)
}

// trim raises the trim mark to the margin below the snapshot h, which is in
// force or older than the one in force, and deletes what it covers.
func (l *SharedLog) trim(ctx context.Context, h *metastorepb.SnapshotHead) error {
	if h.Slot <= l.o.TrimMargin {
		return nil
	}
	mark := h.Slot - l.o.TrimMargin
	if mark > l.tail.mark {
		value := marshal(&metastorepb.TrimMark{Slot: mark})
		if err := l.put(ctx, l.keys.mark(), value, l.tail.markRev); err != nil {
			return err
		}
	}
	mark = max(mark, l.tail.mark)
	if err := l.deleteRange(ctx, l.keys.slot(0), l.keys.slot(mark+1)); err != nil {
		return err
	}
	if err := l.deleteRange(ctx, l.keys.parts(), l.keys.partsBefore(h.Slot)); err != nil {
		return err
	}
	event.SnapshotWritten.Log(l.o.Logger, slog.String("log", l.o.Name), slog.Uint64("slot", h.Slot), slog.Uint64("index", h.Index))
	return nil
}

// deleteRange needs no comparison: no key of the range is ever read again.
func (l *SharedLog) deleteRange(ctx context.Context, from, to string) error {
	ctx, cancel := context.WithTimeout(ctx, l.o.ResolveTimeout)
	defer cancel()
	if d, ok := l.kv.(RangeDeleter); ok {
		return d.DeleteRange(ctx, l.o.Purpose, from, to)
	}
	for {
		entries, _, err := l.kv.Range(ctx, l.o.Purpose, from, to, pageSlots)
		if err != nil || len(entries) == 0 {
			return err
		}
		for _, e := range entries {
			if err := l.kv.Delete(ctx, l.o.Purpose, e.Key, 0); err != nil && !IsCause(err, CauseNotFound) {
				return err
			}
		}
	}
}

// restore replaces the state by the snapshot in force. The parts of a snapshot
// may be deleted while they are read, once a newer one is in force.
func (l *SharedLog) restore(ctx context.Context) error {
	for {
		h, rev, err := l.snapshotHead(ctx)
		if err != nil {
			return err
		}
		if h.Slot < l.tail.mark {
			err := &CorruptError{Key: l.keys.head(), Detail: "the snapshot does not cover the trim mark"}
			return l.alarm(event.PlatformLogCorrupt, err)
		}
		parts, err := l.readParts(ctx, h)
		if err == nil {
			return l.adopt(h, parts)
		}
		if !IsCause(err, CauseNotFound) {
			return err
		}
		if _, now, err := l.snapshotHead(ctx); err != nil {
			return err
		} else if now == rev {
			err := &CorruptError{Key: h.Prefix, Detail: "a part of the snapshot in force is missing"}
			return l.alarm(event.PlatformLogCorrupt, err)
		}
	}
}

func (l *SharedLog) readParts(ctx context.Context, h *metastorepb.SnapshotHead) ([][]byte, error) {
	parts := make([][]byte, h.Parts)
	for i := range parts {
		e, err := l.get(ctx, partKey(h.Prefix, i))
		if err != nil {
			return nil, err
		}
		parts[i] = e.Value
	}
	return parts, nil
}

func (l *SharedLog) adopt(h *metastorepb.SnapshotHead, parts [][]byte) error {
	var t metastorepb.WriterTable
	if len(parts) == 0 {
		return l.alarm(event.PlatformLogCorrupt, &CorruptError{Key: l.keys.head(), Detail: "the snapshot has no parts"})
	}
	if err := unmarshal(Entry{Key: partKey(h.Prefix, 0), Value: parts[0]}, &t); err != nil {
		return l.alarm(event.PlatformLogCorrupt, err)
	}
	if err := l.o.StateMachine.Restore(h.Index, parts[1:]); err != nil {
		return l.alarm(event.PlatformLogCorrupt, &CorruptError{Key: h.Prefix, Detail: "can't be restored", Err: err})
	}
	l.tail.slot = h.Slot
	l.tail.owner = commit{h.Writer, h.Sequence}
	l.tail.forgotten = t.Forgotten
	l.tail.writers = map[string]writerRecord{}
	for _, r := range t.Records {
		l.tail.writers[r.Writer] = writerRecord{sequence: r.Sequence, slot: r.Slot, first: r.First}
	}
	l.head.Store(h.Index)
	return nil
}
