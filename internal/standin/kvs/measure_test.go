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

// measureEnv is the environment variable that enables the measurements in this
// file.
const measureEnv = "REDWINGKNOT_MEASURE"

func skipUnlessMeasuring(t *testing.T) {
	t.Helper()
	if os.Getenv(measureEnv) == "" {
		t.Skip("set " + measureEnv + " to measure")
	}
}

// startRateLimited starts the service with the platform's rate limits and returns
// it with its URL.
func startRateLimited(t *testing.T) (*kvs.Server, string) {
	s := kvs.New(kvs.Options{WritesPerSecond: 300, ReadsPerSecond: 2000, MaxWait: 30 * time.Second})
	httpServer := httptest.NewServer(s)
	t.Cleanup(httpServer.Close)
	return s, httpServer.URL
}

// discardStateMachine is a metastore.StateMachine that discards what is applied.
type discardStateMachine struct{}

func (discardStateMachine) Apply(uint64, []byte)           {}
func (discardStateMachine) Snapshot() [][]byte             { return [][]byte{{1}} }
func (discardStateMachine) Restore(uint64, [][]byte) error { return nil }

// quantile sorts durations and returns their quantile q, from 0 to 1.
func quantile(durations []time.Duration, q float64) time.Duration {
	slices.Sort(durations)
	return durations[int(q*float64(len(durations)-1))]
}

// TestMeasureGroupCommit prints the rate and latency of appends by many callers,
// both with one log per writer and with one log shared by several writers.
func TestMeasureGroupCommit(t *testing.T) {
	skipUnlessMeasuring(t)
	cases := []struct {
		name    string
		logs    int
		writers int // per log
		callers int // per writer
		o       metastore.LogOptions
	}{
		{"one write per append, 8 logs", 8, 1, 64, metastore.LogOptions{MaxBatch: 1}},
		{"group commit, 8 logs", 8, 1, 64, metastore.LogOptions{}},
		{"group commit, 8 logs, 100 ms apart", 8, 1, 64, metastore.LogOptions{MinInterval: 100 * time.Millisecond}},
		{"group commit, 8 logs, 50 ms apart", 8, 1, 64, metastore.LogOptions{MinInterval: 50 * time.Millisecond}},
		{"group commit, 1 log of 4 writers, 100 ms apart", 1, 4, 128, metastore.LogOptions{MinInterval: 100 * time.Millisecond}},
	}
	t.Logf("%-48s %10s %10s %10s %10s %10s", "case", "appends/s", "p50", "p99", "writes/s", "reads/s")
	for _, c := range cases {
		s, url := startRateLimited(t)
		const duration = 5 * time.Second
		ctx, cancel := context.WithTimeout(t.Context(), duration)
		var mu sync.Mutex
		var latencies []time.Duration
		var wg sync.WaitGroup
		for i := range c.logs * c.writers {
			o := c.o
			o.Name, o.StateMachine, o.Writer, o.Purpose = fmt.Sprintf("l%d", i/c.writers), discardStateMachine{}, fmt.Sprintf("w%d", i), purpose
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
						latencies = append(latencies, time.Since(start))
						mu.Unlock()
					}
				})
			}
		}
		wg.Wait()
		cancel()
		calls := s.Calls()
		t.Logf("%-48s %10.0f %10v %10v %10.0f %10.0f", c.name, float64(len(latencies))/duration.Seconds(),
			quantile(latencies, 0.5).Round(time.Millisecond), quantile(latencies, 0.99).Round(time.Millisecond),
			float64(calls.Writes)/duration.Seconds(), float64(calls.Reads)/duration.Seconds())
	}
}

const classesNote = "title: classes\nadd:\n  classes:\n    - {name: a, worth: 1, firstIn: 1s, deadline: 2s}\n"

// TestMeasureNoteBurst measures how long notes take that many operators submit at
// the same time. After a conflict an operator reads the head again and retries.
func TestMeasureNoteBurst(t *testing.T) {
	skipUnlessMeasuring(t)
	const operators, leaders = 50, 9
	s, url := startRateLimited(t)
	ctx, cancel := context.WithCancel(t.Context())
	books := make([]*note.Book, leaders)
	for i := range books {
		kv := metastore.NewClient(metastore.ClientOptions{URLs: []string{url}})
		books[i] = note.NewBook(note.BookOptions{KV: kv, Writer: fmt.Sprintf("w%d", i)})
		go books[i].Follow(ctx)
	}
	if _, err := books[0].Submit(ctx, 0, []byte(classesNote)); err != nil {
		t.Fatal(err)
	}
	before := s.Calls()
	start := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var acceptTimes []time.Duration
	conflicts := 0
	for i := range operators {
		wg.Go(func() {
			b := books[i%leaders]
			raw := fmt.Appendf(nil, "title: n%d\nchange: {classes: [{name: a, worth: %d}]}", i, i+1)
			for {
				_, err := b.Submit(ctx, b.Head(), raw)
				mu.Lock()
				if err == nil {
					acceptTimes = append(acceptTimes, time.Since(start))
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
	allApplied := time.Since(start)
	after := s.Calls()
	cancel()
	t.Logf("%d notes by %d operators through %d leaders: accepted p50 %v, all %v; applied by all leaders after %v; %d refused for a conflict; %d writes, %d reads",
		operators, operators, leaders, quantile(acceptTimes, 0.5).Round(time.Millisecond), quantile(acceptTimes, 1).Round(time.Millisecond),
		allApplied.Round(time.Millisecond), conflicts, after.Writes-before.Writes, after.Reads-before.Reads)
}

// TestMeasureTeams adds teams by notes and prints what they cost in writes, time,
// memory and snapshot size.
func TestMeasureTeams(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, teams := range []int{1000, 7000, 28000} {
		s, url := startRateLimited(t)
		kv := metastore.NewClient(metastore.ClientOptions{URLs: []string{url}})
		book := note.NewBook(note.BookOptions{KV: kv, Writer: "w", SnapshotEvery: 1 << 20})
		submit := func(raw string) time.Duration {
			start := time.Now()
			if _, err := book.Submit(t.Context(), book.Head(), []byte(raw)); err != nil {
				t.Fatal(err)
			}
			return time.Since(start)
		}
		submit(classesNote)
		var emptyStats, fullStats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&emptyStats)
		submitTime := time.Duration(0)
		notes := 0
		for nextTeam := 0; nextTeam < teams; notes++ {
			raw := "title: teams\nadd:\n  teams:\n"
			for ; nextTeam < teams && len(raw) < 400<<10; nextTeam++ {
				raw += fmt.Sprintf("    - {name: team-%05d, tokenHash: \"%x\", classes: [a], rate: 5, burst: 10}\n", nextTeam, sha256.Sum256(fmt.Append(nil, nextTeam)))
			}
			submitTime += submit(raw)
		}
		state := book.State()
		parts := state.Encode()
		storedBytes := 0
		for _, p := range parts {
			storedBytes += len(p)
		}
		decodeStart := time.Now()
		decoded, err := note.Decode(parts)
		if err != nil {
			t.Fatal(err)
		}
		decodeTime := time.Since(decodeStart)
		book, state = nil, nil
		runtime.GC()
		runtime.ReadMemStats(&fullStats)
		changeNote, err := note.Parse([]byte("title: one\nchange: {teams: [{name: team-00000, rate: 6}]}"))
		if err != nil {
			t.Fatal(err)
		}
		const rounds = 20
		start := time.Now()
		for range rounds {
			if _, err := decoded.Apply(changeNote); err != nil {
				t.Fatal(err)
			}
		}
		applyTime := time.Since(start) / rounds
		heapBytes := float64(fullStats.HeapAlloc) - float64(emptyStats.HeapAlloc)
		t.Logf("%d teams: %d notes in %v (%d writes); state %.1f MB in memory (%.0f bytes/team); snapshot %d parts, %.2f MB (%.0f bytes/team), decoded in %v; change of one team applied in %v",
			teams, notes, submitTime.Round(time.Millisecond), s.Calls().Writes, heapBytes/1e6, heapBytes/float64(teams), len(parts), float64(storedBytes)/1e6,
			float64(storedBytes)/float64(teams), decodeTime.Round(time.Millisecond), applyTime.Round(time.Microsecond))
		runtime.KeepAlive(decoded)
	}
}
