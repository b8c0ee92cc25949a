//go:build review

package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// attemptResult is what a client has seen of one attempt.
type attemptResult struct {
	id         string
	status     int
	retryAfter time.Duration
	events     int
	lastEvent  int // identifier, -1 for none
	services   map[string]bool
	complete   bool
	err        error
	sentAt     time.Time
	endedAt    time.Time
}

// client sends each attempt on a new connection.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}

// ask describes an attempt.
type ask struct {
	tenant  tenant
	parts   []string // identifier:tokens
	left    time.Duration
	resumes string
	after   int    // Last-Event-Id, -1 for none
	path    string // empty for that of the usual route
}

// send makes an attempt at a gateway.
func (w *world) send(g *gateway, q ask) attemptResult {
	a := attemptResult{id: w.newID("a"), lastEvent: q.after, services: map[string]bool{}, sentAt: time.Now()}
	defer func() { a.endedAt = time.Now() }()
	ctx, cancel := context.WithTimeout(context.Background(), q.left)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.ip+":8005"+cmp.Or(q.path, routePrefix)+"2f", strings.NewReader("{\"question\":\""+a.id+"\"}"))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = routeHost
	tokens := 0
	for _, p := range q.parts {
		_, n, _ := strings.Cut(p, ":")
		count, _ := strconv.Atoi(n)
		tokens += count
	}
	h := req.Header
	h.Set("Attempt-Id", a.id)
	h.Set("Authorization", "Bearer "+q.tenant.key())
	h.Set("Deadline-Ms", strconv.FormatInt(q.left.Milliseconds(), 10))
	h.Set("Model", modelName)
	h.Set("Token-Count", fmt.Sprintf("%d,60", tokens))
	h.Set("Prompt-Prefix", strings.Join(q.parts, ","))
	if q.resumes != "" {
		h.Set("Resumes", q.resumes)
		h.Set("Last-Event-Id", strconv.Itoa(q.after))
	}
	res, err := client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer res.Body.Close()
	a.status = res.StatusCode
	if s, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if n, ok := strings.CutPrefix(lines.Text(), "id: "); ok && res.StatusCode == http.StatusOK {
			a.lastEvent, _ = strconv.Atoi(n)
			a.events++
		}
		if d, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			service, _, _ := strings.Cut(d, " ")
			a.services[service] = true
		}
	}
	a.err = lines.Err()
	a.complete = a.err == nil && res.StatusCode == http.StatusOK && res.Header.Get("Response-Stamp") != ""
	return a
}

// String returns the result as a line of the record.
func (a attemptResult) String() string {
	return fmt.Sprintf("status %d, %d events, last %d, complete %t, error %v", a.status, a.events, a.lastEvent, a.complete, a.err)
}
