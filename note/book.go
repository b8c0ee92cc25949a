package note

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"redwingknot/event"
	"redwingknot/metastore"
	"redwingknot/metric"
)

const (
	logName               = "notes"
	notePurpose           = metastore.Purpose("note")
	defaultSnapshotEvery  = 64
	defaultTrimMargin     = 16
	maxRecentNotes        = 256
	maxRecentBytes        = 4 << 20
	defaultResolveTimeout = 5 * time.Second
	behindInterval        = 30 * time.Second
)

// BookOptions configure a Book.
type BookOptions struct {
	KV     metastore.KV // nil for a Book that lives from its peers' offers
	Writer string       // unique over all processes for ever; needed with KV
	Logger *slog.Logger

	SnapshotEvery  uint64 // notes between snapshots on the platform
	TrimMargin     uint64 // notes kept on the platform below a snapshot
	ResolveTimeout time.Duration
	PollInterval   time.Duration
}

// Book holds the accepted notes' result on one instance. It takes notes from
// the platform's log, from peers, or from both, each number once and only after
// the number before it; its head never moves back.
//
// All methods may be called from any goroutine.
type Book struct {
	o   BookOptions
	log *metastore.SharedLog // nil without a platform

	mu      sync.Mutex
	state   *State
	chain   Chain           // after state.Head
	recent  []record        // the last notes, without gaps, up to state.Head
	bytes   int             // of the notes in recent
	older   []Chain         // chains known from a snapshot, up to the number before recent
	changed chan struct{}   // closed at the next change
	encoded *encodedHistory // snapshot of the current head, nil until asked for
	forked  uint64          // number of the last fork logged

	// logChain is the chain over the platform's notes, as far as the log has
	// read them; logFork is set for good once they differ from those in force.
	logChain Chain
	logFork  error
}

// record is a note in force with its chain.
type record struct {
	number uint64
	chain  Chain
	raw    []byte
}

type encodedHistory struct {
	head  uint64
	parts [][]byte
}

// Update carries notes, or a snapshot and the notes behind it, to a peer. Each
// element of Notes is the hash chain after the note followed by its text.
type Update struct {
	First        uint64   // number of Notes[0]
	Notes        [][]byte // consecutive notes
	SnapshotHead uint64   // 0 without a snapshot
	Snapshot     [][]byte
}

// NewBook returns an empty book.
func NewBook(o BookOptions) *Book {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	b := &Book{o: o, state: NewState(), changed: make(chan struct{})}
	if o.KV != nil {
		b.log = metastore.OpenLog(o.KV, b.logOptions())
	}
	return b
}

func (b *Book) logOptions() metastore.LogOptions {
	o := metastore.LogOptions{
		Name:           logName,
		StateMachine:   b,
		Writer:         b.o.Writer,
		Purpose:        notePurpose,
		SnapshotEvery:  defaultSnapshotEvery,
		TrimMargin:     defaultTrimMargin,
		ResolveTimeout: defaultResolveTimeout,
		PollInterval:   b.o.PollInterval,
		Logger:         b.o.Logger,
	}
	if b.o.SnapshotEvery > 0 {
		o.SnapshotEvery = b.o.SnapshotEvery
	}
	if b.o.TrimMargin > 0 {
		o.TrimMargin = b.o.TrimMargin
	}
	if b.o.ResolveTimeout > 0 {
		o.ResolveTimeout = b.o.ResolveTimeout
	}
	return o
}

// Head returns the number of the last note in force.
func (b *Book) Head() uint64 { return b.State().Head }

// State returns the configuration in force.
func (b *Book) State() *State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state
}

// Changed returns a channel that is closed at the next change of the state.
func (b *Book) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Follow keeps up with the platform until ctx ends.
func (b *Book) Follow(ctx context.Context) error {
	if b.log == nil {
		return &NoPlatformError{}
	}
	go b.watchBehind(ctx)
	return b.log.Follow(ctx)
}

// watchBehind looks for a platform that knows less than the peers, which the
// log alone can't see.
func (b *Book) watchBehind(ctx context.Context) {
	tick := time.NewTicker(behindInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			_ = b.Sync(ctx) // logs a platform that is behind; Follow repeats the rest
		case <-ctx.Done():
			return
		}
	}
}

// Sync reads the platform's notes. A platform that knows fewer notes than were
// in force before the read was restored from an older copy: a *PlatformBehindError.
func (b *Book) Sync(ctx context.Context) error {
	if b.log == nil {
		return &NoPlatformError{}
	}
	before := b.Head()
	if err := b.log.Sync(ctx); err != nil {
		return err
	}
	if err := b.platformFork(); err != nil {
		return err
	}
	if known := b.log.AppliedIndex(); known < before {
		err := &PlatformBehindError{InForce: before, Platform: known}
		event.NoteBehind.Log(b.o.Logger, slog.Any("error", err))
		return err
	}
	return nil
}

// platformFork returns the *ForkError of a platform whose notes are not those
// in force; nothing is accepted there.
func (b *Book) platformFork() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.logFork
}

// Submit offers a note written against the head base and returns its number
// once it is accepted. A *ConflictError names the note that came first; an
// *InvalidError lists the faults; a *metastore.UnknownOutcomeError leaves open
// whether the note was accepted, and the same Submit may be repeated: a note
// accepted already under base+1 is found and returned. With any other error the
// note was not accepted and never will be.
func (b *Book) Submit(ctx context.Context, base uint64, raw []byte) (uint64, error) {
	n, err := Parse(raw)
	if err != nil {
		return 0, err
	}
	if err := b.Sync(ctx); err != nil {
		return 0, notAccepted(err)
	}
	state := b.State()
	if state.Head != base {
		return b.conflict(base, raw)
	}
	if err := Check(state, n); err != nil {
		return 0, err
	}
	err = b.log.AppendAt(ctx, base+1, raw)
	if metastore.IsCause(err, metastore.CauseExists) {
		return b.conflict(base, raw)
	}
	if err != nil {
		return 0, err
	}
	return base + 1, nil
}

// notAccepted keeps the unknown outcome of a read from looking like that of
// the write, which was not tried.
func notAccepted(err error) error {
	var unknown *metastore.UnknownOutcomeError
	if errors.As(err, &unknown) {
		return &metastore.NotSentError{Op: "submit", Key: unknown.Key, Err: unknown.Err}
	}
	return err
}

// conflict answers a note whose number was taken; the same text under that
// number is the note itself, accepted by an earlier Submit.
func (b *Book) conflict(base uint64, raw []byte) (uint64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := &ConflictError{Base: base, Head: b.state.Head, Number: base + 1}
	if r, ok := b.find(base + 1); ok {
		if slices.Equal(r.raw, raw) {
			return base + 1, nil
		}
		if n, err := Parse(r.raw); err == nil {
			e.Title, e.Author = n.Title, n.Author
		}
	}
	return 0, e
}

// find returns a recent note; b.mu is held.
func (b *Book) find(number uint64) (record, bool) {
	if len(b.recent) == 0 || number < b.recent[0].number || number > b.state.Head {
		return record{}, false
	}
	return b.recent[number-b.recent[0].number], true
}

// chainAt returns the chain after a number if it is still known; b.mu is held.
func (b *Book) chainAt(number uint64) (Chain, bool) {
	if number == b.state.Head {
		return b.chain, true
	}
	if r, ok := b.find(number); ok {
		return r.chain, true
	}
	last := b.state.Head - uint64(len(b.recent)) // number of the last of older
	if number <= last && last-number < uint64(len(b.older)) {
		return b.older[uint64(len(b.older))-1-(last-number)], true
	}
	return Chain{}, false
}

// Apply implements metastore.StateMachine. A note of the platform is only taken if all
// notes before it there are those in force.
func (b *Book) Apply(index uint64, entry []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.logChain = b.logChain.next(index, entry)
	if b.logFork != nil {
		return
	}
	if ours, ok := b.chainAt(index); ok && ours != b.logChain {
		b.logFork = b.fork(index)
		return
	}
	if index > b.state.Head {
		b.logFork = b.take(index, entry, &b.logChain)
	}
}

// take applies note number if it is the next. A number already in force must
// be the same note. The chain, if given, must match. b.mu is held.
func (b *Book) take(number uint64, raw []byte, want *Chain) error {
	if number > b.state.Head+1 {
		return &GapError{Head: b.state.Head, First: number}
	}
	if number <= b.state.Head {
		return b.compare(number, raw)
	}
	chain := b.chain.next(number, raw)
	if want != nil && *want != chain {
		return b.fork(number)
	}
	b.publish(b.applied(number, raw), record{number, chain, slices.Clone(raw)})
	return nil
}

// compare reports a fork if number is known to be another note.
func (b *Book) compare(number uint64, raw []byte) error {
	if r, ok := b.find(number); ok && !slices.Equal(r.raw, raw) {
		return b.fork(number)
	}
	return nil
}

func (b *Book) fork(number uint64) error {
	metric.Counter("note_forks_total").Inc(1)
	if b.forked != number { // a peer repeats its offers
		b.forked = number
		event.NoteFork.Log(b.o.Logger, slog.Uint64("number", number))
	}
	return &ForkError{Number: number}
}

// applied returns the state after the note. A note that can't be applied counts
// and changes nothing: all instances decide that alike.
func (b *Book) applied(number uint64, raw []byte) *State {
	n, err := Parse(raw)
	if err == nil {
		var next *State
		if next, err = b.state.Apply(n); err == nil {
			return next
		}
	}
	event.NoteInapplicable.Log(b.o.Logger, slog.Uint64("number", number), slog.Any("error", err))
	same := *b.state
	same.Head = number
	return &same
}

func (b *Book) publish(s *State, r record) {
	b.state = s
	b.chain = r.chain
	b.recent = append(b.recent, r)
	b.bytes += len(r.raw)
	for len(b.recent) > maxRecentNotes || b.bytes > maxRecentBytes && len(b.recent) > 1 {
		b.bytes -= len(b.recent[0].raw)
		b.older = append(b.older, b.recent[0].chain)
		b.recent = b.recent[1:]
	}
	b.older = b.older[max(0, len(b.older)-maxRecentNotes):]
	b.announce()
	event.NoteInForce.Log(b.o.Logger, slog.Uint64("number", s.Head))
}

func (b *Book) announce() {
	b.encoded = nil
	close(b.changed)
	b.changed = make(chan struct{})
}

// Snapshot implements metastore.StateMachine. It may hold more than the log has read,
// namely notes that a peer has offered; Restore and Apply allow for that.
func (b *Book) Snapshot() [][]byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.encode()
}

// encode returns the snapshot of the current head; b.mu is held.
func (b *Book) encode() [][]byte {
	if b.encoded == nil {
		s := snapshot{State: b.state, Chains: slices.Clone(b.older)}
		for _, r := range b.recent {
			s.Chains = append(s.Chains, r.chain)
		}
		s.Chains = s.Chains[max(0, len(s.Chains)-maxRecentNotes):]
		b.encoded = &encodedHistory{head: b.state.Head, parts: s.encode()}
	}
	return b.encoded.parts
}

// Restore implements metastore.StateMachine: it never moves the head back.
func (b *Book) Restore(index uint64, parts [][]byte) error {
	s, err := decodeSnapshot(parts)
	if err != nil {
		return err
	}
	chain, ok := s.chainAt(index)
	if !ok {
		return &DecodeError{What: "snapshot"}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.adopt(s); err != nil {
		return err
	}
	b.logChain = chain
	return nil
}

// adopt takes a newer snapshot over, if its history is known to contain the
// notes in force or is too far ahead to tell. b.mu is held.
func (b *Book) adopt(s snapshot) error {
	theirs := s.State.Head
	last, ok := s.chainAt(theirs)
	if !ok {
		return &DecodeError{What: "snapshot"}
	}
	if theirs <= b.state.Head {
		if ours, ok := b.chainAt(theirs); ok && ours != last {
			return b.fork(theirs)
		}
		return nil
	}
	if same, ok := s.chainAt(b.state.Head); ok && same != b.chain {
		return b.fork(b.state.Head)
	}
	b.state = s.State
	b.chain = last
	b.older = s.Chains
	b.recent = nil
	b.bytes = 0
	b.announce()
	event.NoteInForce.Log(b.o.Logger, slog.Uint64("number", theirs))
	return nil
}

// UpdateSince returns what a peer with the given head needs: notes of up to maxBytes,
// at least one, or a snapshot if the next note is no longer kept.
func (b *Book) UpdateSince(head uint64, maxBytes int) Update {
	b.mu.Lock()
	defer b.mu.Unlock()
	if head >= b.state.Head {
		return Update{}
	}
	if _, ok := b.find(head + 1); !ok {
		return Update{SnapshotHead: b.state.Head, Snapshot: b.encode()}
	}
	u := Update{First: head + 1}
	size := 0
	for n := head + 1; n <= b.state.Head; n++ {
		r, _ := b.find(n)
		size += len(r.raw)
		if size > maxBytes && len(u.Notes) > 0 {
			break
		}
		u.Notes = append(u.Notes, encodeNote(r.chain, r.raw))
	}
	return u
}

// ApplyUpdate takes a peer's update. Notes and snapshots that are older than what is
// in force change nothing; a *ForkError reports another history and a
// *GapError an update that starts too late.
func (b *Book) ApplyUpdate(u Update) error {
	var s snapshot
	if u.SnapshotHead > b.Head() {
		var err error
		if s, err = decodeSnapshot(u.Snapshot); err != nil {
			return err
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.State != nil {
		if err := b.adopt(s); err != nil {
			return err
		}
	}
	for i, data := range u.Notes {
		chain, raw, err := decodeNote(data)
		if err != nil {
			return err
		}
		if err := b.take(u.First+uint64(i), raw, &chain); err != nil {
			return err
		}
	}
	return nil
}
