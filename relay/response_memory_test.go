package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/fleet"
	"redwingknot/membudget"
	"redwingknot/relay"
)

// TestUnfinishedResponsesLeaveMemory guards against a process that runs out of memory because
// several endpoints send bytes that are no whole answer on many connections at once, and against
// sound endpoints whose responses find no room beside these.
func TestUnfinishedResponsesLeaveMemory(t *testing.T) {
	const (
		limit    = 8 << 20
		requests = 240
		// perRequest is more than a request costs without its response: at the caller, the relay
		// and the endpoint, which are one process here.
		perRequest = 128 << 10
	)
	failure := strings.Replace(stampedHead, "200", "500", 1) + "Content-Type: text/plain\r\n\r\n"
	for _, c := range []struct{ name, path, text string }{
		{"event", "/goon/", stampedHead + "Content-Type: text/event-stream\r\n\r\n" + strings.Repeat("x", 1000<<10)},
		{"failure", "/plain/", failure + strings.Repeat("x", 250<<10)},
		{"head of many headers", "/plain/", stampedHead + strings.Repeat("a:\r\nb:\r\n", 7<<10)},
		{"head of one header", "/plain/", stampedHead + "a: " + strings.Repeat("x", 60<<10)},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBedOf(t, nil, func(o *relay.Options) { o.ResponseMemory = membudget.New(limit) })
			b.view.ApplyConfig(twoServices())
			b.view.Confirm(time.Now())
			b.view.SetInstances(1)
			head, after, _ := strings.Cut(c.text, "ATTEMPT")
			rest := []byte(after) // one copy for all endpoints
			var ended atomic.Int64
			for n := range 4 {
				b.startEndpoint(fmt.Sprint("i-", n), func(x *exchange) {
					_, _ = io.WriteString(x.conn, head+x.Header.Get("Attempt-Id"))
					_, _ = x.conn.Write(rest)
					ended.Add(1)
					_, _ = io.Copy(io.Discard, x.conn) // until the relay closes the connection
				})
			}
			usual := strings.Repeat("y", 200<<10)
			sound := b.startEndpoint("sound", func(x *exchange) { x.respond(http.StatusOK, usual) })
			spec := *sound.spec
			spec.Service = "o"
			b.view.PutEndpoint(&spec)
			before := liveHeap()
			var callers sync.WaitGroup
			for n := range requests {
				callers.Go(func() {
					res, err := http.DefaultClient.Do(b.request(t.Context(), c.path, "hello", "Attempt-Id", fmt.Sprint("a", n)))
					if err == nil {
						res.Body.Close()
					}
				})
			}
			awaitQuiet(&ended)
			grown := liveHeap() - before
			t.Logf("%d KiB are held after %d responses", grown>>10, ended.Load())
			assert.Check(t, grown < limit+requests*perRequest, "%d KiB are held after %d responses", grown>>10, ended.Load())
			got := b.send("/other/")
			assert.Check(t, got.status == http.StatusOK && got.body == usual, "%d", got.status)
			http.DefaultClient.CloseIdleConnections()
			b.server.CloseClientConnections()
			callers.Wait()
		})
	}
}

// twoServices returns a configuration with the service s of most routes, and the service o. Its
// timeouts are longer than a test.
func twoServices() *fleet.Config {
	var routes []*fleet.Route
	other := publicRoute
	other.Name, other.PathPrefix = "other", "/other/"
	for service, list := range map[string][]fleet.Route{"s": {plainRoute, resumableRoute}, "o": {other}} {
		for _, r := range list {
			r.Public, r.Timeout, r.TargetTime, r.MaxAttempts = true, time.Minute, time.Minute, 1
			r.Shares = []fleet.Share{{Service: service, Weight: 1}}
			routes = append(routes, &r)
		}
	}
	c := fleet.NewConfig(1, routes)
	c.Services["s"], c.Services["o"] = &fleet.Service{Name: "s"}, &fleet.Service{Name: "o"}
	return c
}

// liveHeap returns the size of the heap after a collection.
func liveHeap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// awaitQuiet waits until a count has not risen for a while.
func awaitQuiet(count *atomic.Int64) {
	for last := int64(-1); count.Load() != last || last == 0; {
		last = count.Load()
		time.Sleep(300 * time.Millisecond)
	}
}
