package metastore

import (
	"context"
	"errors"
	"maps"

	"google.golang.org/protobuf/proto"

	"redwingknot/event"
	"redwingknot/metastore/metastorepb"
)

// pageSlots is the largest number of keys that one range read of the log returns.
const pageSlots = 64

// appliedState is what a process has read and applied of a log. It is owned by
// the holder of SharedLog.sem.
type appliedState struct {
	slot             uint64                  // last slot applied
	lastCommit       commitID                // commit in that slot
	trimMark         uint64                  // last slot that is trimmed, by the last read
	trimMarkRevision int64                   // revision of the trim mark, 0 if there is none
	revision         int64                   // revision of the service at the last read
	completedRead    uint64                  // number of the last read by catchUp that completed
	writers          map[string]writerRecord // last commit of each writer, by name, except of those pruned
	// prunedThrough is the last slot whose writer may be missing from writers.
	prunedThrough uint64
}

// commitID identifies the commit in a slot. It is unique, so that a writer
// recognises its own commit after the response to the create was lost.
type commitID struct {
	writer   string
	sequence uint64
}

// writerRecord is the last accepted commit of a writer.
type writerRecord struct {
	sequence   uint64
	slot       uint64
	firstIndex uint64 // index of the first entry of the commit
}

// catchUp reads and applies all slots that are in the log. It starts from the
// current snapshot if the trim mark is past the last slot applied.
func (l *SharedLog) catchUp(ctx context.Context) error {
	readNumber := l.readsStarted.Add(1)
	for {
		kvs, rev, err := l.readSlotsFrom(ctx, l.keys.slot(max(l.applied.slot, 1)))
		if err != nil {
			return err
		}
		needsSnapshot, err := l.applyRead(kvs, rev)
		if err != nil {
			return l.raiseAlarm(alarmEvent(err), err)
		}
		if !needsSnapshot {
			l.applied.completedRead = readNumber
			return nil
		}
		if err := l.restoreSnapshot(ctx); err != nil {
			return err
		}
	}
}

// alarmEvent returns the event to log for an error of applyRead.
func alarmEvent(err error) event.Event {
	var reverted *RevertedError
	if errors.As(err, &reverted) {
		return event.PlatformReverted
	}
	return event.PlatformLogCorrupt
}

// readSlotsFrom returns the slots with keys >= from, then the trim mark if
// there is one, and the revision of the service at the last page. The mark is
// read last, so a slot after the mark cannot have been deleted before it was
// read.
func (l *SharedLog) readSlotsFrom(ctx context.Context, from string) (kvs []Entry, rev int64, err error) {
	for {
		ctx, cancel := context.WithTimeout(ctx, l.opts.CallTimeout)
		page, pageRevision, err := l.kv.Range(ctx, l.opts.Purpose, from, l.keys.slotsEnd(), pageSlots)
		cancel()
		if err != nil {
			return nil, 0, err
		}
		kvs = append(kvs, page...)
		if len(page) < pageSlots {
			return kvs, pageRevision, nil
		}
		from = page[len(page)-1].Key + "\x00"
	}
}

// applyRead checks and applies the result of readSlotsFrom. If the trim mark is
// past the last slot applied, it applies none of the slots and returns true.
func (l *SharedLog) applyRead(kvs []Entry, rev int64) (needsSnapshot bool, err error) {
	if rev < l.applied.revision {
		return false, l.revertedError("revision of the service", uint64(l.applied.revision), uint64(rev))
	}
	slots, err := l.updateTrimMark(kvs)
	if err != nil {
		return false, err
	}
	l.applied.revision = rev
	if l.applied.trimMark > l.applied.slot {
		return true, nil
	}
	slots, err = l.checkLastSlot(slots)
	if err != nil {
		return false, err
	}
	for _, e := range slots {
		if err := l.applySlot(e); err != nil {
			return false, err
		}
	}
	return false, nil
}

// updateTrimMark stores the trim mark, which is the last of entries if there is
// one, and returns the slots before it. It fails if the mark has moved back.
func (l *SharedLog) updateTrimMark(kvs []Entry) ([]Entry, error) {
	mark, rev := uint64(0), int64(0)
	if n := len(kvs); n > 0 && kvs[n-1].Key == l.keys.trimMark() {
		var m metastorepb.TrimMark
		if err := unmarshal(kvs[n-1], &m); err != nil {
			return nil, err
		}
		mark, rev = m.Slot, kvs[n-1].ModRevision
		kvs = kvs[:n-1]
	}
	if mark < l.applied.trimMark {
		return nil, l.revertedError("trim mark", l.applied.trimMark, mark)
	}
	l.applied.trimMark, l.applied.trimMarkRevision = mark, rev
	return kvs, nil
}

// checkLastSlot checks that the service still holds the commit that was applied
// last and returns the slots after it. It skips the check for a slot up to the
// trim mark, which may be deleted.
func (l *SharedLog) checkLastSlot(slots []Entry) ([]Entry, error) {
	if l.applied.slot == 0 {
		return slots, nil
	}
	present := len(slots) > 0 && slots[0].Key == l.keys.slot(l.applied.slot)
	if l.applied.slot <= l.applied.trimMark {
		if present {
			slots = slots[1:]
		}
		return slots, nil
	}
	if !present {
		return nil, l.revertedError("last slot is missing", l.applied.slot, l.applied.slot-1)
	}
	var s metastorepb.Slot
	if err := unmarshal(slots[0], &s); err != nil {
		return nil, err
	}
	if (commitID{s.Writer, s.Sequence}) != l.applied.lastCommit {
		return nil, l.revertedError("last slot holds another commit", l.applied.slot, l.applied.slot)
	}
	return slots[1:], nil
}

// applySlot checks that e is the slot after the last one applied and applies it.
func (l *SharedLog) applySlot(e Entry) error {
	n := l.applied.slot + 1
	if e.Key != l.keys.slot(n) {
		return &CorruptError{Key: e.Key, Detail: "the slot before it is missing"}
	}
	var s metastorepb.Slot
	if err := unmarshal(e, &s); err != nil {
		return err
	}
	if (commitID{s.PreviousWriter, s.PreviousSequence}) != l.applied.lastCommit {
		return l.revertedError("next slot follows another commit", l.applied.slot, l.applied.slot)
	}
	if s.First != l.AppliedIndex()+1 {
		return &CorruptError{Key: e.Key, Detail: "index of its first entry does not follow the last one"}
	}
	l.applyEntries(n, &s)
	return nil
}

// applyEntries applies the entries of slot n and records its commit.
func (l *SharedLog) applyEntries(n uint64, s *metastorepb.Slot) {
	for i, entry := range s.Entries {
		l.opts.StateMachine.Apply(s.First+uint64(i), entry)
	}
	l.applied.slot = n
	l.applied.lastCommit = commitID{s.Writer, s.Sequence}
	l.applied.writers[s.Writer] = writerRecord{sequence: s.Sequence, slot: n, firstIndex: s.First}
	l.appliedIndex.Store(s.First + uint64(len(s.Entries)) - 1)
	if uint64(len(l.applied.writers)) > 2*l.opts.WriterWindow {
		l.applied.pruneWriters(l.opts.WriterWindow)
	}
}

// pruneWriters removes the writers whose last commit is at least window slots
// before the last slot applied, so that the table stays bounded. A commit that
// was sent to a slot up to prunedThrough and is not in the table has an unknown
// outcome.
func (s *appliedState) pruneWriters(window uint64) {
	if s.slot <= window {
		return
	}
	s.prunedThrough = max(s.prunedThrough, s.slot-window)
	maps.DeleteFunc(s.writers, func(_ string, r writerRecord) bool { return r.slot <= s.prunedThrough })
}

func (l *SharedLog) revertedError(detail string, seen, found uint64) error {
	return &RevertedError{Log: l.opts.Name, Seen: seen, Found: found, Detail: detail}
}

func unmarshal(e Entry, m proto.Message) error {
	if err := proto.Unmarshal(e.Value, m); err != nil {
		return &CorruptError{Key: e.Key, Detail: "can't be decoded", Err: err}
	}
	return nil
}

func marshal(m proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err) // fails only if a name is not valid UTF-8, which validName does not check
	}
	return data
}
