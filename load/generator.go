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

// Bounds of the histograms, in microseconds.
const (
	minMicros = 1
	maxMicros = int64(10 * time.Minute / time.Microsecond)
	digits    = 3
)

const (
	chunkPrefix = "data: "
	doneMarker  = "[DONE]"
	charsPerTok = 4
)

// Options describe a load.
type Options struct {
	URLs            []string // entry instances, used in turn
	Token           string   // team's bearer token
	Service         string
	Class           string
	Rate            float64       // arrivals a second
	Duration        time.Duration // of the arrivals
	PromptTokens    int
	RepeatShare     float64 // share of prompts that were sent before, 0 to 1
	RepeatedPrompts int     // different prompts that return
	Seed            uint64
	Header          http.Header // added to every request
}

// Report is what a load saw.
type Report struct {
	Sent, Completed int
	Failed          map[string]int // by reason
	Truncated       int
	FirstToken      *hdrhistogram.Histogram // microseconds
	BetweenTokens   *hdrhistogram.Histogram // microseconds
	Elapsed         time.Duration
}

// generator runs one load. Its report is guarded by mu.
type generator struct {
	o    Options
	http *http.Client

	mu     sync.Mutex
	report Report
}

// Run sends the load and waits for the last answer or the end of ctx.
func Run(ctx context.Context, o Options) *Report {
	g := &generator{o: o, http: newClient()}
	g.report = Report{
		Failed:        map[string]int{},
		FirstToken:    hdrhistogram.New(minMicros, maxMicros, digits),
		BetweenTokens: hdrhistogram.New(minMicros, maxMicros, digits),
	}
	started := time.Now()
	g.arrive(ctx)
	g.report.Elapsed = time.Since(started)
	return &g.report
}

func newClient() *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConnsPerHost = 1024
	t.MaxIdleConns = 0
	return &http.Client{Transport: t}
}

// arrive starts requests at exponential intervals, whether or not earlier ones
// have ended.
func (g *generator) arrive(ctx context.Context) {
	rng := rand.New(rand.NewPCG(g.o.Seed, 1))
	var running sync.WaitGroup
	defer running.Wait()
	next := time.Now()
	end := next.Add(g.o.Duration)
	for n := 0; next.Before(end); n++ {
		if !sleepUntil(ctx, next) {
			return
		}
		url := g.o.URLs[n%len(g.o.URLs)]
		body := g.body(rng, n)
		running.Go(func() { g.request(ctx, url, body) })
		next = next.Add(time.Duration(rng.ExpFloat64() / g.o.Rate * float64(time.Second)))
	}
}

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

func (g *generator) body(rng *rand.Rand, n int) []byte {
	name := fmt.Sprintf("once-%d-%d", g.o.Seed, n)
	if rng.Float64() < g.o.RepeatShare {
		name = fmt.Sprintf("returning-%d-%d", g.o.Seed, rng.IntN(max(g.o.RepeatedPrompts, 1)))
	}
	return ChatRequestBody(g.o.Service, name, g.o.PromptTokens)
}

// ChatRequestBody returns a streaming chat request with a prompt of about that many tokens,
// which the name determines.
func ChatRequestBody(service, name string, tokens int) []byte {
	words := strings.Repeat(name+" ", tokens*charsPerTok/(len(name)+1)+1)
	return chatBody(service, words)
}

func (g *generator) request(ctx context.Context, url string, body []byte) {
	g.count(func(r *Report) { r.Sent++ })
	started := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		g.refused("invalid-url")
		return
	}
	req.Header = g.o.Header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	req.Header.Set("Authorization", "Bearer "+g.o.Token)
	if g.o.Class != "" {
		req.Header.Set("X-Request-Class", g.o.Class)
	}
	resp, err := g.http.Do(req)
	if err != nil {
		g.refused("connection")
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		g.refused(reason(resp.Body))
		return
	}
	g.read(resp.Body, started)
}

// reason returns the reason of a problem answer.
func reason(body io.Reader) string {
	var p struct {
		Reason string `json:"reason"`
	}
	if err := json.NewDecoder(body).Decode(&p); err != nil || p.Reason == "" {
		return "unexplained"
	}
	return p.Reason
}

func (g *generator) read(body io.Reader, started time.Time) {
	scanner := bufio.NewScanner(body)
	last, first := started, true
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), chunkPrefix)
		if !ok {
			continue
		}
		if data == doneMarker {
			g.count(func(r *Report) { r.Completed++ })
			return
		}
		now := time.Now()
		g.token(now.Sub(last), first)
		last, first = now, false
	}
	g.count(func(r *Report) { r.Truncated++ })
}

func (g *generator) token(since time.Duration, first bool) {
	g.count(func(r *Report) {
		h := r.BetweenTokens
		if first {
			h = r.FirstToken
		}
		h.RecordValue(min(since.Microseconds(), maxMicros))
	})
}

func (g *generator) refused(reason string) {
	g.count(func(r *Report) { r.Failed[reason]++ })
}

func (g *generator) count(f func(*Report)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(&g.report)
}

// Write prints the report as a table.
func (r *Report) Write(w io.Writer) error {
	fmt.Fprintf(w, "sent %d, whole %d, broken %d, in %.1f s\n", r.Sent, r.Completed, r.Truncated, r.Elapsed.Seconds())
	for reason, n := range r.Failed {
		fmt.Fprintf(w, "refused %d: %s\n", n, reason)
	}
	fmt.Fprintf(w, "%-22s %10s %10s %10s %10s\n", "milliseconds", "p50", "p95", "p99", "max")
	writeRow(w, "time to first token", r.FirstToken)
	_, err := writeRow(w, "between tokens", r.BetweenTokens)
	return errors.Wrap(err, "report")
}

func writeRow(w io.Writer, name string, h *hdrhistogram.Histogram) (int, error) {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return fmt.Fprintf(w, "%-22s %10.2f %10.2f %10.2f %10.2f\n", name, ms(50), ms(95), ms(99), float64(h.Max())/1000)
}
