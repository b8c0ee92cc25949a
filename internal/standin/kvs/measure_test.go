package kvs_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/http/httptest"
	"os"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"redwingknot/internal/standin/kvs"
	"redwingknot/metastore"
	"redwingknot/note"
)

// measureEnv enables the measurements of this file.
const measureEnv = "REDWINGKNOT_MEASURE"

func measured(t *testing.T) {
	t.Helper()
	if os.Getenv(measureEnv) == "" {
		t.Skip("set " + measureEnv + " to measure")
	}
}

// held is the service at its rates, behind HTTP.
func held(t *testing.T) (*kvs.Server, string) {
	s := kvs.New(kvs.Options{WritesPerSecond: 300, ReadsPerSecond: 2000, MaxWait: 30 * time.Second})
	web := httptest.NewServer(s)
	t.Cleanup(web.Close)
	return s, web.URL
}

// sink is a folder that keeps nothing.
type sink struct{}

func (sink) Apply(uint64, []byte)           {}
func (sink) Snapshot() [][]byte             { return [][]byte{{1}} }
func (sink) Restore(uint64, [][]byte) error { return nil }

func quantile(all []time.Duration, q float64) time.Duration {
	slices.Sort(all)
	return all[int(q*float64(len(all)-1))]
}

// TestMeasureGroupCommit prints the rate and delay of appends by many callers
// over writers with a log each and over writers that share one log.
func TestMeasureGroupCommit(t *testing.T) {
	measured(t)
	cases := []struct {
		name    string
		logs    int
		writers int // of each log
		callers int // of each writer
		o       metastore.LogOptions
	}{
		{"one write an append, 8 logs", 8, 1, 64, metastore.LogOptions{MaxBatch: 1}},
		{"group commit, 8 logs", 8, 1, 64, metastore.LogOptions{}},
		{"group commit, 8 logs, 100 ms apart", 8, 1, 64, metastore.LogOptions{MinInterval: 100 * time.Millisecond}},
		{"group commit, 8 logs, 50 ms apart", 8, 1, 64, metastore.LogOptions{MinInterval: 50 * time.Millisecond}},
		{"group commit, 1 log of 4 writers, 100 ms apart", 1, 4, 128, metastore.LogOptions{MinInterval: 100 * time.Millisecond}},
	}
	t.Logf("%-48s %10s %10s %10s %10s %10s", "case", "appends/s", "p50", "p99", "writes/s", "reads/s")
	for _, c := range cases {
		s, url := held(t)
		const length = 5 * time.Second
		ctx, cancel := context.WithTimeout(t.Context(), length)
		var mu sync.Mutex
		var delays []time.Duration
		var wg sync.WaitGroup
		for i := range c.logs * c.writers {
			o := c.o
			o.Name, o.StateMachine, o.Writer, o.Purpose = fmt.Sprintf("l%d", i/c.writers), sink{}, fmt.Sprintf("w%d", i), purpose
			o.CallTimeout = 30 * time.Second
			log := metastore.OpenLog(metastore.NewClient(metastore.ClientOptions{URLs: []string{url}}), o)
			for range c.callers {
				wg.Go(func() {
					for ctx.Err() == nil {
						start := time.Now()
						if _, err := log.Append(ctx, make([]byte, 100)); err != nil {
							continue
						}
						mu.Lock()
						delays = append(delays, time.Since(start))
						mu.Unlock()
					}
				})
			}
		}
		wg.Wait()
		cancel()
		calls := s.Calls()
		t.Logf("%-48s %10.0f %10v %10v %10.0f %10.0f", c.name, float64(len(delays))/length.Seconds(),
			quantile(delays, 0.5).Round(time.Millisecond), quantile(delays, 0.99).Round(time.Millisecond),
			float64(calls.Writes)/length.Seconds(), float64(calls.Reads)/length.Seconds())
	}
}

const manyClasses = "title: classes\nadd:\n  classes:\n    - {name: a, worth: 1, firstIn: 1s, deadline: 2s}\n"

// TestMeasureNoteBurst submits notes from many operators at once; each reads
// the head again after a conflict.
func TestMeasureNoteBurst(t *testing.T) {
	measured(t)
	const operators, leads = 50, 9
	s, url := held(t)
	ctx, cancel := context.WithCancel(t.Context())
	books := make([]*note.Book, leads)
	for i := range books {
		kv := metastore.NewClient(metastore.ClientOptions{URLs: []string{url}})
		books[i] = note.NewBook(note.BookOptions{KV: kv, Writer: fmt.Sprintf("w%d", i)})
		go books[i].Follow(ctx)
	}
	if _, err := books[0].Submit(ctx, 0, []byte(manyClasses)); err != nil {
		t.Fatal(err)
	}
	before := s.Calls()
	start := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var accepted []time.Duration
	conflicts := 0
	for i := range operators {
		wg.Go(func() {
			b := books[i%leads]
			raw := fmt.Appendf(nil, "title: n%d\nchange: {classes: [{name: a, worth: %d}]}", i, i+1)
			for {
				_, err := b.Submit(ctx, b.Head(), raw)
				mu.Lock()
				if err == nil {
					accepted = append(accepted, time.Since(start))
					mu.Unlock()
					return
				}
				conflicts++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	for _, b := range books {
		for b.Head() < operators+1 {
			<-b.Changed()
		}
	}
	inForce := time.Since(start)
	after := s.Calls()
	cancel()
	t.Logf("%d notes by %d operators over %d leads: accepted p50 %v, all %v; in force on all leads after %v; %d refusals by conflict; %d writes, %d reads",
		operators, operators, leads, quantile(accepted, 0.5).Round(time.Millisecond), quantile(accepted, 1).Round(time.Millisecond),
		inForce.Round(time.Millisecond), conflicts, after.Writes-before.Writes, after.Reads-before.Reads)
}

// TestMeasureTeams loads teams by notes and prints what they cost.
func TestMeasureTeams(t *testing.T) {
	measured(t)
	for _, teams := range []int{1000, 7000, 28000} {
		s, url := held(t)
		kv := metastore.NewClient(metastore.ClientOptions{URLs: []string{url}})
		book := note.NewBook(note.BookOptions{KV: kv, Writer: "w", SnapshotEvery: 1 << 20})
		submit := func(raw string) time.Duration {
			start := time.Now()
			if _, err := book.Submit(t.Context(), book.Head(), []byte(raw)); err != nil {
				t.Fatal(err)
			}
			return time.Since(start)
		}
		submit(manyClasses)
		var empty, full runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&empty)
		load := time.Duration(0)
		notes := 0
		for first := 0; first < teams; notes++ {
			raw := "title: teams\nadd:\n  teams:\n"
			for ; first < teams && len(raw) < 400<<10; first++ {
				raw += fmt.Sprintf("    - {name: team-%05d, tokenHash: \"%x\", classes: [a], rate: 5, burst: 10}\n", first, sha256.Sum256(fmt.Append(nil, first)))
			}
			load += submit(raw)
		}
		state := book.State()
		parts := state.Encode()
		stored := 0
		for _, p := range parts {
			stored += len(p)
		}
		decoding := time.Now()
		decoded, err := note.Decode(parts)
		if err != nil {
			t.Fatal(err)
		}
		took := time.Since(decoding)
		book, state = nil, nil
		runtime.GC()
		runtime.ReadMemStats(&full)
		n, err := note.Parse([]byte("title: one\nchange: {teams: [{name: team-00000, rate: 6}]}"))
		if err != nil {
			t.Fatal(err)
		}
		const rounds = 20
		start := time.Now()
		for range rounds {
			if _, err := decoded.Apply(n); err != nil {
				t.Fatal(err)
			}
		}
		apply := time.Since(start) / rounds
		heap := float64(full.HeapAlloc) - float64(empty.HeapAlloc)
		t.Logf("%d teams: %d notes in %v (%d writes); state %.1f MB in memory (%.0f bytes a team); snapshot %d parts, %.2f MB (%.0f bytes a team), decoded in %v; a change of one team applies in %v",
			teams, notes, load.Round(time.Millisecond), s.Calls().Writes, heap/1e6, heap/float64(teams), len(parts), float64(stored)/1e6,
			float64(stored)/float64(teams), took.Round(time.Millisecond), apply.Round(time.Microsecond))
		runtime.KeepAlive(decoded)
	}
}
