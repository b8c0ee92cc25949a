package metastore

import (
	"context"
	"log/slog"
	"slices"
	"strings"

	"redwingknot/event"
	"redwingknot/metastore/metastorepb"
)

// writeSnapshot writes a snapshot of the state that this process has applied and
// trims the log. It writes first the parts, then the snapshot head that refers to
// them, then the trim mark, and deletes slots only after that.
func (l *SharedLog) writeSnapshot(ctx context.Context) error {
	head, rev, err := l.readSnapshotHead(ctx)
	if err != nil {
		return err
	}
	if head.Slot < l.applied.slot {
		head, err = l.advanceSnapshot(ctx, rev)
		if err != nil {
			return err
		}
	}
	return l.trim(ctx, head)
}

// readSnapshotHead returns the current snapshot head and its revision. If there
// is none, it returns an empty head and revision 0.
func (l *SharedLog) readSnapshotHead(ctx context.Context) (*metastorepb.SnapshotHead, int64, error) {
	e, err := l.get(ctx, l.keys.snapshotHead())
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
	ctx, cancel := context.WithTimeout(ctx, l.opts.CallTimeout)
	defer cancel()
	return l.kv.Get(ctx, l.opts.Purpose, key)
}

// advanceSnapshot writes the parts of a new snapshot under a prefix of their
// own and replaces the snapshot head, which fails if another process has
// changed the head since revision rev.
func (l *SharedLog) advanceSnapshot(ctx context.Context, rev int64) (*metastorepb.SnapshotHead, error) {
	parts := append([][]byte{l.encodeWriterTable()}, l.opts.StateMachine.Snapshot()...)
	h := &metastorepb.SnapshotHead{
		Slot:     l.applied.slot,
		Index:    l.AppliedIndex(),
		Prefix:   l.keys.snapshotPrefix(l.applied.slot, l.opts.Writer, l.sequence),
		Parts:    uint32(len(parts)),
		Writer:   l.applied.lastCommit.writer,
		Sequence: l.applied.lastCommit.sequence,
	}
	for i, part := range parts {
		if err := l.createPart(ctx, partKey(h.Prefix, i), part); err != nil {
			return nil, err
		}
	}
	return h, l.put(ctx, l.keys.snapshotHead(), marshal(h), rev)
}

// createPart writes a part of a snapshot. A part that exists already was
// written by this process, because no other process writes under the prefix.
func (l *SharedLog) createPart(ctx context.Context, key string, part []byte) error {
	err := l.put(ctx, key, part, 0)
	if IsCause(err, CauseExists) {
		return nil
	}
	return err
}

// put creates key if rev is 0; otherwise it replaces the value if its revision is
// still rev.
func (l *SharedLog) put(ctx context.Context, key string, value []byte, rev int64) error {
	ctx, cancel := context.WithTimeout(ctx, l.opts.CallTimeout)
	defer cancel()
	if rev == 0 {
		_, err := l.kv.Create(ctx, l.opts.Purpose, key, value, 0)
		return err
	}
	_, err := l.kv.Swap(ctx, l.opts.Purpose, key, value, rev, 0)
	return err
}

// encodeWriterTable removes old writers from the table and encodes the rest.
func (l *SharedLog) encodeWriterTable() []byte {
	l.applied.pruneWriters(l.opts.WriterWindow)
	t := &metastorepb.WriterTable{Forgotten: l.applied.prunedThrough}
	for w, r := range l.applied.writers {
		t.Records = append(t.Records, &metastorepb.WriterRecord{Writer: w, Sequence: r.sequence, Slot: r.slot, First: r.firstIndex})
	}
	slices.SortFunc(t.Records, func(a, b *metastorepb.WriterRecord) int { return strings.Compare(a.Writer, b.Writer) })
	return marshal(t)
}

// trim raises the trim mark to TrimMargin slots before the end of the snapshot
// h and deletes the slots up to the mark and the snapshots before h. The
// snapshot h is the current one or an older one.
func (l *SharedLog) trim(ctx context.Context, h *metastorepb.SnapshotHead) error {
	if h.Slot <= l.opts.TrimMargin {
		return nil
	}
	mark := h.Slot - l.opts.TrimMargin
	if mark > l.applied.trimMark {
		value := marshal(&metastorepb.TrimMark{Slot: mark})
		if err := l.put(ctx, l.keys.trimMark(), value, l.applied.trimMarkRevision); err != nil {
			return err
		}
	}
	mark = max(mark, l.applied.trimMark)
	if err := l.deleteRange(ctx, l.keys.slot(0), l.keys.slot(mark+1)); err != nil {
		return err
	}
	if err := l.deleteRange(ctx, l.keys.partsPrefix(), l.keys.olderPartsEnd(h.Slot)); err != nil {
		return err
	}
	event.SnapshotWritten.Log(l.opts.Logger, slog.String("log", l.opts.Name), slog.Uint64("slot", h.Slot), slog.Uint64("index", h.Index))
	return nil
}

// deleteRange removes all keys with from <= key < to. It deletes them whatever
// their revision, because the range only holds keys that readers no longer need.
func (l *SharedLog) deleteRange(ctx context.Context, from, to string) error {
	ctx, cancel := context.WithTimeout(ctx, l.opts.ResolveTimeout)
	defer cancel()
	if deleter, ok := l.kv.(RangeDeleter); ok {
		return deleter.DeleteRange(ctx, l.opts.Purpose, from, to)
	}
	for {
		entries, _, err := l.kv.Range(ctx, l.opts.Purpose, from, to, pageSlots)
		if err != nil || len(entries) == 0 {
			return err
		}
		for _, e := range entries {
			if err := l.kv.Delete(ctx, l.opts.Purpose, e.Key, 0); err != nil && !IsCause(err, CauseNotFound) {
				return err
			}
		}
	}
}

// restoreSnapshot replaces the state by the current snapshot. If parts are
// missing, it tries again with the next snapshot head: the parts of a snapshot
// may be deleted while they are read, once a newer snapshot has become current.
func (l *SharedLog) restoreSnapshot(ctx context.Context) error {
	for {
		h, rev, err := l.readSnapshotHead(ctx)
		if err != nil {
			return err
		}
		if h.Slot < l.applied.trimMark {
			err := &CorruptError{Key: l.keys.snapshotHead(), Detail: "the snapshot does not cover the trim mark"}
			return l.raiseAlarm(event.PlatformLogCorrupt, err)
		}
		parts, err := l.readParts(ctx, h)
		if err == nil {
			return l.loadSnapshot(h, parts)
		}
		if !IsCause(err, CauseNotFound) {
			return err
		}
		if _, current, err := l.readSnapshotHead(ctx); err != nil {
			return err
		} else if current == rev {
			err := &CorruptError{Key: h.Prefix, Detail: "a part of the current snapshot is missing"}
			return l.raiseAlarm(event.PlatformLogCorrupt, err)
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

// loadSnapshot replaces the state by the snapshot with head h and the given
// parts. A failure raises an alarm.
func (l *SharedLog) loadSnapshot(h *metastorepb.SnapshotHead, parts [][]byte) error {
	var t metastorepb.WriterTable
	if len(parts) == 0 {
		return l.raiseAlarm(event.PlatformLogCorrupt, &CorruptError{Key: l.keys.snapshotHead(), Detail: "the snapshot has no parts"})
	}
	if err := unmarshal(Entry{Key: partKey(h.Prefix, 0), Value: parts[0]}, &t); err != nil {
		return l.raiseAlarm(event.PlatformLogCorrupt, err)
	}
	if err := l.opts.StateMachine.Restore(h.Index, parts[1:]); err != nil {
		return l.raiseAlarm(event.PlatformLogCorrupt, &CorruptError{Key: h.Prefix, Detail: "snapshot can't be restored", Err: err})
	}
	l.applied.slot = h.Slot
	l.applied.lastCommit = commitID{h.Writer, h.Sequence}
	l.applied.prunedThrough = t.Forgotten
	l.applied.writers = map[string]writerRecord{}
	for _, r := range t.Records {
		l.applied.writers[r.Writer] = writerRecord{sequence: r.Sequence, slot: r.Slot, firstIndex: r.First}
	}
	l.appliedIndex.Store(h.Index)
	return nil
}
