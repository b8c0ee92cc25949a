package note_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"redwingknot/internal/fuzztest"
	"redwingknot/metastore"
	"redwingknot/metastore/metastoretest"
	"redwingknot/note"
)

// member is an instance with its book. Only the first platformMemberCount members
// have a platform; the others get notes from peers.
type member struct {
	book     *note.Book
	kv       *metastoretest.KV
	head     uint64                // highest head observed
	wentBack bool                  // the head was observed to decrease
	worths   map[uint64]float64    // worth of class x after each number, as observed at this instance
	last     *note.State           // state at the last checkOwnHistories
	faults   []metastoretest.Fault // faults of the next calls to the platform
	// beforeCall, if it is not nil, runs once: before the call to the platform that
	// follows the next countdown ones.
	beforeCall func()
	countdown  int
}

// hook is called before each call to the platform and returns the fault to inject.
func (m *member) hook(_ context.Context, op metastoretest.Op) metastoretest.Fault {
	m.observeHead()
	m.countdown--
	if strings.HasPrefix(op.Key, "snap/") {
		m.beforeCall = nil // a snapshot's calls may come after Submit has returned, so beforeCall must not run in them
	}
	if m.beforeCall != nil && m.countdown < 0 {
		action := m.beforeCall
		m.beforeCall = nil
		action()
	}
	if len(m.faults) == 0 {
		return metastoretest.NoFault
	}
	f := m.faults[0]
	m.faults = m.faults[1:]
	return f
}

// observeHead records the head and whether it has decreased.
func (m *member) observeHead() {
	head := m.book.Head()
	m.wentBack = m.wentBack || head < m.head
	m.head = max(m.head, head)
}

// submission is a note of an operator and the result of its Submit.
type submission struct {
	id     int
	number uint64
	err    error
}

// bookMachine checks that every book with head h holds the note that was first
// observed under number h. Each note sets the worth of class x to the note's id, so
// that the worth identifies the last note in force.
type bookMachine struct {
	store               *metastoretest.Store
	members             []*member
	platformMemberCount int
	startCount          int
	allowForks          bool // whether ApplyUpdate may report forks, since the platform is restored from older copies
	lastID              int
	worths              map[uint64]float64 // worth of class x after each number, as first observed at any book
	submissions         []*submission
	parents             map[float64]float64 // id of each note to the id of the note before it, as its operator saw it
	oldUpdates          []note.Update       // earlier updates, to be applied again
}

// start starts member i with an empty book, also in place of one that crashed.
func (m *bookMachine) start(i int) {
	m.startCount++
	b := &member{worths: map[uint64]float64{}, last: note.NewState()}
	o := note.BookOptions{SnapshotEvery: 3, TrimMargin: 1}
	if i < m.platformMemberCount {
		o.Writer = fmt.Sprintf("w%d", m.startCount)
		b.kv = m.store.Client(o.Writer)
		b.kv.SetHook(b.hook)
		o.KV = b.kv
	}
	b.book = note.NewBook(o)
	m.members[i] = b
}

// submit submits a new note over the given base at the submitter and records the
// result.
func (m *bookMachine) submit(submitter *member, base uint64) {
	m.lastID++
	s := &submission{id: m.lastID}
	m.submissions = append(m.submissions, s)
	if state := submitter.book.State(); state.Head == base {
		m.parents[float64(s.id)] = state.Classes["x"].Worth
	}
	raw := fmt.Sprintf("title: n%d\nadd: {classes: [{name: n%d, worth: 1, firstIn: 1s, deadline: 1s}]}\nchange: {classes: [{name: x, worth: %d}]}\n", s.id, s.id, s.id)
	if base == 0 {
		raw = fmt.Sprintf("title: n%d\nadd: {classes: [{name: x, worth: %d, firstIn: 1s, deadline: 1s}]}\n", s.id, s.id)
	}
	s.number, s.err = submitter.book.Submit(context.Background(), base, []byte(raw))
	synctest.Wait() // waits for the snapshot that may follow
	var unknown *metastore.UnknownOutcomeError
	if errors.As(s.err, &unknown) {
		return
	}
	if s.err == nil && s.number != base+1 {
		panic(fmt.Sprintf("note accepted as number %d over base %d", s.number, base))
	}
}

// checkCommonHistory fails if a book's head has decreased, or if it holds another
// note under its head than was observed at any book before.
func (m *bookMachine) checkCommonHistory(t *rapid.T) {
	for i, b := range m.members {
		s := b.book.State()
		if b.observeHead(); b.wentBack {
			t.Fatalf("head of member %d decreased from %d", i, b.head)
		}
		if s.Head == 0 {
			continue
		}
		worth := s.Classes["x"].Worth
		if known, ok := m.worths[s.Head]; ok && known != worth {
			t.Fatalf("member %d has note %v under number %d, where note %v was before", i, worth, s.Head, known)
		}
		m.worths[s.Head] = worth
	}
}

// checkOwnHistories compares every book with its own past only, because histories may
// differ between instances once the platform was restored from an older copy. It
// fails if a head has decreased, if a note in force was replaced or its class lost,
// or if a new note was not written over the one that was in force before it.
func (m *bookMachine) checkOwnHistories(t *rapid.T) {
	for i, b := range m.members {
		if b.observeHead(); b.wentBack {
			t.Fatalf("head of member %d decreased from %d", i, b.head)
		}
		s := b.book.State()
		worth := s.Classes["x"].Worth
		if known, ok := b.worths[s.Head]; ok && known != worth {
			t.Fatalf("member %d has note %v under number %d, where note %v was before", i, worth, s.Head, known)
		}
		b.worths[s.Head] = worth
		for name := range b.last.Classes {
			if _, ok := s.Classes[name]; !ok {
				t.Fatalf("member %d lost %s between notes %d and %d", i, name, b.last.Head, s.Head)
			}
		}
		before := worth
		for range s.Head - b.last.Head {
			before = m.parents[before]
		}
		if before != b.last.Classes["x"].Worth {
			t.Fatalf("member %d has note %v in force at %d, which was not written over note %v at %d", i, worth, s.Head, b.last.Classes["x"].Worth, b.last.Head)
		}
		b.last = s
	}
}

// checkFinal reads the platform's log into a new book and checks it against the
// others. It fails if a note is in force under two numbers, if an accepted note is
// missing or has another number, or if a refused note is in force.
func (m *bookMachine) checkFinal(t *rapid.T) {
	reader := note.NewBook(note.BookOptions{KV: m.store.Client("reader"), Writer: "reader"})
	if err := reader.Sync(context.Background()); err != nil {
		t.Fatalf("reading the notes: %v", err)
	}
	m.members = append(m.members, &member{book: reader})
	m.checkCommonHistory(t)
	numbers := map[float64]uint64{}
	for number, worth := range m.worths {
		if numbers[worth] != 0 {
			t.Fatalf("note %v is in force under the numbers %d and %d", worth, number, numbers[worth])
		}
		numbers[worth] = number
	}
	for _, s := range m.submissions {
		number, inForce := numbers[float64(s.id)]
		switch {
		case s.err == nil && inForce && number != s.number:
			t.Fatalf("note %d was accepted as number %d, but is in force as number %d", s.id, s.number, number)
		case s.err == nil && m.worths[s.number] != 0 && m.worths[s.number] != float64(s.id):
			t.Fatalf("note %d was accepted as number %d, where note %v is in force", s.id, s.number, m.worths[s.number])
		case s.err == nil && s.number > reader.Head():
			t.Fatalf("note %d was accepted as number %d, but the platform's head is %d", s.id, s.number, reader.Head())
		case s.err != nil && !metastore.IsUnknownOutcome(s.err) && inForce:
			t.Fatalf("note %d was refused (%v), but is in force as number %d", s.id, s.err, number)
		}
	}
}

// platformFaults are the faults to draw from; repeated values are more likely.
var platformFaults = []metastoretest.Fault{
	metastoretest.NoFault, metastoretest.NoFault, metastoretest.NoFault,
	metastoretest.NotSent, metastoretest.LostRequest, metastoretest.LostResponse, metastoretest.Delayed,
}

// actions returns the actions by name. The caller adds the check, under the empty
// name.
func (m *bookMachine) actions() map[string]func(*rapid.T) {
	anyOf := func(t *rapid.T) *member { return m.members[rapid.IntRange(0, len(m.members)-1).Draw(t, "member")] }
	platformMember := func(t *rapid.T) *member { return m.members[rapid.IntRange(0, m.platformMemberCount-1).Draw(t, "lead")] }
	return map[string]func(*rapid.T){
		"submit": func(t *rapid.T) {
			a := platformMember(t)
			a.faults = rapid.SliceOfN(rapid.SampledFrom(platformFaults), 0, 6).Draw(t, "faults")
			m.submit(a, a.book.Head())
			a.faults = nil
		},
		// Another operator's note is accepted between two calls to the platform of the
		// first operator's Submit.
		"race": func(t *rapid.T) {
			a, b := platformMember(t), platformMember(t)
			if a == b {
				t.Skip()
			}
			a.countdown = rapid.IntRange(0, 4).Draw(t, "calls")
			a.beforeCall = func() {
				_ = b.book.Sync(context.Background())
				m.submit(b, b.book.Head())
			}
			m.submit(a, a.book.Head())
			a.beforeCall = nil
		},
		"old base": func(t *rapid.T) {
			a := platformMember(t)
			m.submit(a, uint64(rapid.IntRange(0, int(a.book.Head())).Draw(t, "base")))
		},
		"sync": func(t *rapid.T) {
			a := platformMember(t)
			a.faults = rapid.SliceOfN(rapid.SampledFrom(platformFaults), 0, 3).Draw(t, "faults")
			_ = a.book.Sync(context.Background())
			synctest.Wait()
			a.faults = nil
		},
		"offer": func(t *rapid.T) {
			from, to := anyOf(t), anyOf(t)
			u := from.book.UpdateSince(uint64(rapid.IntRange(0, int(to.book.Head())+1).Draw(t, "since")), rapid.SampledFrom([]int{1, 100, 10000}).Draw(t, "bytes"))
			m.oldUpdates = append(m.oldUpdates, u)
			m.applyUpdate(t, to, u)
		},
		"offer again": func(t *rapid.T) {
			if len(m.oldUpdates) == 0 {
				t.Skip()
			}
			m.applyUpdate(t, anyOf(t), m.oldUpdates[rapid.IntRange(0, len(m.oldUpdates)-1).Draw(t, "update")])
		},
		"deliver": func(t *rapid.T) { platformMember(t).kv.DeliverDelayed() },
		"crash":   func(t *rapid.T) { m.start(rapid.IntRange(0, len(m.members)-1).Draw(t, "member")) },
		"outage": func(t *rapid.T) {
			m.store.SetDown(rapid.Bool().Draw(t, "down"))
		},
	}
}

// run repeats random actions, with a check after each, and then checkFinal.
func (m *bookMachine) run(t *rapid.T) {
	actions := m.actions()
	actions[""] = m.checkCommonHistory
	t.Repeat(actions)
	m.store.SetDown(false)
	time.Sleep(time.Minute)
	m.checkFinal(t)
}

// runWithRestores is run with additional actions that restore the platform from
// older copies.
func (m *bookMachine) runWithRestores(t *rapid.T) {
	var copies []metastoretest.Backup
	actions := m.actions()
	actions[""] = m.checkOwnHistories
	actions["backup"] = func(*rapid.T) { copies = append(copies, m.store.Backup()) }
	actions["restore"] = func(t *rapid.T) {
		if len(copies) == 0 {
			t.Skip()
		}
		m.store.Restore(copies[rapid.IntRange(0, len(copies)-1).Draw(t, "copy")])
	}
	t.Repeat(actions)
	m.store.SetDown(false)
	time.Sleep(time.Minute)
	m.checkOwnHistories(t)
}

// applyUpdate applies an update at a member. Only gaps, and forks if allowed, may be
// reported.
func (m *bookMachine) applyUpdate(t *rapid.T, to *member, u note.Update) {
	err := to.book.ApplyUpdate(u)
	var gap *note.GapError
	var fork *note.ForkError
	if err != nil && !errors.As(err, &gap) && !(m.allowForks && errors.As(err, &fork)) {
		t.Fatalf("ApplyUpdate: %v", err)
	}
}

// TestFuzzBooks submits notes concurrently at several instances with a faulty
// platform, passes updates between peers out of order and repeatedly, and restarts
// instances.
func TestFuzzBooks(t *testing.T) {
	fuzztest.Check(t, func(rt *rapid.T) {
		runInBubble(t, func() { newBookMachine().run(rt) })
	})
}

// TestFuzzBooksWithPlatformRestores also restores the platform from older copies. No
// running instance may decrease its head or replace a note in force.
func TestFuzzBooksWithPlatformRestores(t *testing.T) {
	fuzztest.Check(t, func(rt *rapid.T) {
		runInBubble(t, func() {
			m := newBookMachine()
			m.allowForks = true
			m.runWithRestores(rt)
		})
	})
}

// newBookMachine returns a machine with four members, two of them with a platform.
func newBookMachine() *bookMachine {
	m := &bookMachine{store: metastoretest.NewStore(time.Now), platformMemberCount: 2, members: make([]*member, 4), worths: map[uint64]float64{}, parents: map[float64]float64{}}
	for i := range m.members {
		m.start(i)
	}
	return m
}

// runInBubble runs f in a synctest bubble with a fake clock. It re-raises a panic of
// f outside the bubble, because rapid ends a run by a panic.
func runInBubble(t *testing.T, f func()) {
	var failure any
	synctest.Test(t, func(*testing.T) {
		defer func() { failure = recover() }()
		f()
	})
	// When it minimizes a failure, rapid distinguishes failures by the line of the
	// panic. A replay that ran out of data is not the same failure, so it has to panic
	// at another line.
	if fmt.Sprintf("%T", failure) == "rapid.invalidData" {
		panic(failure)
	}
	if failure != nil {
		panic(failure)
	}
}

// TestRestoredPlatformDoesNotRevertNotes restores the platform from a copy that lacks
// the last note. Instances that have this note must keep it and refuse new notes.
func TestRestoredPlatformDoesNotRevertNotes(t *testing.T) {
	store := metastoretest.NewStore(nil)
	kv := store.Client("a")
	book := note.NewBook(note.BookOptions{KV: kv, Writer: "a"})
	submit := func(b *note.Book, text string) error {
		_, err := b.Submit(t.Context(), b.Head(), []byte(text))
		return err
	}
	if err := submit(book, "title: one\nadd: {classes: [{name: x, worth: 1, firstIn: 1s, deadline: 1s}]}"); err != nil {
		t.Fatal(err)
	}
	old := store.Backup()
	if err := submit(book, "title: two\nchange: {classes: [{name: x, worth: 2}]}"); err != nil {
		t.Fatal(err)
	}
	store.Restore(old)
	const three = "title: three\nchange: {classes: [{name: x, worth: 3}]}"
	if err := submit(book, three); err == nil {
		t.Fatal("a note was accepted by a platform restored from an older copy")
	}
	if book.Head() != 2 {
		t.Fatalf("head is %d, want 2", book.Head())
	}
	// A newly started instance has the newer notes from its peers.
	fresh := note.NewBook(note.BookOptions{KV: kv, Writer: "b"})
	if err := fresh.ApplyUpdate(book.UpdateSince(0, 1<<20)); err != nil {
		t.Fatal(err)
	}
	var behind *note.PlatformBehindError
	if err := submit(fresh, three); !errors.As(err, &behind) {
		t.Fatalf("submit: %v", err)
	}
	// An instance that reached no peer accepts a note; its history is a fork of the
	// others'.
	isolated := note.NewBook(note.BookOptions{KV: kv, Writer: "c"})
	if err := isolated.Sync(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := submit(isolated, three); err != nil {
		t.Fatal(err)
	}
	var fork *note.ForkError
	if err := book.ApplyUpdate(isolated.UpdateSince(1, 1<<20)); err != nil && !errors.As(err, &fork) {
		t.Fatalf("ApplyUpdate: %v", err)
	}
	// An instance that has the newer notes accepts no note on the forked platform.
	informed := note.NewBook(note.BookOptions{KV: kv, Writer: "d"})
	if err := informed.ApplyUpdate(book.UpdateSince(0, 1<<20)); err != nil {
		t.Fatal(err)
	}
	if err := submit(informed, three); !errors.As(err, &fork) {
		t.Fatalf("submit: %v", err)
	}
	if got := book.State().Classes["x"].Worth; got != 2 {
		t.Fatalf("worth is %v, want 2", got)
	}
}

// TestMarksOnlyMoveForward checks that a lower head does not replace a higher one.
func TestMarksOnlyMoveForward(t *testing.T) {
	kv := metastoretest.New(nil)
	for _, m := range []note.Mark{{DataCentre: "ilala", Head: 3}, {DataCentre: "temeke", Head: 5}, {DataCentre: "ilala", Head: 2}, {DataCentre: "ilala", Head: 4}} {
		if err := note.SetMark(t.Context(), kv, m.DataCentre, m.Head); err != nil {
			t.Fatal(err)
		}
	}
	marks, err := note.Marks(t.Context(), kv)
	if err != nil || len(marks) != 2 || marks[0].Head != 4 || marks[1].Head != 5 {
		t.Fatalf("%v, %v", marks, err)
	}
}

// TestSubmitOfTheSameNoteAgainIsAccepted checks that a repeated Submit returns the
// number of the accepted note, and that another note under this number conflicts.
func TestSubmitOfTheSameNoteAgainIsAccepted(t *testing.T) {
	kv := metastoretest.New(nil)
	book := note.NewBook(note.BookOptions{KV: kv, Writer: "a"})
	raw := []byte("title: one\nauthor: amani\nadd: {classes: [{name: x, worth: 1, firstIn: 1s, deadline: 1s}]}")
	for range 2 {
		if number, err := book.Submit(t.Context(), 0, raw); err != nil || number != 1 {
			t.Fatalf("%d, %v", number, err)
		}
	}
	_, err := book.Submit(t.Context(), 0, []byte("title: two\nadd: {classes: [{name: y, worth: 1, firstIn: 1s, deadline: 1s}]}"))
	var conflict *note.ConflictError
	if !errors.As(err, &conflict) || conflict.Number != 1 || conflict.Title != "one" || conflict.Author != "amani" {
		t.Fatalf("%v", err)
	}
}

// TestUpdateOfForkedHistoryIsRejected passes a book the next note, and then a newer
// snapshot, of a history that differs from its own. The book must return a ForkError
// and keep its state.
func TestUpdateOfForkedHistoryIsRejected(t *testing.T) {
	books := make([]*note.Book, 2)
	for i := range books {
		books[i] = note.NewBook(note.BookOptions{KV: metastoretest.New(nil), Writer: "a"})
		for n := range 2 + i {
			raw := fmt.Sprintf("title: t\nadd: {classes: [{name: x%d, worth: %d, firstIn: 1s, deadline: 1s}]}", n, i+1)
			if _, err := books[i].Submit(t.Context(), uint64(n), []byte(raw)); err != nil {
				t.Fatal(err)
			}
		}
	}
	updates := []note.Update{books[1].UpdateSince(2, 1), {SnapshotHead: 3, Snapshot: books[1].Snapshot()}}
	for _, u := range updates {
		var fork *note.ForkError
		if err := books[0].ApplyUpdate(u); !errors.As(err, &fork) {
			t.Fatalf("ApplyUpdate: %v", err)
		}
		if s := books[0].State(); s.Head != 2 || s.Classes["x0"].Worth != 1 {
			t.Fatalf("%v", s)
		}
	}
}
