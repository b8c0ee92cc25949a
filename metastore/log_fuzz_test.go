package metastore_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingknot/internal/fuzztest"
	"redwingknot/metastore"
	"redwingknot/metastore/metastoretest"
)

const purpose = metastore.Purpose("test")

// list is the folder and the oracle's view: all entries in order.
type list struct{ entries []string }

func (l *list) Apply(index uint64, entry []byte) {
	if index != uint64(len(l.entries))+1 {
		panic(fmt.Sprintf("entry %d folded after %d", index, len(l.entries)))
	}
	l.entries = append(l.entries, string(entry))
}

func (l *list) Snapshot() [][]byte {
	data, _ := json.Marshal(l.entries)
	half := len(data) / 2
	return [][]byte{data[:half], data[half:]}
}

func (l *list) Restore(index uint64, parts [][]byte) error {
	l.entries = nil
	return json.Unmarshal(slices.Concat(parts...), &l.entries)
}

// step is a call to the service that waits for the scheduler's decision.
type step struct {
	op     metastoretest.Op
	number int
	fault  chan metastoretest.Fault
}

// node is one process with its log.
type node struct {
	name  string
	kv    *metastoretest.KV
	log   *metastore.SharedLog
	list  *list
	count int // calls made
}

// outcome of an append, as its caller saw it.
type outcome struct {
	entry string
	index uint64
	at    uint64
	err   error
	done  bool
}

// logMachine schedules every call of every process by itself.
type logMachine struct {
	store    *metastoretest.Store
	nodes    []*node
	waiting  []*step
	arrivals chan *step
	outcomes []*outcome
	serial   int
	window   uint64              // slots for which a snapshot knows every writer
	clients  []*metastoretest.KV // of all processes ever started
	down     bool
}

func newLogMachine(nodes int, window uint64) *logMachine {
	m := &logMachine{store: metastoretest.NewStore(time.Now), arrivals: make(chan *step, 1024), window: window}
	for range nodes {
		m.nodes = append(m.nodes, nil)
	}
	for i := range nodes {
		m.start(i)
	}
	return m
}

// start replaces process i by a new one; the old one's calls go on.
func (m *logMachine) start(i int) {
	m.serial++
	n := &node{name: fmt.Sprintf("w%d", m.serial), list: &list{}}
	n.kv = m.store.Client(n.name)
	n.kv.SetHook(func(ctx context.Context, op metastoretest.Op) metastoretest.Fault {
		n.count++
		s := &step{op: op, number: n.count, fault: make(chan metastoretest.Fault)}
		m.arrivals <- s
		return <-s.fault
	})
	n.log = metastore.OpenLog(n.kv, metastore.LogOptions{
		Name: "l", StateMachine: n.list, Writer: n.name, Purpose: purpose,
		SnapshotEvery: 2, TrimMargin: 1, WriterWindow: m.window, MaxBatch: 2,
		ResolveTimeout: time.Hour, CallTimeout: 24 * time.Hour,
	})
	m.clients = append(m.clients, n.kv)
	m.nodes[i] = n
}

// settle waits until every goroutine is blocked and collects the calls, in an
// order that does not depend on the scheduler of the runtime.
func (m *logMachine) settle() {
	synctest.Wait()
	for len(m.arrivals) > 0 {
		m.waiting = append(m.waiting, <-m.arrivals)
	}
	slices.SortFunc(m.waiting, func(a, b *step) int {
		if a.op.Client != b.op.Client {
			return len(a.op.Client)*1000 - len(b.op.Client)*1000 + compare(a.op.Client, b.op.Client)
		}
		return a.number - b.number
	})
}

func compare(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

func (m *logMachine) append(i int, fixed bool) {
	n := m.nodes[i]
	o := &outcome{entry: fmt.Sprintf("%s:%d", n.name, len(m.outcomes))}
	if fixed {
		o.at = n.log.AppliedIndex() + 1
	}
	m.outcomes = append(m.outcomes, o)
	go func() {
		if o.at > 0 {
			o.index, o.err = o.at, n.log.AppendAt(context.Background(), o.at, []byte(o.entry))
		} else {
			o.index, o.err = n.log.Append(context.Background(), []byte(o.entry))
		}
		o.done = true
	}()
}

func (m *logMachine) release(i int, f metastoretest.Fault) {
	s := m.waiting[i]
	m.waiting = slices.Delete(m.waiting, i, i+1)
	s.fault <- f
}

// finish ends all faults and lets every call through; it reports whether all
// processes came to rest.
func (m *logMachine) finish() bool {
	m.store.SetDown(false)
	for range 20000 {
		m.settle()
		if len(m.waiting) > 0 {
			m.release(0, metastoretest.NoFault)
			continue
		}
		if !slices.ContainsFunc(m.outcomes, func(o *outcome) bool { return !o.done }) {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// check compares the outcomes with the log that a new process reads.
func (m *logMachine) check(t *rapid.T) {
	truth := m.read(t)
	for _, n := range m.nodes {
		if !slices.Equal(n.list.entries, truth[:min(len(truth), len(n.list.entries))]) {
			t.Fatalf("%s folded %v, the log is %v", n.name, n.list.entries, truth)
		}
	}
	for _, o := range m.outcomes {
		at := slices.Index(truth, o.entry)
		switch {
		case o.err == nil && (at < 0 || o.index != uint64(at)+1):
			t.Fatalf("%s was accepted as %d, the log is %v", o.entry, o.index, truth)
		case o.err != nil && !metastore.IsUnknownOutcome(o.err) && at >= 0:
			t.Fatalf("%s was refused (%v), the log is %v", o.entry, o.err, truth)
		}
	}
	for i, e := range truth {
		if slices.Contains(truth[:i], e) {
			t.Fatalf("%s is twice in the log %v", e, truth)
		}
	}
}

func (m *logMachine) read(t *rapid.T) []string {
	l := &list{}
	reader := metastore.OpenLog(m.store.Client("reader"), metastore.LogOptions{Name: "l", StateMachine: l, Writer: "reader", Purpose: purpose})
	if err := reader.Sync(context.Background()); err != nil {
		t.Fatalf("read of the log: %v", err)
	}
	return l.entries
}

var faults = []metastoretest.Fault{
	metastoretest.NoFault, metastoretest.NoFault, metastoretest.NoFault, metastoretest.NoFault, metastoretest.NoFault, metastoretest.NoFault,
	metastoretest.NotSent, metastoretest.LostRequest, metastoretest.LostResponse, metastoretest.LostResponse, metastoretest.Delayed,
}

func (m *logMachine) run(t *rapid.T) {
	var previous []string
	t.Repeat(map[string]func(*rapid.T){
		"append": func(t *rapid.T) {
			m.append(rapid.IntRange(0, len(m.nodes)-1).Draw(t, "node"), rapid.Bool().Draw(t, "fixed"))
			m.settle()
		},
		"call": func(t *rapid.T) {
			if len(m.waiting) == 0 {
				t.Skip()
			}
			i := rapid.IntRange(0, len(m.waiting)-1).Draw(t, "call")
			m.release(i, rapid.SampledFrom(faults).Draw(t, "fault"))
			m.settle()
		},
		// One process runs on while all others pause.
		"run": func(t *rapid.T) {
			name := m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(t, "node")].name
			for range rapid.IntRange(1, 40).Draw(t, "calls") {
				i := slices.IndexFunc(m.waiting, func(s *step) bool { return s.op.Client == name })
				if i < 0 {
					return
				}
				m.release(i, metastoretest.NoFault)
				m.settle()
			}
		},
		"deliver": func(t *rapid.T) {
			m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(t, "node")].kv.DeliverDelayed()
		},
		"restart": func(t *rapid.T) {
			m.start(rapid.IntRange(0, len(m.nodes)-1).Draw(t, "node"))
		},
		"outage": func(t *rapid.T) {
			m.down = rapid.Bool().Draw(t, "down")
			m.store.SetDown(m.down)
		},
		"time": func(t *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			m.settle()
		},
		"": func(t *rapid.T) {
			m.store.SetDown(false)
			now := m.read(t)
			if len(now) < len(previous) || !slices.Equal(now[:len(previous)], previous) {
				t.Fatalf("the log was %v and became %v", previous, now)
			}
			previous = now
			m.store.SetDown(m.down)
		},
	})
	if !m.finish() {
		t.Fatalf("the log does not come to rest")
	}
	for _, c := range m.clients {
		c.DeliverDelayed()
	}
	m.check(t)
}

// TestFuzzLogAgreesWithList schedules every call of several writers one by one
// under lost answers, late requests, outages and restarts, with a snapshot and
// a trim after every second slot, and compares the outcomes with the log.
func TestFuzzLogAgreesWithList(t *testing.T) {
	cases := []struct {
		nodes  int
		window uint64
	}{{2, 1}, {2, 64}, {3, 2}, {3, 64}, {4, 3}}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d processes, window %d", c.nodes, c.window), func(t *testing.T) {
			fuzztest.Check(t, func(rt *rapid.T) {
				inBubble(t, func() {
					m := newLogMachine(c.nodes, c.window)
					defer m.finish() // a failed run leaves calls behind
					m.run(rt)
				})
			})
		})
	}
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

// TestCommitIsNotRepeatedBehindAMovedTail loses the answer to a create, lets
// others trim past it, and fails the read that follows the restored snapshot.
func TestCommitIsNotRepeatedBehindAMovedTail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastoretest.NewStore(time.Now)
		open := func(name string, kv metastore.KV) (*metastore.SharedLog, *list) {
			l := &list{}
			return metastore.OpenLog(kv, metastore.LogOptions{
				Name: "l", StateMachine: l, Writer: name, Purpose: purpose, SnapshotEvery: 2, TrimMargin: 1,
			}), l
		}
		other, _ := open("other", store.Client("other"))
		kv := store.Client("slow")
		restored := false
		var calls []string
		kv.SetHook(func(_ context.Context, op metastoretest.Op) metastoretest.Fault {
			calls = append(calls, op.Name)
			switch {
			case len(calls) == 1:
				return metastoretest.LostResponse
			case len(calls) == 2: // the read of the tail; others go on meanwhile
				for i := range 3 {
					if _, err := other.Append(context.Background(), fmt.Appendf(nil, "other%d", i)); err != nil {
						t.Error(err)
					}
					synctest.Wait() // for the snapshot
				}
			case op.Name == "range" && !restored: // behind the snapshot
				restored = true
				return metastoretest.NotSent
			}
			return metastoretest.NoFault
		})
		slow, _ := open("slow", kv)
		index, err := slow.Append(t.Context(), []byte("slow"))
		if err != nil || index != 1 || !restored {
			t.Fatalf("accepted as %d, %v by %v", index, err, calls)
		}
		reader, l := open("reader", store.Client("reader"))
		if err := reader.Sync(t.Context()); err != nil {
			t.Fatal(err)
		}
		if want := []string{"slow", "other0", "other1", "other2"}; !slices.Equal(l.entries, want) {
			t.Fatalf("the log is %v", l.entries)
		}
	})
}

// TestRestoredServiceIsAnAlarm restores the service from an older copy.
func TestRestoredServiceIsAnAlarm(t *testing.T) {
	cases := []struct {
		name   string
		others int // entries that other writers append to the older copy
	}{
		{"slot missing", 0},
		{"slot taken", 1},
		{"other log behind it", 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			kv := metastoretest.New(nil)
			l := &list{}
			log := metastore.OpenLog(kv, metastore.LogOptions{Name: "l", StateMachine: l, Writer: "a", Purpose: purpose})
			add := func(log *metastore.SharedLog, entry string) error {
				_, err := log.Append(t.Context(), []byte(entry))
				return err
			}
			assert.NilError(t, add(log, "1"))
			old := kv.Store().Backup()
			assert.NilError(t, add(log, "2"))
			kv.Store().Restore(old)
			other := metastore.OpenLog(kv, metastore.LogOptions{Name: "l", StateMachine: &list{}, Writer: "b", Purpose: purpose})
			for range c.others {
				assert.NilError(t, add(other, "x"))
			}
			assert.Assert(t, add(log, "3") != nil, "an append was accepted")
			var reverted *metastore.RevertedError
			assert.Assert(t, errors.As(log.Sync(t.Context()), &reverted))
			assert.DeepEqual(t, l.entries, []string{"1", "2"})
		})
	}
}

// TestOtherSlotBehindTheMarkIsAnAlarm has a reader whose last slot was trimmed
// on an older copy where it belongs to another writer.
func TestOtherSlotBehindTheMarkIsAnAlarm(t *testing.T) {
	kv := metastoretest.New(nil)
	open := func(writer string) (*metastore.SharedLog, *list) {
		l := &list{}
		return metastore.OpenLog(kv, metastore.LogOptions{Name: "l", StateMachine: l, Writer: writer, Purpose: purpose, SnapshotEvery: 2, TrimMargin: 1}), l
	}
	empty := kv.Store().Backup()
	log, l := open("a")
	_, err := log.Append(t.Context(), []byte("1"))
	assert.NilError(t, err)
	kv.Store().Restore(empty)
	other, _ := open("b")
	for range 3 { // slot 1 is trimmed by the snapshot of slot 2
		_, err := other.Append(t.Context(), []byte("x"))
		assert.NilError(t, err)
	}
	var reverted *metastore.RevertedError
	assert.Assert(t, errors.As(log.Sync(t.Context()), &reverted))
	assert.DeepEqual(t, l.entries, []string{"1"})
}
