package metastore

import (
	"context"
	"errors"
	"maps"

	"google.golang.org/protobuf/proto"

	"redwingknot/event"
	"redwingknot/metastore/metastorepb"
)

// pageSlots bounds the slots in one range read.
const pageSlots = 64

// tail is what a process has folded of a log. The holder of the log's turn
// owns it.
type tail struct {
	slot     uint64 // last slot folded
	owner    commit // commit in that slot
	mark     uint64 // trim mark read last
	markRev  int64  // its revision, 0 if the mark is absent
	revision int64  // of the service at the last read
	fresh    uint64 // number of the last read that completed
	writers  map[string]writerRecord
	// forgotten is the last slot for which a writer may be missing in writers.
	forgotten uint64
}

// commit names a slot's content: the nonce that resolves lost answers.
type commit struct {
	writer   string
	sequence uint64
}

// writerRecord is the last accepted commit of a writer.
type writerRecord struct {
	sequence uint64
	slot     uint64
	first    uint64 // index of its first entry
}

// catchUp folds all slots that are in the log, from the snapshot if the trim
// mark has passed this process.
func (l *SharedLog) catchUp(ctx context.Context) error {
	number := l.begun.Add(1)
	for {
		entries, rev, err := l.readFrom(ctx, l.keys.slot(max(l.tail.slot, 1)))
		if err != nil {
			return err
		}
		behind, err := l.fold(entries, rev)
		if err != nil {
			return l.alarm(eventOf(err), err)
		}
		if !behind {
			l.tail.fresh = number
			return nil
		}
		if err := l.restore(ctx); err != nil {
			return err
		}
	}
}

func eventOf(err error) event.Event {
	var reverted *RevertedError
	if errors.As(err, &reverted) {
		return event.PlatformReverted
	}
	return event.PlatformLogCorrupt
}

// readFrom reads the slots from a key on and the trim mark. The mark is read
// last: a slot read before a mark below it was not yet deleted when read.
func (l *SharedLog) readFrom(ctx context.Context, from string) (entries []Entry, rev int64, err error) {
	for {
		ctx, cancel := context.WithTimeout(ctx, l.o.CallTimeout)
		page, at, err := l.kv.Range(ctx, l.o.Purpose, from, l.keys.end(), pageSlots)
		cancel()
		if err != nil {
			return nil, 0, err
		}
		entries = append(entries, page...)
		if len(page) < pageSlots {
			return entries, at, nil
		}
		from = page[len(page)-1].Key + "\x00"
	}
}

// fold takes in a read of the tail; it reports that the trim mark is ahead, in
// which case none of the slots were folded.
func (l *SharedLog) fold(entries []Entry, rev int64) (behind bool, err error) {
	if rev < l.tail.revision {
		return false, l.reverted("revision of the service", uint64(l.tail.revision), uint64(rev))
	}
	slots, err := l.takeMark(entries)
	if err != nil {
		return false, err
	}
	l.tail.revision = rev
	if l.tail.mark > l.tail.slot {
		return true, nil
	}
	slots, err = l.checkOwner(slots)
	if err != nil {
		return false, err
	}
	for _, e := range slots {
		if err := l.foldSlot(e); err != nil {
			return false, err
		}
	}
	return false, nil
}

// takeMark splits the trim mark from the slots.
func (l *SharedLog) takeMark(entries []Entry) ([]Entry, error) {
	mark, rev := uint64(0), int64(0)
	if n := len(entries); n > 0 && entries[n-1].Key == l.keys.mark() {
		var m metastorepb.TrimMark
		if err := unmarshal(entries[n-1], &m); err != nil {
			return nil, err
		}
		mark, rev = m.Slot, entries[n-1].ModRevision
		entries = entries[:n-1]
	}
	if mark < l.tail.mark {
		return nil, l.reverted("trim mark", l.tail.mark, mark)
	}
	l.tail.mark, l.tail.markRev = mark, rev
	return entries, nil
}

// checkOwner compares the last slot folded with what the service now holds
// there and returns the slots behind it.
func (l *SharedLog) checkOwner(slots []Entry) ([]Entry, error) {
	if l.tail.slot == 0 {
		return slots, nil
	}
	present := len(slots) > 0 && slots[0].Key == l.keys.slot(l.tail.slot)
	if l.tail.slot <= l.tail.mark {
		if present {
			slots = slots[1:]
		}
		return slots, nil
	}
	if !present {
		return nil, l.reverted("last slot is missing", l.tail.slot, l.tail.slot-1)
	}
	var s metastorepb.Slot
	if err := unmarshal(slots[0], &s); err != nil {
		return nil, err
	}
	if (commit{s.Writer, s.Sequence}) != l.tail.owner {
		return nil, l.reverted("last slot has another owner", l.tail.slot, l.tail.slot)
	}
	return slots[1:], nil
}

func (l *SharedLog) foldSlot(e Entry) error {
	n := l.tail.slot + 1
	if e.Key != l.keys.slot(n) {
		return &CorruptError{Key: e.Key, Detail: "the slot before it is missing"}
	}
	var s metastorepb.Slot
	if err := unmarshal(e, &s); err != nil {
		return err
	}
	if (commit{s.PreviousWriter, s.PreviousSequence}) != l.tail.owner {
		return l.reverted("the next slot follows another one", l.tail.slot, l.tail.slot)
	}
	if s.First != l.AppliedIndex()+1 {
		return &CorruptError{Key: e.Key, Detail: "its first entry does not follow the last"}
	}
	l.accept(n, &s)
	return nil
}

// accept folds slot n.
func (l *SharedLog) accept(n uint64, s *metastorepb.Slot) {
	for i, entry := range s.Entries {
		l.o.StateMachine.Apply(s.First+uint64(i), entry)
	}
	l.tail.slot = n
	l.tail.owner = commit{s.Writer, s.Sequence}
	l.tail.writers[s.Writer] = writerRecord{sequence: s.Sequence, slot: n, first: s.First}
	l.head.Store(s.First + uint64(len(s.Entries)) - 1)
	if uint64(len(l.tail.writers)) > 2*l.o.WriterWindow {
		l.tail.prune(l.o.WriterWindow)
	}
}

// prune drops the writers whose last commit is older than window slots, so that
// the table stays bounded. A commit at a slot up to forgotten has an unknown
// outcome if it is not in the table.
func (t *tail) prune(window uint64) {
	if t.slot <= window {
		return
	}
	t.forgotten = max(t.forgotten, t.slot-window)
	maps.DeleteFunc(t.writers, func(_ string, r writerRecord) bool { return r.slot <= t.forgotten })
}

func (l *SharedLog) reverted(detail string, seen, shown uint64) error {
	return &RevertedError{Log: l.o.Name, Seen: seen, Found: shown, Detail: detail}
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
		panic(err) // only strings that are not UTF-8 can fail; names are checked
	}
	return data
}
