package relay_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"redwingknot/relay"
)

// TestBodiesThatArriveCount guards against a process that runs out of memory because any number of
// request bodies may be in memory while they arrive, and against a small request that finds no
// room beside them.
func TestBodiesThatArriveCount(t *testing.T) {
	const (
		limit    = 4 << 20
		callers  = 64
		arriving = 900 << 10 // of each body of 1 MiB
		// perRequest is more than a request costs without its body.
		perRequest = 128 << 10
	)
	b := newTestBedOf(t, nil, func(o *relay.Options) { o.MaxBodyBytes = limit })
	b.view.ApplyConfig(newConfig(1, 1))
	b.view.Confirm(b.now())
	b.startEndpoint("i-1", respondOK)
	before := liveHeap()
	var done sync.WaitGroup
	var sent atomic.Int64
	text := bytes.Repeat([]byte("x"), arriving)
	rest := make(chan struct{})
	for n := range callers {
		done.Go(func() {
			body, w := io.Pipe()
			go func() {
				_, _ = w.Write(text)
				sent.Add(1)
				<-rest
				w.Close()
			}()
			r := b.request(t.Context(), "/open/", "", "Attempt-Id", fmt.Sprint("a", n))
			r.Body, r.ContentLength = body, 1<<20
			if res, err := http.DefaultClient.Do(r); err == nil {
				res.Body.Close()
			}
			body.Close()
		})
	}
	awaitQuiet(&sent)
	grown := liveHeap() - before
	t.Logf("%d KiB are held while %d bodies arrive", grown>>10, callers)
	assert.Check(t, grown < limit+callers*perRequest, "%d KiB are held", grown>>10)
	assert.Equal(t, b.send("/open/").status, http.StatusOK)
	close(rest)
	done.Wait()
}
