package fleetworker

import (
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Headers of requests and answers.
const (
	headerAttempt     = "Attempt-Id"
	headerExpect      = "Expect-Instance"
	headerExpectModel = "Expect-Version"
	headerInstance    = "Instance-Id"
	headerWeights     = "Weight-Versions"
	headerNotRun      = "Not-Executed"
	headerStamp       = "Response-Stamp"
	headerLastEvent   = "Last-Event-Id"
)

// ResponseStamp is the mark on an endpoint's answers.
const ResponseStamp = "mark"

// AnswerBody returns what an application answers to a request.
func AnswerBody(method, path string, body []byte) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %s\n%s", method, path, body)
	return fmt.Sprintf("%s %s %x\n", method, path, h.Sum64())
}

// StreamEvent returns an event of the stream at a path. Every run has the same.
func StreamEvent(path string, id int) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %d", path, id)
	return fmt.Sprintf("id: %d\ndata: %x\n\n", id, h.Sum64())
}

// run serves a request that may be worked on.
func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller is gone
	}
	w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
	if s.misdirected(w, r) || s.otherWeights(w, r) {
		return
	}
	if r.Header.Get(headerAttempt) == "" {
		refuse(w, http.StatusBadRequest)
		return
	}
	if !s.enter(r) {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	after := s.begin(r)
	w.Header().Set(headerStamp, ResponseStamp)
	if s.o.Model == "" {
		if s.pause(r, s.o.WorkTime) {
			fmt.Fprint(w, AnswerBody(r.Method, r.URL.Path, body))
		}
		return
	}
	s.stream(w, r, after)
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(status)
}

// misdirected refuses a request that is meant for another endpoint.
func (s *Server) misdirected(w http.ResponseWriter, r *http.Request) bool {
	want := r.Header.Get(headerExpect)
	if want == "" || want == s.o.ID {
		return false
	}
	w.Header().Set(headerInstance, s.o.ID)
	refuse(w, http.StatusMisdirectedRequest)
	return true
}

// otherWeights refuses a request that wants another version.
func (s *Server) otherWeights(w http.ResponseWriter, r *http.Request) bool {
	if s.o.Model == "" {
		return false
	}
	version := s.WeightsVersion()
	w.Header().Set(headerWeights, strconv.FormatInt(version, 10))
	want := r.Header.Get(headerExpectModel)
	if want == "" || want == strconv.FormatInt(version, 10) {
		return false
	}
	w.Header().Set(headerInstance, s.o.ID)
	refuse(w, http.StatusMisdirectedRequest)
	return true
}

// enter waits for a slot. It fails while weights load, if the queue is full or
// if the caller leaves.
func (s *Server) enter(r *http.Request) bool {
	s.mu.Lock()
	loading := time.Now().Before(s.loadingTo)
	s.mu.Unlock()
	if loading {
		return false
	}
	select {
	case s.queue <- struct{}{}:
	default:
		return false
	}
	select {
	case s.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		<-s.queue
		return false
	}
}

func (s *Server) leave() {
	<-s.slots
	<-s.queue
}

// begin records a run and returns the last event that the caller has.
func (s *Server) begin(r *http.Request) int {
	after, err := strconv.Atoi(r.Header.Get(headerLastEvent))
	if err != nil {
		after = -1 // none was named
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, Run{
		Attempt: r.Header.Get(headerAttempt), Method: r.Method, Path: r.URL.Path, Team: r.Header.Get("Tenant"),
		Authenticated: r.Header.Get("Authorization") != "", LastEvent: after, WeightsVersion: s.weights, StartedAt: time.Now(),
	})
	return after
}

// stream sends the events after one that the caller has.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, after int) {
	w.Header().Set("Content-Type", "text/event-stream")
	if !s.pause(r, s.o.WorkTime) {
		return
	}
	for id := after + 1; id < s.o.StreamEvents; id++ {
		if _, err := io.WriteString(w, StreamEvent(r.URL.Path, id)); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil || !s.pause(r, s.o.EventGap) {
			return
		}
	}
}
