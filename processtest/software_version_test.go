package processtest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"redwingknot/internal/standin/fleetwire"
	"redwingknot/internal/standin/fleetworker"
)

// versionedEngine returns the options of an engine of a software version, whose streams last
// for a second and a half.
func versionedEngine(softwareVersion string) fleetworker.Options {
	o := crashableEngine
	o.SoftwareVersion, o.StreamEvents, o.EventGap, o.Slots = softwareVersion, 30, 50*time.Millisecond, 32
	return o
}

// streamOf is what a caller has got of a stream, over all its attempts.
type streamOf struct {
	first  string // attempt that brought the first event
	path   string
	events string // whole events
	whole  bool   // the last response was complete
}

// softwareVersions returns the software versions that wrote the events.
func (s *streamOf) softwareVersions() map[string]bool {
	versions := map[string]bool{}
	for rest := s.events; rest != ""; {
		versions[fleetworker.EventSoftwareVersion(rest)] = true
		_, rest, _ = strings.Cut(rest, "\n\n")
	}
	return versions
}

// count returns the number of events.
func (s *streamOf) count() int { return strings.Count(s.events, "\n\n") }

// read sends an attempt of the stream to a gateway, which takes it up if it has begun, and
// adds the events of the response.
func (s *streamOf) read(g *gatewayProcess, attempt string) error {
	return s.readUntil(context.Background(), g, attempt)
}

// readUntil is read by a caller that leaves when ctx ends.
func (s *streamOf) readUntil(ctx context.Context, g *gatewayProcess, attempt string) error {
	call := fleetwire.Call{
		Attempt: attempt, Method: http.MethodPost, Host: "h", Path: s.path, Body: "body", Token: "key", Timeout: 8 * time.Second,
		Prompt: &fleetwire.Prompt{Model: "m", Input: 300, Output: 20, Parts: []string{sharedPart, fmt.Sprintf("%x:50", len(attempt))}},
	}
	if s.events != "" {
		call.Resume = &fleetwire.Resumption{Attempt: s.first, LastEvent: s.count() - 1}
	}
	r, err := call.Request()
	if err != nil {
		return err
	}
	r.URL.Host = g.frontAddr
	r.Host = "h"
	res, err := http.DefaultClient.Do(r.WithContext(ctx))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if res.StatusCode != http.StatusOK {
		return nil
	}
	if s.events == "" {
		s.first = attempt
	}
	s.events += string(body[:strings.LastIndex("\n\n"+string(body), "\n\n")])
	s.whole = err == nil
	return nil
}

// Bounds of the users for streams that go on.
const (
	maxMixedStreams     = 2 // with events of two software versions
	minResumedShareHalf = 2 // half of the streams go on at least
)

// checkStreams checks that the streams hold events of one software version each, and that at
// least half of those that callers took up went on.
func checkStreams(t *testing.T, streams []*streamOf) {
	t.Helper()
	mixed, whole, began := 0, 0, 0
	for _, s := range streams {
		if s.events == "" {
			continue
		}
		began++
		if len(s.softwareVersions()) > 1 {
			mixed++
		}
		if s.whole && s.count() == versionedEngine("").StreamEvents {
			whole++
		}
	}
	t.Logf("%d of %d streams began, %d are whole, %d hold events of several software versions", began, len(streams), whole, mixed)
	assert.Check(t, mixed <= maxMixedStreams, "%d streams hold events of several software versions", mixed)
	assert.Check(t, minResumedShareHalf*whole >= began, "%d of %d streams went on", whole, began)
}

// newVersionedDeployment starts a deployment with two engines of each of two software
// versions.
func newVersionedDeployment(t *testing.T) (*gatewayDeployment, []*crashableEndpoint) {
	d := newGatewayDeployment(t)
	d.putKey("op/config", `{"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/x/","kind":"stream","resumable":true,"timeout_ms":8000,
		"target_latency_ms":300,"priority":0,"service":"llm","max_attempts":3}],
		"services":[{"name":"llm","health_path":"/health","max_conns":200,"engine":{"kv_capacity_tokens":100000,"models":[{"name":"m"}]}}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},
		"tenants":[{"name":"t","api_keys":["key"]}]}`)
	var engines []*crashableEndpoint
	for _, name := range []string{"a", "b", "c", "d"} {
		version := map[bool]string{true: "v1", false: "v2"}[name < "c"]
		engines = append(engines, d.startCrashableEndpoint(name, crashTiming{restart: time.Hour}, versionedEngine(version)))
	}
	return d, engines
}

// waitUntilStreamed waits until a gateway serves whole streams.
func waitUntilStreamed(t *testing.T, g *gatewayProcess) {
	t.Helper()
	n := 0
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		n++
		s := &streamOf{path: fmt.Sprint("/x/first", n)}
		err := s.read(g, fmt.Sprint("first-", g.frontAddr, n))
		if err == nil && s.whole {
			return poll.Success()
		}
		return poll.Continue("no stream is whole: the last has %d events, error %v; the gateway has written:\n%s", s.count(), err, g.output.String())
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(20*time.Millisecond))
}

// streamsPerTest is enough for a random choice of versions to mix more streams than allowed.
const streamsPerTest = 24

// beginStreams reads streams at a gateway, all at once, and calls disturb when all have
// begun. It returns when all responses have ended.
func beginStreams(t *testing.T, g *gatewayProcess, disturb func()) []*streamOf {
	t.Helper()
	var streams []*streamOf
	var readers sync.WaitGroup
	for n := range streamsPerTest {
		s := &streamOf{path: fmt.Sprint("/x/", n)}
		streams = append(streams, s)
		readers.Go(func() { _ = s.read(g, fmt.Sprint("begin-", n)) }) // a stream that has not begun is not counted
	}
	time.Sleep(500 * time.Millisecond)
	disturb()
	readers.Wait()
	return streams
}

// TestStreamTakenUpElsewhereStaysAtItsSoftwareVersion kills the gateway of streams that
// engines of two software versions have begun. Their callers take them up at another one.
func TestStreamTakenUpElsewhereStaysAtItsSoftwareVersion(t *testing.T) {
	d, _ := newVersionedDeployment(t)
	first, second := d.startGateway("front-1"), d.startGateway("front-2")
	waitUntilStreamed(t, first)
	waitUntilStreamed(t, second)
	streams := beginStreams(t, first, func() { first.cmd.Process.Signal(syscall.SIGKILL) })
	var readers sync.WaitGroup
	for n, s := range streams {
		readers.Go(func() {
			for try := 0; try < 3 && !s.whole; try++ {
				if err := s.read(second, fmt.Sprint("goon-", n, "-", try)); err != nil {
					t.Error(err)
				}
			}
		})
	}
	readers.Wait()
	checkStreams(t, streams)
}

// retryWindowTime is the window of the retry budget, of which a gateway uses no slack in the
// first window after its start.
const retryWindowTime = 10*time.Second + 500*time.Millisecond

// TestStreamResumedByGatewayStaysAtItsSoftwareVersion crashes an engine of each software
// version under streams, which their gateway resumes.
func TestStreamResumedByGatewayStaysAtItsSoftwareVersion(t *testing.T) {
	d, engines := newVersionedDeployment(t)
	g := d.startGateway("front-1")
	waitUntilStreamed(t, g)
	time.Sleep(retryWindowTime)
	streams := beginStreams(t, g, func() {
		engines[0].crash("i-a-1")
		engines[2].crash("i-c-1")
	})
	checkStreams(t, streams)
}
