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

// measureEnv is the environment variable that enables the measurements if it isn't
// empty. Their figures depend on the machine and prove nothing by themselves.
const measureEnv = "REDWINGKNOT_BENCH"

func skipUnlessMeasuring(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Skip("set " + measureEnv + " to measure")
	}
}

// usage holds the resource use of an entry instance. All values but residentKiB
// are totals since its start.
type usage struct {
	cpuTicks          int // processor time in ticks of 10 ms
	residentKiB       int // resident memory
	bytesIn, bytesOut int // bytes received from and sent to other instances
	platformCalls     int // calls to the platform's key-value service
}

// readUsage reads the resource use of an entry instance from /proc and from its
// metrics. The process must be running; metrics that can't be fetched are 0.
func (d *entryDeployment) readUsage(name string) usage {
	pid := d.processes[name].cmd.Process.Pid
	var u usage
	stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	u.cpuTicks = user + system
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(status)) {
		fmt.Sscanf(line, "VmRSS: %d kB", &u.residentKiB)
	}
	u.bytesIn = d.sumMetric(name, `wire_bytes_total{direction="in"}`)
	u.bytesOut = d.sumMetric(name, `wire_bytes_total{direction="out"}`)
	u.platformCalls = d.sumMetric(name, "platform_calls_total")
	return u
}

// sumMetric returns the sum of an entry instance's series whose name, after
// "redwingknot_", begins with prefix, and 0 if the metrics can't be fetched.
func (d *entryDeployment) sumMetric(entry, prefix string) int {
	resp, err := http.Get(d.urls[entry] + "/metrics")
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

// TestMeasureControl prints what the control traffic of an idle deployment costs an
// instance in processor time, memory, bytes and platform calls, for several numbers
// of instances in 9 data centres.
func TestMeasureControl(t *testing.T) {
	skipUnlessMeasuring(t)
	fmt.Println("instances  cpu % of a core  resident MiB  in B/s  out B/s  platform calls/s (all)")
	for _, instances := range []int{9, 18, 36, 72, 108} {
		t.Run(strconv.Itoa(instances), func(t *testing.T) { measureIdleControl(t, instances) })
	}
}

// measureIdleControl measures a deployment of the given number of instances over
// 20 s without requests and prints the average per instance; platform calls are
// those of all instances together.
func measureIdleControl(t *testing.T, instances int) {
	const settle, window = 15 * time.Second, 20 * time.Second
	d := newEntryDeployment(t)
	names := d.startEntries(instances, 9)
	d.waitForNote(d.submitNote(names[0], d.startSharedEndpointsWithNote(9)), names...)
	time.Sleep(settle)
	before := d.readUsages(names)
	time.Sleep(window)
	after := d.readUsages(names)
	var ticks, resident, in, out, calls int
	for i := range names {
		ticks += after[i].cpuTicks - before[i].cpuTicks
		resident += after[i].residentKiB
		in += after[i].bytesIn - before[i].bytesIn
		out += after[i].bytesOut - before[i].bytesOut
		calls += after[i].platformCalls - before[i].platformCalls
	}
	perInstance := func(n int) float64 { return float64(n) / float64(instances) }
	seconds := window.Seconds()
	fmt.Printf("%9d  %15.2f  %12.1f  %6.0f  %7.0f  %22.1f\n",
		instances, perInstance(ticks)/seconds, perInstance(resident)/1024, perInstance(in)/seconds, perInstance(out)/seconds, float64(calls)/seconds)
}

func (d *entryDeployment) readUsages(names []string) []usage {
	usages := make([]usage, len(names))
	for i, n := range names {
		usages[i] = d.readUsage(n)
	}
	return usages
}

// startEntries starts n entry instances, in turn over the given number of data
// centres, and returns their names.
func (d *entryDeployment) startEntries(n, dataCentres int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("e%d", i)
		d.startEntry(names[i], fmt.Sprintf("dc%d", i%dataCentres), "--log-level", "warn")
	}
	return names
}

// startSharedEndpointsWithNote starts two engines and an application in dc0 and returns
// the first release note, which configures them. In each other data centre the note
// configures one engine, and the first engine of dc0 serves all of these.
func (d *entryDeployment) startSharedEndpointsWithNote(dataCentres int) string {
	note := d.startEndpointsWithNote("dc0")
	var moreEndpoints strings.Builder
	for i := 1; i < dataCentres; i++ {
		fmt.Fprintf(&moreEndpoints, "    - {name: engine-dc%d, dataCentre: dc%d, service: llm, url: %q, slots: 8}\n", i, i, d.urls["engine-dc0-0"])
	}
	return note + moreEndpoints.String()
}

// TestMeasureInForce prints the time from the submission of a note until each of 27
// instances in 9 data centres has it in force, for single notes and for a burst.
func TestMeasureInForce(t *testing.T) {
	skipUnlessMeasuring(t)
	d := newEntryDeployment(t)
	names := d.startEntries(27, 9)
	d.waitForNote(d.submitNote(names[0], d.startSharedEndpointsWithNote(9)), names...)
	time.Sleep(5 * time.Second)
	var durations []time.Duration
	for i := range 40 {
		durations = append(durations, d.timeNotePropagation(names, i))
	}
	slices.Sort(durations)
	fmt.Printf("single notes, 27 instances in 9 data centres: p50 %v, p95 %v, max %v\n", durations[len(durations)/2], durations[len(durations)*95/100], durations[len(durations)-1])
	d.measureWithPausedReaders(names)
	began := time.Now()
	before, err := d.operatorClient(names[0]).Status(t.Context())
	assert.NilError(t, err)
	for i := range 50 {
		d.submitNote(names[i%len(names)], rateNote(100+i))
	}
	accepted := time.Since(began)
	d.waitForNote(before.Head+50, names...)
	fmt.Printf("burst of 50 notes: all accepted after %v, in force everywhere after %v\n", accepted, time.Since(began))
}

// measureWithPausedReaders pauses two of the three instances of a data centre, the
// ones that read the log of notes, and prints the time until all other instances have
// a new note in force. It does so for five data centres in turn.
func (d *entryDeployment) measureWithPausedReaders(names []string) {
	var durations []time.Duration
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
			d.signal(n, syscall.SIGSTOP)
		}
		durations = append(durations, d.timeNotePropagation(others, 200+dc))
		for _, n := range paused {
			d.signal(n, syscall.SIGCONT)
		}
		status, err := d.operatorClient(others[0]).Status(d.t.Context())
		assert.NilError(d.t, err)
		d.waitForNote(status.Head, paused...)
		time.Sleep(3 * time.Second)
	}
	slices.Sort(durations)
	fmt.Printf("two of three instances of a data centre paused: %v\n", durations)
}

// rateNote returns a note that sets the rate of the team to 100+i requests/s.
func rateNote(i int) string {
	return fmt.Sprintf("title: Rate %d\nchange: {teams: [{name: t, rate: %d}]}\n", i, 100+i)
}

// timeNotePropagation submits rateNote(i) and returns the time, in whole
// milliseconds, until it is in force in all of the named instances.
func (d *entryDeployment) timeNotePropagation(names []string, i int) time.Duration {
	c := d.operatorClient(names[i%len(names)])
	status, err := c.Status(d.t.Context())
	assert.NilError(d.t, err)
	began := time.Now()
	head, err := c.SubmitNote(d.t.Context(), status.Head, []byte(rateNote(i)))
	assert.NilError(d.t, err)
	var waiters sync.WaitGroup
	for _, n := range names {
		waiters.Go(func() { d.pollForNote(n, head) })
	}
	waiters.Wait()
	return time.Since(began).Round(time.Millisecond)
}

// pollForNote returns once an entry instance has the notes up to number head in
// force. It polls every 5 ms, more often than waitForNote, so that the measured time
// is close to the true one.
func (d *entryDeployment) pollForNote(name string, head uint64) {
	c := d.operatorClient(name)
	ctx, cancel := context.WithTimeout(d.t.Context(), waitTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if status, err := c.Status(ctx); err == nil && status.Head >= head {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestMeasureRequests prints what requests cost an instance of a data centre of six
// instances, without load and at several request rates: processor time, bytes
// exchanged with other instances, and time to the first token.
func TestMeasureRequests(t *testing.T) {
	skipUnlessMeasuring(t)
	const instances, window = 6, 10 * time.Second
	d := newEntryDeployment(t)
	names := d.startEntries(instances, 1)
	d.waitForNote(d.submitNote(names[0], d.startEndpointsWithNote("dc0")), names...)
	for _, n := range names {
		d.waitUntilServing(n)
	}
	urls := make([]string, instances)
	for i, n := range names {
		urls[i] = d.urls[n]
	}
	fmt.Println("requests/s per instance  cpu % of a core  in B/s  out B/s  first token p50 ms  p99 ms")
	for _, rate := range []float64{0, 7, 13, 26, 52} {
		before := d.readUsages(names)
		report := &load.Report{}
		if rate > 0 {
			report = load.Run(t.Context(), load.Options{
				URLs: urls, Token: teamToken, Service: "llm", Rate: rate * instances, Duration: window, PromptTokens: 200, Seed: uint64(rate),
			})
		} else {
			time.Sleep(window)
		}
		after := d.readUsages(names)
		var ticks, in, out int
		for i := range names {
			ticks += after[i].cpuTicks - before[i].cpuTicks
			in += after[i].bytesIn - before[i].bytesIn
			out += after[i].bytesOut - before[i].bytesOut
		}
		instanceSeconds := window.Seconds() * instances
		p50, p99 := 0.0, 0.0
		if report.FirstToken != nil {
			p50, p99 = float64(report.FirstToken.ValueAtQuantile(50))/1000, float64(report.FirstToken.ValueAtQuantile(99))/1000
		}
		fmt.Printf("%23.0f  %15.2f  %6.0f  %7.0f  %18.2f  %6.2f\n", rate, float64(ticks)/instanceSeconds, float64(in)/instanceSeconds, float64(out)/instanceSeconds, p50, p99)
	}
}
