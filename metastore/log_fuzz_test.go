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

// entryList is a StateMachine that keeps all entries in order, which is also the
// reference to which the tests compare a log.
type entryList struct{ entries []string }

func (l *entryList) Apply(index uint64, entry []byte) {
	if index != uint64(len(l.entries))+1 {
		panic(fmt.Sprintf("entry %d applied after %d", index, len(l.entries)))
	}
	l.entries = append(l.entries, string(entry))
}

func (l *entryList) Snapshot() [][]byte {
	data, _ := json.Marshal(l.entries)
	half := len(data) / 2
	return [][]byte{data[:half], data[half:]}
}

func (l *entryList) Restore(index uint64, parts [][]byte) error {
	l.entries = nil
	return json.Unmarshal(slices.Concat(parts...), &l.entries)
}

// blockedCall is a call to the service that waits until the simulation lets it
// continue with a fault.
type blockedCall struct {
	op       metastoretest.Op
	sequence int // number of the call among those of its process
	fault    chan metastoretest.Fault
}

// process is a simulated process with its log.
type process struct {
	name  string
	kv    *metastoretest.KV
	log   *metastore.SharedLog
	list  *entryList
	calls int // number of calls made
}

// appendCall is an append with the outcome that its caller got.
type appendCall struct {
	entry         string
	index         uint64 // index of the accepted entry
	requiredIndex uint64 // index passed to AppendAt; 0 means Append
	err           error
	done          bool // whether the append has returned
}

// logSimulation runs several processes on one store and schedules each of their
// calls to the service separately.
type logSimulation struct {
	store     *metastoretest.Store
	processes []*process
	blocked   []*blockedCall
	arrivals  chan *blockedCall // new calls, which settle moves to blocked
	appends   []*appendCall
	started   int                 // number of processes ever started
	window    uint64              // LogOptions.WriterWindow of the processes
	clients   []*metastoretest.KV // connections of all processes ever started
	down      bool                // whether the run has an outage
}

func newLogSimulation(processes int, window uint64) *logSimulation {
	sim := &logSimulation{store: metastoretest.NewStore(time.Now), arrivals: make(chan *blockedCall, 1024), window: window}
	for range processes {
		sim.processes = append(sim.processes, nil)
	}
	for i := range processes {
		sim.start(i)
	}
	return sim
}

// start replaces process i by a new one. The calls of the old one continue.
func (sim *logSimulation) start(i int) {
	sim.started++
	p := &process{name: fmt.Sprintf("w%d", sim.started), list: &entryList{}}
	p.kv = sim.store.Client(p.name)
	p.kv.SetHook(func(ctx context.Context, op metastoretest.Op) metastoretest.Fault {
		p.calls++
		c := &blockedCall{op: op, sequence: p.calls, fault: make(chan metastoretest.Fault)}
		sim.arrivals <- c
		return <-c.fault
	})
	p.log = metastore.OpenLog(p.kv, metastore.LogOptions{
		Name: "l", StateMachine: p.list, Writer: p.name, Purpose: purpose,
		SnapshotEvery: 2, TrimMargin: 1, WriterWindow: sim.window, MaxBatch: 2,
		ResolveTimeout: time.Hour, CallTimeout: 24 * time.Hour,
	})
	sim.clients = append(sim.clients, p.kv)
	sim.processes[i] = p
}

// settle waits until every goroutine is blocked and collects the blocked calls
// in an order that doesn't depend on the Go scheduler.
func (sim *logSimulation) settle() {
	synctest.Wait()
	for len(sim.arrivals) > 0 {
		sim.blocked = append(sim.blocked, <-sim.arrivals)
	}
	slices.SortFunc(sim.blocked, func(a, b *blockedCall) int {
		if a.op.Client != b.op.Client { // shorter names first, so that w10 comes after w9
			return len(a.op.Client)*1000 - len(b.op.Client)*1000 + compare(a.op.Client, b.op.Client)
		}
		return a.sequence - b.sequence
	})
}

func compare(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

// startAppend starts an append by process i; with atNextIndex it requires the
// index after the last entry that the process has applied.
func (sim *logSimulation) startAppend(i int, atNextIndex bool) {
	p := sim.processes[i]
	a := &appendCall{entry: fmt.Sprintf("%s:%d", p.name, len(sim.appends))}
	if atNextIndex {
		a.requiredIndex = p.log.AppliedIndex() + 1
	}
	sim.appends = append(sim.appends, a)
	go func() {
		if a.requiredIndex > 0 {
			a.index, a.err = a.requiredIndex, p.log.AppendAt(context.Background(), a.requiredIndex, []byte(a.entry))
		} else {
			a.index, a.err = p.log.Append(context.Background(), []byte(a.entry))
		}
		a.done = true
	}()
}

// unblock lets blocked call i continue with fault f.
func (sim *logSimulation) unblock(i int, f metastoretest.Fault) {
	c := sim.blocked[i]
	sim.blocked = slices.Delete(sim.blocked, i, i+1)
	c.fault <- f
}

// finish ends all faults and lets every call continue. It reports whether all
// appends have returned.
func (sim *logSimulation) finish() bool {
	sim.store.SetDown(false)
	for range 20000 {
		sim.settle()
		if len(sim.blocked) > 0 {
			sim.unblock(0, metastoretest.NoFault)
			continue
		}
		if !slices.ContainsFunc(sim.appends, func(a *appendCall) bool { return !a.done }) {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// checkOutcomes compares the outcomes of the appends and the entries that each
// process applied with the log that a new process reads.
func (sim *logSimulation) checkOutcomes(t *rapid.T) {
	logged := sim.readLog(t)
	for _, p := range sim.processes {
		if !slices.Equal(p.list.entries, logged[:min(len(logged), len(p.list.entries))]) {
			t.Fatalf("%s applied %v, the log is %v", p.name, p.list.entries, logged)
		}
	}
	for _, a := range sim.appends {
		i := slices.Index(logged, a.entry)
		switch {
		case a.err == nil && (i < 0 || a.index != uint64(i)+1):
			t.Fatalf("%s was accepted as %d, the log is %v", a.entry, a.index, logged)
		case a.err != nil && !metastore.IsUnknownOutcome(a.err) && i >= 0:
			t.Fatalf("%s was refused (%v), the log is %v", a.entry, a.err, logged)
		}
	}
	for i, e := range logged {
		if slices.Contains(logged[:i], e) {
			t.Fatalf("%s appears twice in the log %v", e, logged)
		}
	}
}

// readLog returns the entries that a new process reads from the log.
func (sim *logSimulation) readLog(t *rapid.T) []string {
	l := &entryList{}
	reader := metastore.OpenLog(sim.store.Client("reader"), metastore.LogOptions{Name: "l", StateMachine: l, Writer: "reader", Purpose: purpose})
	if err := reader.Sync(context.Background()); err != nil {
		t.Fatalf("reading the log: %v", err)
	}
	return l.entries
}

var faults = []metastoretest.Fault{
	metastoretest.NoFault, metastoretest.NoFault, metastoretest.NoFault, metastoretest.NoFault, metastoretest.NoFault, metastoretest.NoFault,
	metastoretest.NotSent, metastoretest.LostRequest, metastoretest.LostResponse, metastoretest.LostResponse, metastoretest.Delayed,
}

// run repeats random actions. After each, it checks that the log was only
// extended; at the end, it checks the outcomes of the appends.
func (sim *logSimulation) run(t *rapid.T) {
	var previous []string
	t.Repeat(map[string]func(*rapid.T){
		"append": func(t *rapid.T) {
			sim.startAppend(rapid.IntRange(0, len(sim.processes)-1).Draw(t, "node"), rapid.Bool().Draw(t, "fixed"))
			sim.settle()
		},
		"call": func(t *rapid.T) {
			if len(sim.blocked) == 0 {
				t.Skip()
			}
			i := rapid.IntRange(0, len(sim.blocked)-1).Draw(t, "call")
			sim.unblock(i, rapid.SampledFrom(faults).Draw(t, "fault"))
			sim.settle()
		},
		// One process continues while all others are paused.
		"run": func(t *rapid.T) {
			name := sim.processes[rapid.IntRange(0, len(sim.processes)-1).Draw(t, "node")].name
			for range rapid.IntRange(1, 40).Draw(t, "calls") {
				i := slices.IndexFunc(sim.blocked, func(c *blockedCall) bool { return c.op.Client == name })
				if i < 0 {
					return
				}
				sim.unblock(i, metastoretest.NoFault)
				sim.settle()
			}
		},
		"deliver": func(t *rapid.T) {
			sim.processes[rapid.IntRange(0, len(sim.processes)-1).Draw(t, "node")].kv.DeliverDelayed()
		},
		"restart": func(t *rapid.T) {
			sim.start(rapid.IntRange(0, len(sim.processes)-1).Draw(t, "node"))
		},
		"outage": func(t *rapid.T) {
			sim.down = rapid.Bool().Draw(t, "down")
			sim.store.SetDown(sim.down)
		},
		"time": func(t *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			sim.settle()
		},
		"": func(t *rapid.T) {
			sim.store.SetDown(false)
			current := sim.readLog(t)
			if len(current) < len(previous) || !slices.Equal(current[:len(previous)], previous) {
				t.Fatalf("the log was %v and became %v", previous, current)
			}
			previous = current
			sim.store.SetDown(sim.down)
		},
	})
	if !sim.finish() {
		t.Fatalf("some appends did not return")
	}
	for _, c := range sim.clients {
		c.DeliverDelayed()
	}
	sim.checkOutcomes(t)
}

// TestFuzzLogAgreesWithList schedules the calls of several writers one by one,
// with lost responses, delayed requests, outages and restarts and with a
// snapshot and a trim after every second slot, and compares the outcomes of the
// appends with the log.
func TestFuzzLogAgreesWithList(t *testing.T) {
	cases := []struct {
		processes int
		window    uint64
	}{{2, 1}, {2, 64}, {3, 2}, {3, 64}, {4, 3}}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d processes, window %d", c.processes, c.window), func(t *testing.T) {
			fuzztest.Check(t, func(rt *rapid.T) {
				runWithFakeClock(t, func() {
					sim := newLogSimulation(c.processes, c.window)
					defer sim.finish() // a failed run leaves blocked calls
					sim.run(rt)
				})
			})
		})
	}
}

// runWithFakeClock runs f with a fake clock in a synctest bubble and repeats
// its panic outside the bubble, because rapid ends a run by a panic.
func runWithFakeClock(t *testing.T, f func()) {
	var failure any
	synctest.Test(t, func(*testing.T) {
		defer func() { failure = recover() }()
		f()
	})
	// While rapid minimizes a failure, it distinguishes failures by the line of
	// the panic. A replay that ran out of data is not the failure and needs its
	// own line.
	if fmt.Sprintf("%T", failure) == "rapid.invalidData" {
		panic(failure)
	}
	if failure != nil {
		panic(failure)
	}
}

// TestCommitIsNotRepeatedAfterTrim checks that a commit is not written twice
// when the response to its create is lost, others trim the log past its slot,
// and the read after the restored snapshot fails.
func TestCommitIsNotRepeatedAfterTrim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastoretest.NewStore(time.Now)
		open := func(name string, kv metastore.KV) (*metastore.SharedLog, *entryList) {
			l := &entryList{}
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
			case len(calls) == 2: // the read after the create; meanwhile another writer appends
				for i := range 3 {
					if _, err := other.Append(context.Background(), fmt.Appendf(nil, "other%d", i)); err != nil {
						t.Error(err)
					}
					synctest.Wait() // for the snapshot and the trim
				}
			case op.Name == "range" && !restored: // the read after the snapshot was restored
				restored = true
				return metastoretest.NotSent
			}
			return metastoretest.NoFault
		})
		slow, _ := open("slow", kv)
		index, err := slow.Append(t.Context(), []byte("slow"))
		if err != nil || index != 1 || !restored {
			t.Fatalf("accepted as %d, error %v after the calls %v", index, err, calls)
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

// TestRestoredBackupIsReportedAsReverted checks that appends and reads fail
// once the service has been restored from an older copy, and that applied
// entries stay.
func TestRestoredBackupIsReportedAsReverted(t *testing.T) {
	cases := []struct {
		name   string
		others int // entries that other writers append to the older copy
	}{
		{"slot missing", 0},
		{"slot taken", 1},
		{"slot taken and another follows", 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			kv := metastoretest.New(nil)
			l := &entryList{}
			log := metastore.OpenLog(kv, metastore.LogOptions{Name: "l", StateMachine: l, Writer: "a", Purpose: purpose})
			add := func(log *metastore.SharedLog, entry string) error {
				_, err := log.Append(t.Context(), []byte(entry))
				return err
			}
			assert.NilError(t, add(log, "1"))
			old := kv.Store().Backup()
			assert.NilError(t, add(log, "2"))
			kv.Store().Restore(old)
			other := metastore.OpenLog(kv, metastore.LogOptions{Name: "l", StateMachine: &entryList{}, Writer: "b", Purpose: purpose})
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

// TestReplacedTrimmedSlotIsReportedAsReverted checks that a reader notices a
// restored older copy when its last slot was written there by another writer
// and is already trimmed.
func TestReplacedTrimmedSlotIsReportedAsReverted(t *testing.T) {
	kv := metastoretest.New(nil)
	open := func(writer string) (*metastore.SharedLog, *entryList) {
		l := &entryList{}
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
