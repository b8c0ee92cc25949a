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

// logName is the name of the log of notes on the platform, and notePurpose the
// purpose of the calls for it. The defaults are those of BookOptions. A book keeps
// the texts of the last notes, at most maxRecentNotes with maxRecentBytes in total,
// and of up to maxRecentNotes notes before them only the chains. Every
// behindCheckInterval, a book checks whether the platform has lost notes.
const (
	logName               = "notes"
	notePurpose           = metastore.Purpose("note")
	defaultSnapshotEvery  = 64
	defaultTrimMargin     = 16
	maxRecentNotes        = 256
	maxRecentBytes        = 4 << 20
	defaultResolveTimeout = 5 * time.Second
	behindCheckInterval   = 30 * time.Second
)

// BookOptions configures a Book. Numbers and durations that are 0 get a default.
type BookOptions struct {
	KV     metastore.KV // platform; nil for a Book that gets its notes from peers only
	Writer string       // writer name; must never be used by another process, past or future; required with KV
	Logger *slog.Logger // nil discards the log

	SnapshotEvery  uint64        // number of notes between snapshots on the platform
	TrimMargin     uint64        // number of the last notes in a snapshot that also stay in the platform's log
	ResolveTimeout time.Duration // see metastore.LogOptions
	PollInterval   time.Duration // see metastore.LogOptions
}

// Book holds the accepted notes and the resulting configuration on one instance.
// It receives notes from the platform's log, from peers (the books of other
// instances), or from both. It applies the notes in the order of their numbers, each
// once; an applied note is in force. The head, which is the number of the last note
// in force, never decreases. A note's number is its index in the platform's log.
//
// A Book is safe for concurrent use.
type Book struct {
	opts BookOptions
	log  *metastore.SharedLog // nil without a platform

	mu             sync.Mutex
	state          *State
	chain          Chain            // chain up to and including note state.Head
	recent         []recentNote     // the last notes, consecutive, up to state.Head
	recentBytes    int              // total size of the texts in recent
	olderChains    []Chain          // consecutive chains up to the note before the first of recent
	changed        chan struct{}    // closed at the next change of the state
	cachedSnapshot *encodedSnapshot // snapshot of the current head; nil until it is first needed
	lastLoggedFork uint64           // number of the last fork that was logged

	// platformChain is the chain over the platform's notes that the log has read.
	// platformForkErr is set once these notes differ from those in force, and never
	// reset.
	platformChain   Chain
	platformForkErr error
}

// recentNote is a note in force whose text is kept.
type recentNote struct {
	number uint64
	chain  Chain // up to and including this note
	raw    []byte
}

// encodedSnapshot is the encoded snapshot of one head.
type encodedSnapshot struct {
	head  uint64
	parts [][]byte
}

// Update is what a book sends to a peer: notes, a snapshot, or a snapshot and the
// notes after it. Each element of Notes is the hash chain up to and including the
// note, followed by the note's text.
type Update struct {
	First        uint64   // number of Notes[0]
	Notes        [][]byte // consecutive notes
	SnapshotHead uint64   // head of Snapshot; 0 without a snapshot
	Snapshot     [][]byte // encoded snapshot in parts
}

// NewBook returns a book without notes.
func NewBook(o BookOptions) *Book {
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	b := &Book{opts: o, state: NewState(), changed: make(chan struct{})}
	if o.KV != nil {
		b.log = metastore.OpenLog(o.KV, b.logOptions())
	}
	return b
}

// logOptions returns the options of the platform's log, with defaults filled in.
func (b *Book) logOptions() metastore.LogOptions {
	o := metastore.LogOptions{
		Name:           logName,
		StateMachine:   b,
		Writer:         b.opts.Writer,
		Purpose:        notePurpose,
		SnapshotEvery:  defaultSnapshotEvery,
		TrimMargin:     defaultTrimMargin,
		ResolveTimeout: defaultResolveTimeout,
		PollInterval:   b.opts.PollInterval,
		Logger:         b.opts.Logger,
	}
	if b.opts.SnapshotEvery > 0 {
		o.SnapshotEvery = b.opts.SnapshotEvery
	}
	if b.opts.TrimMargin > 0 {
		o.TrimMargin = b.opts.TrimMargin
	}
	if b.opts.ResolveTimeout > 0 {
		o.ResolveTimeout = b.opts.ResolveTimeout
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

// Follow applies new notes of the platform's log until ctx ends. Without a
// platform it returns a *NoPlatformError.
func (b *Book) Follow(ctx context.Context) error {
	if b.log == nil {
		return &NoPlatformError{}
	}
	go b.watchPlatformHead(ctx)
	return b.log.Follow(ctx)
}

// watchPlatformHead checks every behindCheckInterval whether the platform's log
// ends before the notes in force, which happens after a restore from a backup. The
// log alone can't detect this, since newer notes may come from peers.
func (b *Book) watchPlatformHead(ctx context.Context) {
	tick := time.NewTicker(behindCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			_ = b.Sync(ctx) // Sync logs that the platform is behind; after other errors, Follow retries
		case <-ctx.Done():
			return
		}
	}
}

// Sync reads all notes of the platform's log and applies them. It returns a
// *PlatformBehindError if the log ends before the notes that were in force at the start
// of the call, because the platform was then restored from an older copy; a
// *ForkError if the platform's notes differ from those in force; and a
// *NoPlatformError without a platform. Other errors are those of the log.
func (b *Book) Sync(ctx context.Context) error {
	if b.log == nil {
		return &NoPlatformError{}
	}
	headBefore := b.Head()
	if err := b.log.Sync(ctx); err != nil {
		return err
	}
	if err := b.checkPlatformFork(); err != nil {
		return err
	}
	if platformHead := b.log.AppliedIndex(); platformHead < headBefore {
		err := &PlatformBehindError{InForce: headBefore, Platform: platformHead}
		event.NotePlatformBehind.Log(b.opts.Logger, slog.Any("error", err))
		return err
	}
	return nil
}

// checkPlatformFork returns a *ForkError if the platform's notes differ from those
// in force. No note is submitted to such a platform.
func (b *Book) checkPlatformFork() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.platformForkErr
}

// Submit submits a note that was written against the head base and returns its
// number once it is accepted. A *ConflictError names the note that was accepted
// first. An *InvalidError lists the faults. After a *metastore.UnknownOutcomeError
// the note may or may not have been accepted; Submit may be called again with the
// same arguments, and returns base+1 if the note was already accepted under that
// number. With any other error the note was not accepted and never will be.
func (b *Book) Submit(ctx context.Context, base uint64, raw []byte) (uint64, error) {
	n, err := Parse(raw)
	if err != nil {
		return 0, err
	}
	if err := b.Sync(ctx); err != nil {
		return 0, asNotSent(err)
	}
	state := b.State()
	if state.Head != base {
		return b.resolveTakenNumber(base, raw)
	}
	if err := Check(state, n); err != nil {
		return 0, err
	}
	err = b.log.AppendAt(ctx, base+1, raw)
	if metastore.IsCause(err, metastore.CauseExists) {
		return b.resolveTakenNumber(base, raw)
	}
	if err != nil {
		return 0, err
	}
	return base + 1, nil
}

// asNotSent turns the unknown outcome of a read into a *metastore.NotSentError, so
// that the caller doesn't take it for the unknown outcome of the write, which was
// not attempted.
func asNotSent(err error) error {
	var unknown *metastore.UnknownOutcomeError
	if errors.As(err, &unknown) {
		return &metastore.NotSentError{Op: "submit", Key: unknown.Key, Err: unknown.Err}
	}
	return err
}

// resolveTakenNumber returns the result of submitting a note whose number base+1 is
// already taken. If the note under that number has the same text, an earlier Submit
// of it was accepted, and the number is returned; otherwise a *ConflictError.
func (b *Book) resolveTakenNumber(base uint64, raw []byte) (uint64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := &ConflictError{Base: base, Head: b.state.Head, Number: base + 1}
	if r, ok := b.findRecent(base + 1); ok {
		if slices.Equal(r.raw, raw) {
			return base + 1, nil
		}
		if n, err := Parse(r.raw); err == nil {
			e.Title, e.Author = n.Title, n.Author
		}
	}
	return 0, e
}

// findRecent returns the note with the given number, and false if its text is no
// longer kept or the number is above the head. b.mu must be held.
func (b *Book) findRecent(number uint64) (recentNote, bool) {
	if len(b.recent) == 0 || number < b.recent[0].number || number > b.state.Head {
		return recentNote{}, false
	}
	return b.recent[number-b.recent[0].number], true
}

// chainAfter returns the chain up to and including the note with the given number,
// and false if it is no longer kept. b.mu must be held.
func (b *Book) chainAfter(number uint64) (Chain, bool) {
	if number == b.state.Head {
		return b.chain, true
	}
	if r, ok := b.findRecent(number); ok {
		return r.chain, true
	}
	lastOlder := b.state.Head - uint64(len(b.recent)) // number of the last note in olderChains
	if number <= lastOlder && lastOlder-number < uint64(len(b.olderChains)) {
		return b.olderChains[uint64(len(b.olderChains))-1-(lastOlder-number)], true
	}
	return Chain{}, false
}

// Apply implements metastore.StateMachine. It applies a note of the platform only if
// all earlier notes of the platform are the same as those in force.
func (b *Book) Apply(index uint64, entry []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.platformChain = b.platformChain.next(index, entry)
	if b.platformForkErr != nil {
		return
	}
	if ownChain, ok := b.chainAfter(index); ok && ownChain != b.platformChain {
		b.platformForkErr = b.reportFork(index)
		return
	}
	if index > b.state.Head {
		b.platformForkErr = b.applyNote(index, entry, &b.platformChain)
	}
}

// applyNote applies the note if its number directly follows the head. If the
// number is already in force, the note must be the same, as far as its text is
// still kept. The resulting chain must equal wantChain unless that is nil. The
// error is a *GapError or a *ForkError. b.mu must be held.
func (b *Book) applyNote(number uint64, raw []byte, wantChain *Chain) error {
	if number > b.state.Head+1 {
		return &GapError{Head: b.state.Head, First: number}
	}
	if number <= b.state.Head {
		return b.checkSameNote(number, raw)
	}
	chain := b.chain.next(number, raw)
	if wantChain != nil && *wantChain != chain {
		return b.reportFork(number)
	}
	b.publish(b.stateAfter(number, raw), recentNote{number, chain, slices.Clone(raw)})
	return nil
}

// checkSameNote returns a *ForkError if the note in force under number is known to
// have another text. b.mu must be held.
func (b *Book) checkSameNote(number uint64, raw []byte) error {
	if r, ok := b.findRecent(number); ok && !slices.Equal(r.raw, raw) {
		return b.reportFork(number)
	}
	return nil
}

// reportFork counts and logs a fork and returns its *ForkError. b.mu must be held.
func (b *Book) reportFork(number uint64) error {
	metric.Counter("note_forks_total").Inc(1)
	if b.lastLoggedFork != number { // peers offer the same notes repeatedly; log each fork once
		b.lastLoggedFork = number
		event.NoteFork.Log(b.opts.Logger, slog.Uint64("number", number))
	}
	return &ForkError{Number: number}
}

// stateAfter returns the state after the note. A note that can't be applied takes
// up its number but changes nothing; all instances come to the same decision. b.mu
// must be held.
func (b *Book) stateAfter(number uint64, raw []byte) *State {
	n, err := Parse(raw)
	if err == nil {
		var next *State
		if next, err = b.state.Apply(n); err == nil {
			return next
		}
	}
	event.NoteInapplicable.Log(b.opts.Logger, slog.Uint64("number", number), slog.Any("error", err))
	unchanged := *b.state
	unchanged.Head = number
	return &unchanged
}

// publish puts a new state in force and adds its note to the recent notes, of
// which it drops the oldest if there are too many. b.mu must be held.
func (b *Book) publish(s *State, r recentNote) {
	b.state = s
	b.chain = r.chain
	b.recent = append(b.recent, r)
	b.recentBytes += len(r.raw)
	for len(b.recent) > maxRecentNotes || b.recentBytes > maxRecentBytes && len(b.recent) > 1 {
		b.recentBytes -= len(b.recent[0].raw)
		b.olderChains = append(b.olderChains, b.recent[0].chain)
		b.recent = b.recent[1:]
	}
	b.olderChains = b.olderChains[max(0, len(b.olderChains)-maxRecentNotes):]
	b.notifyChanged()
	event.NoteInForce.Log(b.opts.Logger, slog.Uint64("number", s.Head))
}

// notifyChanged drops the cached snapshot and wakes the receivers of Changed. b.mu
// must be held.
func (b *Book) notifyChanged() {
	b.cachedSnapshot = nil
	close(b.changed)
	b.changed = make(chan struct{})
}

// Snapshot implements metastore.StateMachine. The snapshot may contain notes that the
// log has not read yet, because a peer offered them; Restore and Apply allow for
// that.
func (b *Book) Snapshot() [][]byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.encodeSnapshot()
}

// encodeSnapshot returns the encoded snapshot of the current head. b.mu must be
// held.
func (b *Book) encodeSnapshot() [][]byte {
	if b.cachedSnapshot == nil {
		s := snapshot{State: b.state, Chains: slices.Clone(b.olderChains)}
		for _, r := range b.recent {
			s.Chains = append(s.Chains, r.chain)
		}
		s.Chains = s.Chains[max(0, len(s.Chains)-maxRecentNotes):]
		b.cachedSnapshot = &encodedSnapshot{head: b.state.Head, parts: s.encode()}
	}
	return b.cachedSnapshot.parts
}

// Restore implements metastore.StateMachine. It never decreases the head: an older
// snapshot only sets the chain of the platform's notes.
func (b *Book) Restore(index uint64, parts [][]byte) error {
	s, err := decodeSnapshot(parts)
	if err != nil {
		return err
	}
	chain, ok := s.chainAfter(index)
	if !ok {
		return &DecodeError{What: "snapshot"}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.adoptSnapshot(s); err != nil {
		return err
	}
	b.platformChain = chain
	return nil
}

// adoptSnapshot replaces the state by a newer snapshot, unless its history is known
// to differ from the notes in force. A snapshot whose chains begin after the head
// can't be compared and is adopted; one that is not newer changes nothing. The error
// is a *DecodeError or a *ForkError. b.mu must be held.
func (b *Book) adoptSnapshot(s snapshot) error {
	offeredHead := s.State.Head
	offeredChain, ok := s.chainAfter(offeredHead)
	if !ok {
		return &DecodeError{What: "snapshot"}
	}
	if offeredHead <= b.state.Head {
		if ownChain, ok := b.chainAfter(offeredHead); ok && ownChain != offeredChain {
			return b.reportFork(offeredHead)
		}
		return nil
	}
	if chainAtOwnHead, ok := s.chainAfter(b.state.Head); ok && chainAtOwnHead != b.chain {
		return b.reportFork(b.state.Head)
	}
	b.state = s.State
	b.chain = offeredChain
	b.olderChains = s.Chains
	b.recent = nil
	b.recentBytes = 0
	b.notifyChanged()
	event.NoteInForce.Log(b.opts.Logger, slog.Uint64("number", offeredHead))
	return nil
}

// UpdateSince returns the update for a peer with the given head: the next notes, as
// many as fit into maxBytes but at least one, or a snapshot if the text of the next
// note is no longer kept. The update is empty if the peer has all notes.
func (b *Book) UpdateSince(head uint64, maxBytes int) Update {
	b.mu.Lock()
	defer b.mu.Unlock()
	if head >= b.state.Head {
		return Update{}
	}
	if _, ok := b.findRecent(head + 1); !ok {
		return Update{SnapshotHead: b.state.Head, Snapshot: b.encodeSnapshot()}
	}
	u := Update{First: head + 1}
	size := 0
	for n := head + 1; n <= b.state.Head; n++ {
		r, _ := b.findRecent(n)
		size += len(r.raw)
		if size > maxBytes && len(u.Notes) > 0 {
			break
		}
		u.Notes = append(u.Notes, encodeNote(r.chain, r.raw))
	}
	return u
}

// ApplyUpdate applies an update from a peer. Notes and snapshots that are not newer than
// what is in force change nothing. The error is a *ForkError if the peer's history
// differs, a *GapError if notes are missing before the update, or a
// *DecodeError; the notes before the failing one stay applied.
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
		if err := b.adoptSnapshot(s); err != nil {
			return err
		}
	}
	for i, data := range u.Notes {
		chain, raw, err := decodeNote(data)
		if err != nil {
			return err
		}
		if err := b.applyNote(u.First+uint64(i), raw, &chain); err != nil {
			return err
		}
	}
	return nil
}
