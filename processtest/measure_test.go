package processtest

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/load"
)

// measureEnv, if set, runs the measurements; their figures depend on the
// machine and prove nothing by themselves.
const measureEnv = "REDWINGKNOT_BENCH"

func skipUnlessMeasuring(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Skip("set " + measureEnv + " to measure")
	}
}

// usage is what a process has used.
type usage struct {
	ticks    int // of processor time, 10 ms each
	resident int // KiB
	in, out  int // bytes between instances
	platform int // calls to the platform
}

func (f *fleet) usage(name string) usage {
	pid := f.processes[name].cmd.Process.Pid
	var u usage
	stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	u.ticks = user + system
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(status)) {
		fmt.Sscanf(line, "VmRSS: %d kB", &u.resident)
	}
	u.in = f.metric(name, `wire_bytes_total{direction="in"}`)
	u.out = f.metric(name, `wire_bytes_total{direction="out"}`)
	u.platform = f.metric(name, "platform_calls_total")
	return u
}

// metric sums the series of an entry whose name begins with prefix.
func (f *fleet) metric(entry, prefix string) int {
	resp, err := http.Get(f.urls[entry] + "/metrics")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	sum := 0
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		series, value, ok := strings.Cut(lines.Text(), "} ")
		if !ok {
			series, value, _ = strings.Cut(lines.Text(), " ")
		} else {
			series += "}"
		}
		if strings.HasPrefix(series, "redwingknot_"+prefix) {
			n, _ := strconv.Atoi(value)
			sum += n
		}
	}
	return sum
}

// TestMeasureControl prints what idle control costs an instance at several
// sizes of the deployment, with 9 data centres.
func TestMeasureControl(t *testing.T) {
	skipUnlessMeasuring(t)
	fmt.Println("nodes  cpu % of a core  resident MiB  in B/s  out B/s  platform calls/s (all)")
	for _, nodes := range []int{9, 18, 36, 72, 108} {
		t.Run(strconv.Itoa(nodes), func(t *testing.T) { measureControl(t, nodes) })
	}
}

func measureControl(t *testing.T, nodes int) {
	const settle, window = 15 * time.Second, 20 * time.Second
	f := newFleet(t)
	names := f.entries(nodes, 9)
	f.waitHead(f.submit(names[0], f.noteWithEngines(9)), names...)
	time.Sleep(settle)
	before := f.usages(names)
	time.Sleep(window)
	after := f.usages(names)
	var ticks, resident, in, out, calls int
	for i := range names {
		ticks += after[i].ticks - before[i].ticks
		resident += after[i].resident
		in += after[i].in - before[i].in
		out += after[i].out - before[i].out
		calls += after[i].platform - before[i].platform
	}
	per := func(n int) float64 { return float64(n) / float64(nodes) }
	s := window.Seconds()
	fmt.Printf("%5d  %15.2f  %12.1f  %6.0f  %7.0f  %22.1f\n",
		nodes, per(ticks)/s, per(resident)/1024, per(in)/s, per(out)/s, float64(calls)/s)
}

func (f *fleet) usages(names []string) []usage {
	list := make([]usage, len(names))
	for i, n := range names {
		list[i] = f.usage(n)
	}
	return list
}

// entries starts n instances over so many data centres.
func (f *fleet) entries(n, dataCentres int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("e%d", i)
		f.entry(names[i], fmt.Sprintf("dc%d", i%dataCentres), "--log-level", "warn")
	}
	return names
}

// noteWithEngines configures one engine and the application in each of so many
// data centres, all served by two stand-ins.
func (f *fleet) noteWithEngines(dataCentres int) string {
	first := f.firstNote("dc0")
	var more strings.Builder
	for i := 1; i < dataCentres; i++ {
		fmt.Fprintf(&more, "    - {name: engine-dc%d, dataCentre: dc%d, service: llm, url: %q, slots: 8}\n", i, i, f.urls["engine-dc0-0"])
	}
	return first + more.String()
}

// TestMeasureInForce prints the time from a note's acceptance until every
// instance of 9 data centres has it in force, for single notes and for a burst.
func TestMeasureInForce(t *testing.T) {
	skipUnlessMeasuring(t)
	f := newFleet(t)
	names := f.entries(27, 9)
	f.waitHead(f.submit(names[0], f.noteWithEngines(9)), names...)
	time.Sleep(5 * time.Second)
	var times []time.Duration
	for i := range 40 {
		times = append(times, f.timeNote(names, i))
	}
	slices.Sort(times)
	fmt.Printf("single notes, 27 instances in 9 data centres: p50 %v, p95 %v, max %v\n", times[len(times)/2], times[len(times)*95/100], times[len(times)-1])
	f.measurePaused(names)
	began := time.Now()
	before, err := f.operators(names[0]).Status(t.Context())
	assert.NilError(t, err)
	for i := range 50 {
		f.submit(names[i%len(names)], rateNote(100+i))
	}
	accepted := time.Since(began)
	f.waitHead(before.Head+50, names...)
	fmt.Printf("burst of 50 notes: accepted after %v, in force everywhere after %v\n", accepted, time.Since(began))
}

// measurePaused prints the time until all other instances have a note while
// every instance of a data centre that reads the log of notes is paused.
func (f *fleet) measurePaused(names []string) {
	var times []time.Duration
	for dc := range 5 {
		var paused, others []string
		for i, n := range names {
			if i%9 == dc && len(paused) < 2 {
				paused = append(paused, n)
			} else {
				others = append(others, n)
			}
		}
		for _, n := range paused {
			f.signal(n, syscall.SIGSTOP)
		}
		times = append(times, f.timeNote(others, 200+dc))
		for _, n := range paused {
			f.signal(n, syscall.SIGCONT)
		}
		s, err := f.operators(others[0]).Status(f.t.Context())
		assert.NilError(f.t, err)
		f.waitHead(s.Head, paused...)
		time.Sleep(3 * time.Second)
	}
	slices.Sort(times)
	fmt.Printf("two of three instances of a data centre paused: %v\n", times)
}

func rateNote(i int) string {
	return fmt.Sprintf("title: Rate %d\nchange: {teams: [{name: t, rate: %d}]}\n", i, 100+i)
}

// timeNote returns how long a note took to be in force in all instances.
func (f *fleet) timeNote(names []string, i int) time.Duration {
	c := f.operators(names[i%len(names)])
	s, err := c.Status(f.t.Context())
	assert.NilError(f.t, err)
	began := time.Now()
	head, err := c.SubmitNote(f.t.Context(), s.Head, []byte(rateNote(i)))
	assert.NilError(f.t, err)
	var waits sync.WaitGroup
	for _, n := range names {
		waits.Go(func() { f.spinHead(n, head) })
	}
	waits.Wait()
	return time.Since(began).Round(time.Millisecond)
}

func (f *fleet) spinHead(name string, head uint64) {
	c := f.operators(name)
	ctx, cancel := context.WithTimeout(f.t.Context(), patience)
	defer cancel()
	for ctx.Err() == nil {
		if s, err := c.Status(ctx); err == nil && s.Head >= head {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestMeasureRequests prints what requests cost an instance of a data centre of
// six: bytes between instances and processor time, idle and at several rates.
func TestMeasureRequests(t *testing.T) {
	skipUnlessMeasuring(t)
	const nodes, window = 6, 10 * time.Second
	f := newFleet(t)
	names := f.entries(nodes, 1)
	f.waitHead(f.submit(names[0], f.firstNote("dc0")), names...)
	for _, n := range names {
		f.waitServing(n)
	}
	urls := make([]string, nodes)
	for i, n := range names {
		urls[i] = f.urls[n]
	}
	fmt.Println("requests/s a node  cpu % of a core  in B/s  out B/s  first token p50 ms  p99 ms")
	for _, rate := range []float64{0, 7, 13, 26, 52} {
		before := f.usages(names)
		r := &load.Report{}
		if rate > 0 {
			r = load.Run(t.Context(), load.Options{
				URLs: urls, Token: teamToken, Service: "llm", Rate: rate * nodes, Duration: window, PromptTokens: 200, Seed: uint64(rate),
			})
		} else {
			time.Sleep(window)
		}
		after := f.usages(names)
		var ticks, in, out int
		for i := range names {
			ticks += after[i].ticks - before[i].ticks
			in += after[i].in - before[i].in
			out += after[i].out - before[i].out
		}
		s := window.Seconds() * nodes
		p50, p99 := 0.0, 0.0
		if r.FirstToken != nil {
			p50, p99 = float64(r.FirstToken.ValueAtQuantile(50))/1000, float64(r.FirstToken.ValueAtQuantile(99))/1000
		}
		fmt.Printf("%17.0f  %15.2f  %6.0f  %7.0f  %18.2f  %6.2f\n", rate, float64(ticks)/s, float64(in)/s, float64(out)/s, p50, p99)
	}
}
