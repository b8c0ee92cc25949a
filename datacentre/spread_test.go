package datacentre

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingknot/datacentre/datacentrepb"
	"redwingknot/instance"
	"redwingknot/instance/instancetest"
	"redwingknot/internal/fuzztest"
	"redwingknot/metastore/metastoretest"
	"redwingknot/note"
)

// book is a Notes that keeps only the last notes and a snapshot of the others,
// and remembers every breach of the order.
type book struct {
	mu      sync.Mutex
	notes   [][]byte // from number 1
	kept    int      // notes that Since gives one by one
	changed chan struct{}
	at      map[uint64]time.Time
	wrong   string
}

func newBook(kept int) *book {
	return &book{kept: kept, changed: make(chan struct{}), at: map[uint64]time.Time{}}
}

func contentOf(n uint64) []byte { return fmt.Appendf(nil, "note %d", n) }

func (b *book) Head() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return uint64(len(b.notes))
}

func (b *book) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

func (b *book) UpdateSince(head uint64, maxBytes int) Update {
	b.mu.Lock()
	defer b.mu.Unlock()
	last := uint64(len(b.notes))
	if head >= last {
		return Update{}
	}
	if cut := last - min(last, uint64(b.kept)); head < cut {
		return Update{SnapshotHead: cut, Snapshot: split(bytes.Join(b.notes[:cut], []byte("\n")))}
	}
	u := Update{First: head + 1}
	size := 0
	for _, n := range b.notes[head:] {
		if size += len(n); size > maxBytes && len(u.Notes) > 0 {
			break
		}
		u.Notes = append(u.Notes, n)
	}
	return u
}

// split cuts a snapshot into small parts.
func split(content []byte) [][]byte {
	const partBytes = 16
	return slices.Collect(slices.Chunk(content, partBytes))
}

func (b *book) ApplyUpdate(u Update) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := len(b.notes)
	if u.SnapshotHead > uint64(before) {
		b.notes = bytes.Split(bytes.Join(u.Snapshot, nil), []byte("\n"))
		if uint64(len(b.notes)) != u.SnapshotHead {
			b.wrong = "snapshot does not have its notes"
		}
	}
	for i, n := range u.Notes {
		number := u.First + uint64(i)
		switch {
		case number <= uint64(len(b.notes)):
		case number == uint64(len(b.notes))+1:
			b.notes = append(b.notes, n)
		default:
			b.wrong = fmt.Sprintf("note %d offered at head %d", number, len(b.notes))
			return &GapError{Head: uint64(len(b.notes)), First: number}
		}
	}
	b.rise(before)
	return nil
}

// rise checks what was added and wakes those who wait.
func (b *book) rise(before int) {
	if len(b.notes) == before {
		return
	}
	for i := before; i < len(b.notes); i++ {
		if !bytes.Equal(b.notes[i], contentOf(uint64(i+1))) {
			b.wrong = fmt.Sprintf("note %d is %q", i+1, b.notes[i])
		}
		b.at[uint64(i+1)] = time.Now()
	}
	close(b.changed)
	b.changed = make(chan struct{})
}

// accept adds notes as read from the platform.
func (b *book) accept(upTo uint64) {
	head := b.Head()
	var u Update
	for n := head + 1; n <= upTo; n++ {
		u.Notes = append(u.Notes, contentOf(n))
	}
	u.First = head + 1
	b.ApplyUpdate(u)
}

// station is an instance with membership, book and spread.
type station struct {
	members *instance.Membership
	book    *book
	spread  *NoteReplicator
	addr    string
	stop    context.CancelFunc
	done    sync.WaitGroup
}

func startStation(ctx context.Context, n *instancetest.Network, dc string, i int, incarnation uint64, seeds ...string) *station {
	b := newBook(4)
	s := startNotes(ctx, n, b, dc, i, incarnation, seeds...)
	s.book = b
	return s
}

func startNotes(ctx context.Context, n *instancetest.Network, notes NoteStore, dc string, i int, incarnation uint64, seeds ...string) *station {
	id := fmt.Sprintf("%s-%d", dc, i)
	s := &station{addr: id + ":1"}
	self := instance.Member{ID: id, Incarnation: incarnation, DataCentre: dc, Addr: s.addr}
	s.members, _ = instance.New(instance.Config{Self: self, Seeds: seeds, Caller: n.Caller(s.addr)})
	s.spread = NewNoteReplicator(NoteReplicatorConfig{Notes: notes, Members: s.members})
	instancetest.Handle(n, s.addr, instance.MethodHeartbeat, s.members.HandleHeartbeat)
	instancetest.Handle(n, s.addr, methodPush, s.spread.handlePush)
	instancetest.Handle(n, s.addr, methodPull, s.spread.handlePull)
	ctx, s.stop = context.WithCancel(ctx)
	s.done.Go(func() { s.members.Run(ctx) })
	s.done.Go(func() { s.spread.Run(ctx) })
	return s
}

func stopStations(all []*station) {
	for _, s := range all {
		s.stop()
	}
	for _, s := range all {
		s.done.Wait()
	}
}

func TestPushRefusesWhatDoesNotFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := instancetest.NewNetwork()
		s := startStation(t.Context(), n, "ilala", 0, 1)
		s.book.accept(3)
		answer, err := s.spread.handlePush(t.Context(), &datacentrepb.Push{Head: 6, First: 6, Notes: [][]byte{contentOf(6)}})
		assert.NilError(t, err)
		assert.Equal(t, answer.Head, uint64(3))
		answer, err = s.spread.handlePush(t.Context(), &datacentrepb.Push{Head: 2, First: 2, Notes: [][]byte{contentOf(2)}})
		assert.NilError(t, err)
		assert.Equal(t, answer.Head, uint64(3))
		assert.Equal(t, s.book.wrong, "")
		stopStations([]*station{s})
	})
}

// TestBooksOfNotesSpread runs the real books: one reads the platform, the
// others have only their peers, and one starts after the notes have been folded.
func TestBooksOfNotesSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := instancetest.NewNetwork()
		writer := note.NewBook(note.BookOptions{KV: metastoretest.New(time.Now), Writer: "a"})
		books := []*note.Book{writer}
		all := []*station{startNotes(t.Context(), n, writer, "ilala", 0, 1)}
		join := func(dc string, i int) {
			b := note.NewBook(note.BookOptions{})
			books = append(books, b)
			all = append(all, startNotes(t.Context(), n, b, dc, i, 1, "ilala-0:1"))
		}
		join("ilala", 1)
		join("ilala", 2)
		join("temeke", 0)
		time.Sleep(10 * time.Second)
		const notes = 300
		for i := range notes {
			raw := fmt.Sprintf("title: t\nadd: {classes: [{name: x%d, worth: 1, firstIn: 1s, deadline: 1s}]}", i)
			_, err := writer.Submit(t.Context(), uint64(i), []byte(raw))
			assert.NilError(t, err)
			time.Sleep(10 * time.Millisecond)
		}
		join("temeke", 1)
		time.Sleep(20 * time.Second)
		for i, b := range books {
			assert.Equal(t, b.Head(), uint64(notes), "%s", all[i].addr)
			assert.Equal(t, len(b.State().Classes), notes)
			assert.Equal(t, all[i].spread.Lag(), uint64(0))
		}
		stopStations(all)
	})
}

// TestFuzzNotesSpread accepts notes at some instances while messages are lost,
// parts are cut off and instances are replaced by empty ones.
func TestFuzzNotesSpread(t *testing.T) {
	type act struct {
		kind string
		who  int
		wait time.Duration
	}
	fuzztest.Check(t, func(rt *rapid.T) {
		acts := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) act {
			return act{
				kind: rapid.SampledFrom([]string{"accept", "accept", "cut", "lossy", "heal", "replace"}).Draw(t, "kind"),
				who:  rapid.IntRange(0, 5).Draw(t, "who"),
				wait: time.Duration(rapid.SampledFrom([]int{0, 100, 700, 3000}).Draw(t, "wait")) * time.Millisecond,
			}
		}), 3, 15).Draw(rt, "acts")
		wrong := ""
		synctest.Test(t, func(t *testing.T) {
			n := instancetest.NewNetwork()
			dcs := []string{"ilala", "temeke"}
			seeds := []string{"ilala-0:1", "temeke-0:1"}
			all := make([]*station, 6)
			var old []*station
			for i := range all {
				all[i] = startStation(t.Context(), n, dcs[i%2], i/2, 1, seeds...)
			}
			time.Sleep(5 * time.Second)
			head, incarnation := uint64(0), uint64(1)
			for _, a := range acts {
				switch a.kind {
				case "accept":
					head++
					all[a.who].book.accept(head)
				case "cut":
					side := dcs[a.who%2]
					n.DropMessages(func(from, to string) bool { return from[:2] == side[:2] != (to[:2] == side[:2]) })
				case "lossy":
					count := 0
					n.DropMessages(func(string, string) bool { count++; return count%3 == a.who%3 })
				case "heal":
					n.DropMessages(nil)
				case "replace":
					incarnation++
					all[a.who].stop()
					old = append(old, all[a.who])
					all[a.who] = startStation(t.Context(), n, dcs[a.who%2], a.who/2, incarnation, seeds...)
				}
				time.Sleep(a.wait)
			}
			n.DropMessages(nil)
			highest := uint64(0)
			for _, s := range all {
				highest = max(highest, s.book.Head())
			}
			for range 9 {
				time.Sleep(10 * time.Second)
				if allAt(all, highest) {
					break
				}
			}
			for _, s := range all {
				if s.book.Head() != highest {
					wrong = fmt.Sprintf("%s is at %d of %d", s.addr, s.book.Head(), highest)
				}
				if s.book.wrong != "" {
					wrong = s.book.wrong
				}
			}
			stopStations(append(all, old...))
		})
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

func allAt(all []*station, head uint64) bool {
	return !slices.ContainsFunc(all, func(s *station) bool { return s.book.Head() != head })
}

func TestMeasureSpread(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Skip("set " + measureEnv + " to measure")
	}
	for _, size := range []struct{ dcs, each int }{{1, 8}, {1, 32}, {1, 128}, {9, 8}, {9, 42}} {
		synctest.Test(t, func(t *testing.T) { measureSpread(t, size.dcs, size.each) })
	}
}

// measureSpread accepts notes at one instance of each data centre and at one of
// the first only, as when the others are cut off from the platform.
func measureSpread(t *testing.T, dcs, each int) {
	n := instancetest.NewNetwork()
	n.Delay = time.Millisecond
	var all []*station
	var seeds []string
	for d := range dcs {
		seeds = append(seeds, fmt.Sprintf("dc%d-0:1", d))
	}
	for d := range dcs {
		for i := range each {
			all = append(all, startStation(t.Context(), n, fmt.Sprintf("dc%d", d), i, 1, seeds...))
		}
	}
	time.Sleep(2 * time.Minute)
	calls, size := n.Calls.Load(), n.Bytes.Load()
	const quiet = 60
	time.Sleep(quiet * time.Second)
	calls, size = n.Calls.Load()-calls, n.Bytes.Load()-size
	for _, readers := range []int{1, dcs} {
		var times []time.Duration
		head := all[0].book.Head()
		c0, b0 := n.Calls.Load(), n.Bytes.Load()
		const notes = 20
		for range notes {
			head++
			start := time.Now()
			for d := range readers {
				all[d*each].book.accept(head)
			}
			time.Sleep(5 * time.Second)
			for _, s := range all {
				at, ok := s.book.at[head]
				if !ok {
					at = start.Add(time.Hour)
				}
				times = append(times, at.Sub(start))
			}
		}
		slices.Sort(times)
		seconds := int64(notes * 5)
		extraCalls := float64(n.Calls.Load()-c0-calls*seconds/quiet) / notes
		extraBytes := float64(n.Bytes.Load()-b0-size*seconds/quiet) / notes
		t.Logf("%d x %3d instances, read in %d data centres: p50 %v p99 %v max %v; %.0f calls %.0f payload bytes a note over all",
			dcs, each, readers, times[len(times)/2], times[len(times)*99/100], times[len(times)-1], extraCalls, extraBytes)
	}
	stopStations(all)
}
