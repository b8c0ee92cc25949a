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

// member is an instance with its book; only leads have a platform.
type member struct {
	book *note.Book
	kv   *metastoretest.KV
	head uint64             // highest head seen
	back bool               // the head was seen to go back
	seen map[uint64]float64 // worth after each number, as this instance had it
	last *note.State
	plan []metastoretest.Fault
	// between runs once, before the call to the platform with this countdown.
	between   func()
	countdown int
}

func (m *member) hook(_ context.Context, op metastoretest.Op) metastoretest.Fault {
	m.look()
	m.countdown--
	if strings.HasPrefix(op.Key, "snap/") {
		m.between = nil // a snapshot goes on after Submit has returned
	}
	if m.between != nil && m.countdown < 0 {
		do := m.between
		m.between = nil
		do()
	}
	if len(m.plan) == 0 {
		return metastoretest.NoFault
	}
	f := m.plan[0]
	m.plan = m.plan[1:]
	return f
}

func (m *member) look() {
	head := m.book.Head()
	m.back = m.back || head < m.head
	m.head = max(m.head, head)
}

// submission is an operator's note and what was said about it.
type submission struct {
	serial int
	number uint64
	err    error
}

// bookMachine checks that every book at head h shows the note that the oracle
// has under h. Each note sets the worth of one class to its own serial.
type bookMachine struct {
	store       *metastoretest.Store
	members     []*member
	leads       int
	started     int
	forks       bool // histories may differ
	serial      int
	history     map[uint64]float64 // worth after each number
	submissions []*submission
	parent      map[float64]float64 // note before each note, as its operator saw it
	old         []note.Update       // updates to be offered again later
}

func (m *bookMachine) start(i int) {
	m.started++
	b := &member{seen: map[uint64]float64{}, last: note.NewState()}
	o := note.BookOptions{SnapshotEvery: 3, TrimMargin: 1}
	if i < m.leads {
		o.Writer = fmt.Sprintf("w%d", m.started)
		b.kv = m.store.Client(o.Writer)
		b.kv.SetHook(b.hook)
		o.KV = b.kv
	}
	b.book = note.NewBook(o)
	m.members[i] = b
}

func (m *bookMachine) submit(lead *member, base uint64) {
	m.serial++
	s := &submission{serial: m.serial}
	m.submissions = append(m.submissions, s)
	if state := lead.book.State(); state.Head == base {
		m.parent[float64(s.serial)] = state.Classes["x"].Worth
	}
	raw := fmt.Sprintf("title: n%d\nadd: {classes: [{name: n%d, worth: 1, firstIn: 1s, deadline: 1s}]}\nchange: {classes: [{name: x, worth: %d}]}\n", s.serial, s.serial, s.serial)
	if base == 0 {
		raw = fmt.Sprintf("title: n%d\nadd: {classes: [{name: x, worth: %d, firstIn: 1s, deadline: 1s}]}\n", s.serial, s.serial)
	}
	s.number, s.err = lead.book.Submit(context.Background(), base, []byte(raw))
	synctest.Wait() // for the snapshot that may follow
	var unknown *metastore.UnknownOutcomeError
	if errors.As(s.err, &unknown) {
		return
	}
	if s.err == nil && s.number != base+1 {
		panic(fmt.Sprintf("accepted as %d over base %d", s.number, base))
	}
}

// check compares every book with the history that was seen before.
func (m *bookMachine) check(t *rapid.T) {
	for i, b := range m.members {
		s := b.book.State()
		if b.look(); b.back {
			t.Fatalf("member %d went back from %d", i, b.head)
		}
		if s.Head == 0 {
			continue
		}
		worth := s.Classes["x"].Worth
		if known, ok := m.history[s.Head]; ok && known != worth {
			t.Fatalf("member %d has note %v under %d, which was %v", i, worth, s.Head, known)
		}
		m.history[s.Head] = worth
	}
}

// checkEach compares every book with its own past only: once the platform was
// restored from an older copy, histories may differ between instances.
func (m *bookMachine) checkEach(t *rapid.T) {
	for i, b := range m.members {
		if b.look(); b.back {
			t.Fatalf("member %d went back from %d", i, b.head)
		}
		s := b.book.State()
		worth := s.Classes["x"].Worth
		if known, ok := b.seen[s.Head]; ok && known != worth {
			t.Fatalf("member %d has note %v under %d, which was %v", i, worth, s.Head, known)
		}
		b.seen[s.Head] = worth
		for name := range b.last.Classes {
			if _, ok := s.Classes[name]; !ok {
				t.Fatalf("member %d lost %s between notes %d and %d", i, name, b.last.Head, s.Head)
			}
		}
		before := worth
		for range s.Head - b.last.Head {
			before = m.parent[before]
		}
		if before != b.last.Classes["x"].Worth {
			t.Fatalf("member %d has note %v in force at %d, which was not written over note %v at %d", i, worth, s.Head, b.last.Classes["x"].Worth, b.last.Head)
		}
		b.last = s
	}
}

// final replays the platform's log and judges the answers given.
func (m *bookMachine) final(t *rapid.T) {
	reader := note.NewBook(note.BookOptions{KV: m.store.Client("reader"), Writer: "reader"})
	if err := reader.Sync(context.Background()); err != nil {
		t.Fatalf("read of the notes: %v", err)
	}
	m.members = append(m.members, &member{book: reader})
	m.check(t)
	numbers := map[float64]uint64{}
	for number, worth := range m.history {
		if numbers[worth] != 0 {
			t.Fatalf("note %v is in force as %d and %d", worth, number, numbers[worth])
		}
		numbers[worth] = number
	}
	for _, s := range m.submissions {
		number, inForce := numbers[float64(s.serial)]
		switch {
		case s.err == nil && inForce && number != s.number:
			t.Fatalf("note %d was accepted as %d and is %d", s.serial, s.number, number)
		case s.err == nil && m.history[s.number] != 0 && m.history[s.number] != float64(s.serial):
			t.Fatalf("note %d was accepted as %d, where %v is in force", s.serial, s.number, m.history[s.number])
		case s.err == nil && s.number > reader.Head():
			t.Fatalf("note %d was accepted as %d and the platform has %d", s.serial, s.number, reader.Head())
		case s.err != nil && !metastore.IsUnknownOutcome(s.err) && inForce:
			t.Fatalf("note %d was refused (%v) and is in force as %d", s.serial, s.err, number)
		}
	}
}

var bookFaults = []metastoretest.Fault{
	metastoretest.NoFault, metastoretest.NoFault, metastoretest.NoFault,
	metastoretest.NotSent, metastoretest.LostRequest, metastoretest.LostResponse, metastoretest.Delayed,
}

// actions returns the actions by name; the caller adds the check.
func (m *bookMachine) actions() map[string]func(*rapid.T) {
	anyOf := func(t *rapid.T) *member { return m.members[rapid.IntRange(0, len(m.members)-1).Draw(t, "member")] }
	lead := func(t *rapid.T) *member { return m.members[rapid.IntRange(0, m.leads-1).Draw(t, "lead")] }
	return map[string]func(*rapid.T){
		"submit": func(t *rapid.T) {
			a := lead(t)
			a.plan = rapid.SliceOfN(rapid.SampledFrom(bookFaults), 0, 6).Draw(t, "faults")
			m.submit(a, a.book.Head())
			a.plan = nil
		},
		// Another operator's note is accepted between two calls of the first.
		"race": func(t *rapid.T) {
			a, b := lead(t), lead(t)
			if a == b {
				t.Skip()
			}
			a.countdown = rapid.IntRange(0, 4).Draw(t, "calls")
			a.between = func() {
				_ = b.book.Sync(context.Background())
				m.submit(b, b.book.Head())
			}
			m.submit(a, a.book.Head())
			a.between = nil
		},
		"old base": func(t *rapid.T) {
			a := lead(t)
			m.submit(a, uint64(rapid.IntRange(0, int(a.book.Head())).Draw(t, "base")))
		},
		"sync": func(t *rapid.T) {
			a := lead(t)
			a.plan = rapid.SliceOfN(rapid.SampledFrom(bookFaults), 0, 3).Draw(t, "faults")
			_ = a.book.Sync(context.Background())
			synctest.Wait()
			a.plan = nil
		},
		"offer": func(t *rapid.T) {
			from, to := anyOf(t), anyOf(t)
			u := from.book.UpdateSince(uint64(rapid.IntRange(0, int(to.book.Head())+1).Draw(t, "since")), rapid.SampledFrom([]int{1, 100, 10000}).Draw(t, "bytes"))
			m.old = append(m.old, u)
			m.offer(t, to, u)
		},
		"offer again": func(t *rapid.T) {
			if len(m.old) == 0 {
				t.Skip()
			}
			m.offer(t, anyOf(t), m.old[rapid.IntRange(0, len(m.old)-1).Draw(t, "update")])
		},
		"deliver": func(t *rapid.T) { lead(t).kv.DeliverDelayed() },
		"crash":   func(t *rapid.T) { m.start(rapid.IntRange(0, len(m.members)-1).Draw(t, "member")) },
		"outage": func(t *rapid.T) {
			m.store.SetDown(rapid.Bool().Draw(t, "down"))
		},
	}
}

func (m *bookMachine) run(t *rapid.T) {
	actions := m.actions()
	actions[""] = m.check
	t.Repeat(actions)
	m.store.SetDown(false)
	time.Sleep(time.Minute)
	m.final(t)
}

// runWithRestores lets the platform come back from older copies.
func (m *bookMachine) runWithRestores(t *rapid.T) {
	var copies []metastoretest.Backup
	actions := m.actions()
	actions[""] = m.checkEach
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
	m.checkEach(t)
}

func (m *bookMachine) offer(t *rapid.T, to *member, u note.Update) {
	err := to.book.ApplyUpdate(u)
	var gap *note.GapError
	var fork *note.ForkError
	if err != nil && !errors.As(err, &gap) && !(m.forks && errors.As(err, &fork)) {
		t.Fatalf("offer: %v", err)
	}
}

// TestFuzzBooks races operators over leads with a faulty platform, passes
// updates between peers in any order and again, and restarts instances.
func TestFuzzBooks(t *testing.T) {
	fuzztest.Check(t, func(rt *rapid.T) {
		inBubble(t, func() { newBookMachine().run(rt) })
	})
}

// TestFuzzBooksOverOlderCopies also restores the platform from older copies: no
// instance that runs may go back or replace a note it has in force.
func TestFuzzBooksOverOlderCopies(t *testing.T) {
	fuzztest.Check(t, func(rt *rapid.T) {
		inBubble(t, func() {
			m := newBookMachine()
			m.forks = true
			m.runWithRestores(rt)
		})
	})
}

func newBookMachine() *bookMachine {
	m := &bookMachine{store: metastoretest.NewStore(time.Now), leads: 2, members: make([]*member, 4), history: map[uint64]float64{}, parent: map[float64]float64{}}
	for i := range m.members {
		m.start(i)
	}
	return m
}

// inBubble runs f under a fake clock and passes its panic on, which is how
// rapid ends a run.
func inBubble(t *testing.T, f func()) {
	var failure any
	synctest.Test(t, func(*testing.T) {
		defer func() { failure = recover() }()
		f()
	})
	// Minimizing tells failures apart by the line of the panic; a replay that
	// ran out of data is not the failure.
	if fmt.Sprintf("%T", failure) == "rapid.invalidData" {
		panic(failure)
	}
	if failure != nil {
		panic(failure)
	}
}

func TestRestoredPlatformNeverReverts(t *testing.T) {
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
		t.Fatal("a note was accepted over an older copy")
	}
	if book.Head() != 2 {
		t.Fatalf("the head is %d", book.Head())
	}
	// An instance that has just started knows the newer notes from its peers.
	fresh := note.NewBook(note.BookOptions{KV: kv, Writer: "b"})
	if err := fresh.ApplyUpdate(book.UpdateSince(0, 1<<20)); err != nil {
		t.Fatal(err)
	}
	var behind *note.PlatformBehindError
	if err := submit(fresh, three); !errors.As(err, &behind) {
		t.Fatalf("submit: %v", err)
	}
	// One that knew no peer accepts a note; its history is a fork to the others.
	lonely := note.NewBook(note.BookOptions{KV: kv, Writer: "c"})
	if err := lonely.Sync(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := submit(lonely, three); err != nil {
		t.Fatal(err)
	}
	var fork *note.ForkError
	if err := book.ApplyUpdate(lonely.UpdateSince(1, 1<<20)); err != nil && !errors.As(err, &fork) {
		t.Fatalf("offer: %v", err)
	}
	// One that knows the newer notes accepts nothing on the fork.
	knowing := note.NewBook(note.BookOptions{KV: kv, Writer: "d"})
	if err := knowing.ApplyUpdate(book.UpdateSince(0, 1<<20)); err != nil {
		t.Fatal(err)
	}
	if err := submit(knowing, three); !errors.As(err, &fork) {
		t.Fatalf("submit: %v", err)
	}
	if got := book.State().Classes["x"].Worth; got != 2 {
		t.Fatalf("the worth is %v", got)
	}
}

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

// TestOtherHistoryIsNotAdopted offers a book the next note, and then a newer
// snapshot, of a history that differs from its own.
func TestOtherHistoryIsNotAdopted(t *testing.T) {
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
			t.Fatalf("offer: %v", err)
		}
		if s := books[0].State(); s.Head != 2 || s.Classes["x0"].Worth != 1 {
			t.Fatalf("%v", s)
		}
	}
}
