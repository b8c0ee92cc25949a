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

// fakeNotes is a NoteStore that returns only its last notes one by one and the earlier
// ones as a snapshot. It records in violation any note that is out of order or has
// unexpected content.
type fakeNotes struct {
	mu         sync.Mutex
	notes      [][]byte // notes[i] is note i+1
	tailLength int      // number of last notes that UpdateSince returns one by one
	changed    chan struct{}
	appliedAt  map[uint64]time.Time // time at which each note was applied
	violation  string               // the last one found, empty if none
}

func newFakeNotes(tailLength int) *fakeNotes {
	return &fakeNotes{tailLength: tailLength, changed: make(chan struct{}), appliedAt: map[uint64]time.Time{}}
}

// noteContent returns the content that note n must have.
func noteContent(n uint64) []byte { return fmt.Appendf(nil, "note %d", n) }

func (f *fakeNotes) Head() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return uint64(len(f.notes))
}

func (f *fakeNotes) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *fakeNotes) UpdateSince(head uint64, maxBytes int) Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := uint64(len(f.notes))
	if head >= last {
		return Update{}
	}
	if snapshotHead := last - min(last, uint64(f.tailLength)); head < snapshotHead {
		return Update{SnapshotHead: snapshotHead, Snapshot: splitSnapshot(bytes.Join(f.notes[:snapshotHead], []byte("\n")))}
	}
	u := Update{First: head + 1}
	size := 0
	for _, n := range f.notes[head:] {
		if size += len(n); size > maxBytes && len(u.Notes) > 0 {
			break
		}
		u.Notes = append(u.Notes, n)
	}
	return u
}

// splitSnapshot cuts a snapshot into parts of 16 bytes, so that a pull takes
// several calls.
func splitSnapshot(content []byte) [][]byte {
	const partBytes = 16
	return slices.Collect(slices.Chunk(content, partBytes))
}

func (f *fakeNotes) ApplyUpdate(u Update) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	oldLen := len(f.notes)
	if u.SnapshotHead > uint64(oldLen) {
		f.notes = bytes.Split(bytes.Join(u.Snapshot, nil), []byte("\n"))
		if uint64(len(f.notes)) != u.SnapshotHead {
			f.violation = "snapshot does not contain as many notes as its head says"
		}
	}
	for i, n := range u.Notes {
		number := u.First + uint64(i)
		switch {
		case number <= uint64(len(f.notes)):
		case number == uint64(len(f.notes))+1:
			f.notes = append(f.notes, n)
		default:
			f.violation = fmt.Sprintf("note %d offered at head %d", number, len(f.notes))
			return &GapError{Head: uint64(len(f.notes)), First: number}
		}
	}
	f.verifyAdded(oldLen)
	return nil
}

// verifyAdded checks the notes after the first oldLen and, if there are any, closes
// the channel that Changed returned.
func (f *fakeNotes) verifyAdded(oldLen int) {
	if len(f.notes) == oldLen {
		return
	}
	for i := oldLen; i < len(f.notes); i++ {
		if !bytes.Equal(f.notes[i], noteContent(uint64(i+1))) {
			f.violation = fmt.Sprintf("note %d is %q", i+1, f.notes[i])
		}
		f.appliedAt[uint64(i+1)] = time.Now()
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// acceptUpTo adds the notes up to the given number, as if read from the platform.
func (f *fakeNotes) acceptUpTo(upTo uint64) {
	head := f.Head()
	var u Update
	for n := head + 1; n <= upTo; n++ {
		u.Notes = append(u.Notes, noteContent(n))
	}
	u.First = head + 1
	f.ApplyUpdate(u)
}

// testInstance is an instance with its membership, note store and NoteReplicator.
type testInstance struct {
	members    *instance.Membership
	notes      *fakeNotes
	replicator *NoteReplicator
	addr       string
	stop       context.CancelFunc
	done       sync.WaitGroup
}

// startInstance starts an instance with an empty fakeNotes.
func startInstance(ctx context.Context, network *instancetest.Network, dataCentre string, index int, incarnation uint64, seeds ...string) *testInstance {
	notes := newFakeNotes(4)
	inst := startInstanceWith(ctx, network, notes, dataCentre, index, incarnation, seeds...)
	inst.notes = notes
	return inst
}

// startInstanceWith starts an instance that replicates notes.
func startInstanceWith(ctx context.Context, network *instancetest.Network, notes NoteStore, dataCentre string, index int, incarnation uint64, seeds ...string) *testInstance {
	id := fmt.Sprintf("%s-%d", dataCentre, index)
	inst := &testInstance{addr: id + ":1"}
	self := instance.Member{ID: id, Incarnation: incarnation, DataCentre: dataCentre, Addr: inst.addr}
	inst.members, _ = instance.New(instance.Config{Self: self, Seeds: seeds, Caller: network.Caller(inst.addr)})
	inst.replicator = NewNoteReplicator(NoteReplicatorConfig{Notes: notes, Members: inst.members})
	instancetest.Handle(network, inst.addr, instance.MethodHeartbeat, inst.members.HandleHeartbeat)
	instancetest.Handle(network, inst.addr, methodPush, inst.replicator.handlePush)
	instancetest.Handle(network, inst.addr, methodPull, inst.replicator.handlePull)
	ctx, inst.stop = context.WithCancel(ctx)
	inst.done.Go(func() { inst.members.Run(ctx) })
	inst.done.Go(func() { inst.replicator.Run(ctx) })
	return inst
}

// stopInstances stops the instances and waits until they have stopped.
func stopInstances(all []*testInstance) {
	for _, inst := range all {
		inst.stop()
	}
	for _, inst := range all {
		inst.done.Wait()
	}
}

// TestPushIgnoresNotesThatDoNotFollowHead pushes a note after a gap and a note that
// is already in force; neither may change the head.
func TestPushIgnoresNotesThatDoNotFollowHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := instancetest.NewNetwork()
		inst := startInstance(t.Context(), network, "ilala", 0, 1)
		inst.notes.acceptUpTo(3)
		answer, err := inst.replicator.handlePush(t.Context(), &datacentrepb.Push{Head: 6, First: 6, Notes: [][]byte{noteContent(6)}})
		assert.NilError(t, err)
		assert.Equal(t, answer.Head, uint64(3))
		answer, err = inst.replicator.handlePush(t.Context(), &datacentrepb.Push{Head: 2, First: 2, Notes: [][]byte{noteContent(2)}})
		assert.NilError(t, err)
		assert.Equal(t, answer.Head, uint64(3))
		assert.Equal(t, inst.notes.violation, "")
		stopInstances([]*testInstance{inst})
	})
}

// TestNoteBooksReplicate replicates between books of package note instead of fakes.
// One book reads and writes the platform, the others only receive notes from peers,
// and one starts after the last note was accepted and so needs a snapshot.
func TestNoteBooksReplicate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := instancetest.NewNetwork()
		writer := note.NewBook(note.BookOptions{KV: metastoretest.New(time.Now), Writer: "a"})
		books := []*note.Book{writer}
		all := []*testInstance{startInstanceWith(t.Context(), network, writer, "ilala", 0, 1)}
		start := func(dataCentre string, index int) {
			b := note.NewBook(note.BookOptions{})
			books = append(books, b)
			all = append(all, startInstanceWith(t.Context(), network, b, dataCentre, index, 1, "ilala-0:1"))
		}
		start("ilala", 1)
		start("ilala", 2)
		start("temeke", 0)
		time.Sleep(10 * time.Second)
		const notes = 300
		for i := range notes {
			raw := fmt.Sprintf("title: t\nadd: {classes: [{name: x%d, worth: 1, firstIn: 1s, deadline: 1s}]}", i)
			_, err := writer.Submit(t.Context(), uint64(i), []byte(raw))
			assert.NilError(t, err)
			time.Sleep(10 * time.Millisecond)
		}
		start("temeke", 1)
		time.Sleep(20 * time.Second)
		for i, b := range books {
			assert.Equal(t, b.Head(), uint64(notes), "%s", all[i].addr)
			assert.Equal(t, len(b.State().Classes), notes)
			assert.Equal(t, all[i].replicator.Lag(), uint64(0))
		}
		stopInstances(all)
	})
}

// TestFuzzNoteReplication accepts notes at some instances while messages are lost,
// the data centres are cut off from each other and instances are replaced by ones
// without notes. Once the faults have ended, all must reach the highest head.
func TestFuzzNoteReplication(t *testing.T) {
	type action struct {
		kind   string
		target int
		wait   time.Duration
	}
	fuzztest.Check(t, func(rt *rapid.T) {
		actions := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
			return action{
				kind:   rapid.SampledFrom([]string{"accept", "accept", "cut", "lossy", "heal", "replace"}).Draw(t, "kind"),
				target: rapid.IntRange(0, 5).Draw(t, "who"),
				wait:   time.Duration(rapid.SampledFrom([]int{0, 100, 700, 3000}).Draw(t, "wait")) * time.Millisecond,
			}
		}), 3, 15).Draw(rt, "acts")
		failure := ""
		synctest.Test(t, func(t *testing.T) {
			network := instancetest.NewNetwork()
			dataCentres := []string{"ilala", "temeke"}
			seeds := []string{"ilala-0:1", "temeke-0:1"}
			all := make([]*testInstance, 6)
			var replaced []*testInstance
			for i := range all {
				all[i] = startInstance(t.Context(), network, dataCentres[i%2], i/2, 1, seeds...)
			}
			time.Sleep(5 * time.Second)
			head, incarnation := uint64(0), uint64(1)
			for _, a := range actions {
				switch a.kind {
				case "accept":
					head++
					all[a.target].notes.acceptUpTo(head)
				case "cut":
					isolated := dataCentres[a.target%2]
					network.DropMessages(func(from, to string) bool { return from[:2] == isolated[:2] != (to[:2] == isolated[:2]) })
				case "lossy":
					count := 0
					network.DropMessages(func(string, string) bool { count++; return count%3 == a.target%3 })
				case "heal":
					network.DropMessages(nil)
				case "replace":
					incarnation++
					all[a.target].stop()
					replaced = append(replaced, all[a.target])
					all[a.target] = startInstance(t.Context(), network, dataCentres[a.target%2], a.target/2, incarnation, seeds...)
				}
				time.Sleep(a.wait)
			}
			network.DropMessages(nil)
			highest := uint64(0)
			for _, inst := range all {
				highest = max(highest, inst.notes.Head())
			}
			for range 9 {
				time.Sleep(10 * time.Second)
				if allAtHead(all, highest) {
					break
				}
			}
			for _, inst := range all {
				if inst.notes.Head() != highest {
					failure = fmt.Sprintf("%s is at %d of %d", inst.addr, inst.notes.Head(), highest)
				}
				if inst.notes.violation != "" {
					failure = inst.notes.violation
				}
			}
			stopInstances(append(all, replaced...))
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// allAtHead reports whether every instance has the given head.
func allAtHead(all []*testInstance, head uint64) bool {
	return !slices.ContainsFunc(all, func(inst *testInstance) bool { return inst.notes.Head() != head })
}

func TestMeasureReplication(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Skip("set " + measureEnv + " to measure")
	}
	for _, size := range []struct{ dataCentres, instancesEach int }{{1, 8}, {1, 32}, {1, 128}, {9, 8}, {9, 42}} {
		synctest.Test(t, func(t *testing.T) { measureReplication(t, size.dataCentres, size.instancesEach) })
	}
}

// measureReplication logs the delays and the traffic of replication. Notes are
// accepted at one instance of the first data centre only, as when the others are
// cut off from the platform, and then at one instance of each data centre.
func measureReplication(t *testing.T, dataCentres, instancesEach int) {
	network := instancetest.NewNetwork()
	network.Delay = time.Millisecond
	var all []*testInstance
	var seeds []string
	for d := range dataCentres {
		seeds = append(seeds, fmt.Sprintf("dc%d-0:1", d))
	}
	for d := range dataCentres {
		for i := range instancesEach {
			all = append(all, startInstance(t.Context(), network, fmt.Sprintf("dc%d", d), i, 1, seeds...))
		}
	}
	time.Sleep(2 * time.Minute)
	quietCalls, quietBytes := network.Calls.Load(), network.Bytes.Load()
	const quietSeconds = 60
	time.Sleep(quietSeconds * time.Second)
	quietCalls, quietBytes = network.Calls.Load()-quietCalls, network.Bytes.Load()-quietBytes
	for _, readers := range []int{1, dataCentres} {
		var delays []time.Duration
		head := all[0].notes.Head()
		startCalls, startBytes := network.Calls.Load(), network.Bytes.Load()
		const notes = 20
		for range notes {
			head++
			start := time.Now()
			for d := range readers {
				all[d*instancesEach].notes.acceptUpTo(head)
			}
			time.Sleep(5 * time.Second)
			for _, inst := range all {
				appliedAt, ok := inst.notes.appliedAt[head]
				if !ok {
					appliedAt = start.Add(time.Hour)
				}
				delays = append(delays, appliedAt.Sub(start))
			}
		}
		slices.Sort(delays)
		seconds := int64(notes * 5)
		extraCalls := float64(network.Calls.Load()-startCalls-quietCalls*seconds/quietSeconds) / notes
		extraBytes := float64(network.Bytes.Load()-startBytes-quietBytes*seconds/quietSeconds) / notes
		t.Logf("%d x %3d instances, read in %d data centres: p50 %v p99 %v max %v; %.0f calls %.0f payload bytes a note over all",
			dataCentres, instancesEach, readers, delays[len(delays)/2], delays[len(delays)*99/100], delays[len(delays)-1], extraCalls, extraBytes)
	}
	stopInstances(all)
}
