package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// Range and precision of the latency histograms. The range is in microseconds.
const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

const (
	chunkPrefix   = "data: "
	doneMarker    = "[DONE]"
	charsPerToken = 4
)

// Options describe the load to generate.
type Options struct {
	URLs            []string // base URLs of entry instances, used round-robin
	Token           string   // the team's bearer token
	Service         string
	Class           string
	Rate            float64       // mean number of requests started per second
	Duration        time.Duration // time during which requests are started
	PromptTokens    int           // approximate length of each prompt
	RepeatShare     float64       // fraction of requests with a prompt from the repeated set, 0 to 1
	RepeatedPrompts int           // size of the set of repeated prompts
	Seed            uint64
	Header          http.Header // added to every request
}

// Report is the result of a load run.
type Report struct {
	Sent, Completed int                     // requests sent, and answered completely
	Failed          map[string]int          // requests without a 200 answer, by reason
	Truncated       int                     // answers that ended early
	FirstToken      *hdrhistogram.Histogram // time to first token, in microseconds
	BetweenTokens   *hdrhistogram.Histogram // time between tokens, in microseconds
	Elapsed         time.Duration
}

// generator sends the requests of one load run. mu guards report.
type generator struct {
	opts   Options
	client *http.Client

	mu     sync.Mutex
	report Report
}

// Run generates the load that o describes and returns when all answers have
// ended. If ctx is cancelled, it starts no further requests and aborts those in
// flight.
func Run(ctx context.Context, o Options) *Report {
	g := &generator{opts: o, client: newClient()}
	g.report = Report{
		Failed:        map[string]int{},
		FirstToken:    hdrhistogram.New(minMicros, maxMicros, significantDigits),
		BetweenTokens: hdrhistogram.New(minMicros, maxMicros, significantDigits),
	}
	started := time.Now()
	g.startRequests(ctx)
	g.report.Elapsed = time.Since(started)
	return &g.report
}

// newClient returns an HTTP client that keeps enough idle connections for many
// concurrent requests to one instance.
func newClient() *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConnsPerHost = 1024
	t.MaxIdleConns = 0
	return &http.Client{Transport: t}
}

// startRequests starts requests at exponentially distributed intervals, whether
// or not earlier ones have ended, and returns when all have ended.
func (g *generator) startRequests(ctx context.Context) {
	rng := rand.New(rand.NewPCG(g.opts.Seed, 1))
	var requests sync.WaitGroup
	defer requests.Wait()
	next := time.Now()
	end := next.Add(g.opts.Duration)
	for n := 0; next.Before(end); n++ {
		if !sleepUntil(ctx, next) {
			return
		}
		url := g.opts.URLs[n%len(g.opts.URLs)]
		body := g.requestBody(rng, n)
		requests.Go(func() { g.sendRequest(ctx, url, body) })
		next = next.Add(time.Duration(rng.ExpFloat64() / g.opts.Rate * float64(time.Second)))
	}
}

// sleepUntil waits until the given time. It returns false if ctx ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// requestBody returns the body of request number n: a prompt from the repeated
// set with probability opts.RepeatShare, otherwise one that is used only once.
func (g *generator) requestBody(rng *rand.Rand, n int) []byte {
	name := fmt.Sprintf("once-%d-%d", g.opts.Seed, n)
	if rng.Float64() < g.opts.RepeatShare {
		name = fmt.Sprintf("returning-%d-%d", g.opts.Seed, rng.IntN(max(g.opts.RepeatedPrompts, 1)))
	}
	return ChatRequestBody(g.opts.Service, name, g.opts.PromptTokens)
}

// ChatRequestBody returns the body of a streaming chat request whose prompt repeats name
// until it is about the given number of tokens long. Equal arguments give equal
// prompts.
func ChatRequestBody(service, name string, tokens int) []byte {
	words := strings.Repeat(name+" ", tokens*charsPerToken/(len(name)+1)+1)
	return chatBody(service, words)
}

// sendRequest sends one request, reads its answer and records the outcome.
func (g *generator) sendRequest(ctx context.Context, url string, body []byte) {
	g.updateReport(func(r *Report) { r.Sent++ })
	started := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		g.countFailure("invalid-url")
		return
	}
	req.Header = g.opts.Header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	req.Header.Set("Authorization", "Bearer "+g.opts.Token)
	if g.opts.Class != "" {
		req.Header.Set("X-Request-Class", g.opts.Class)
	}
	resp, err := g.client.Do(req)
	if err != nil {
		g.countFailure("connection")
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		g.countFailure(problemReason(resp.Body))
		return
	}
	g.readStream(resp.Body, started)
}

// problemReason returns the reason in a problem document, or "unexplained" if
// there is none.
func problemReason(body io.Reader) string {
	var p struct {
		Reason string `json:"reason"`
	}
	if err := json.NewDecoder(body).Decode(&p); err != nil || p.Reason == "" {
		return "unexplained"
	}
	return p.Reason
}

// readStream reads the answer's events and records the latency of each token. An
// answer without the end marker counts as truncated.
func (g *generator) readStream(body io.Reader, started time.Time) {
	scanner := bufio.NewScanner(body)
	previous, first := started, true
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), chunkPrefix)
		if !ok {
			continue
		}
		if data == doneMarker {
			g.updateReport(func(r *Report) { r.Completed++ })
			return
		}
		now := time.Now()
		g.recordToken(now.Sub(previous), first)
		previous, first = now, false
	}
	g.updateReport(func(r *Report) { r.Truncated++ })
}

// recordToken records the latency of one token: since the start of the request
// for the first token, since the previous token otherwise. Values above
// maxMicros are recorded as maxMicros.
func (g *generator) recordToken(latency time.Duration, first bool) {
	g.updateReport(func(r *Report) {
		h := r.BetweenTokens
		if first {
			h = r.FirstToken
		}
		h.RecordValue(min(latency.Microseconds(), maxMicros))
	})
}

// countFailure counts a request that got no 200 answer.
func (g *generator) countFailure(reason string) {
	g.updateReport(func(r *Report) { r.Failed[reason]++ })
}

// updateReport calls f on the report with mu held.
func (g *generator) updateReport(f func(*Report)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(&g.report)
}

// Write prints the report to w: counts, then a table of latency percentiles in
// milliseconds.
func (r *Report) Write(w io.Writer) error {
	fmt.Fprintf(w, "sent %d, completed %d, truncated %d, in %.1f s\n", r.Sent, r.Completed, r.Truncated, r.Elapsed.Seconds())
	for reason, n := range r.Failed {
		fmt.Fprintf(w, "failed %d: %s\n", n, reason)
	}
	fmt.Fprintf(w, "%-22s %10s %10s %10s %10s\n", "milliseconds", "p50", "p95", "p99", "max")
	writeRow(w, "time to first token", r.FirstToken)
	_, err := writeRow(w, "between tokens", r.BetweenTokens)
	return errors.Wrap(err, "report")
}

// writeRow writes one line of the latency table. h holds microseconds.
func writeRow(w io.Writer, name string, h *hdrhistogram.Histogram) (int, error) {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return fmt.Fprintf(w, "%-22s %10.2f %10.2f %10.2f %10.2f\n", name, ms(50), ms(95), ms(99), float64(h.Max())/1000)
}
