package fleetworker

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// The headers of requests and answers.
const (
	headerAttempt        = "Attempt-Id"
	headerExpectInstance = "Expect-Instance"
	headerExpectVersion  = "Expect-Version"
	headerInstance       = "Instance-Id"
	headerWeightVersions = "Weight-Versions"
	headerNotExecuted    = "Not-Executed"
	headerStamp          = "Response-Stamp"
	headerLastEvent      = "Last-Event-Id"
	headerResumes        = "Resumes"
	headerLeaving        = "Server-Leaving"
	headerRetryAfter     = "Retry-After"
	headerLimit          = "Server-Limit"
	headerPrompt         = "Prompt-Prefix"
	headerBrittle        = "Server-Brittle"
	headerColdMs         = "Cold-Ms"
)

// ResponseStamp is the Response-Stamp of every answer to a request that was run. It
// shows that the answer comes from an endpoint.
const ResponseStamp = "mark"

// AnswerBody returns the body of an application's answer to a request with the given
// body.
func AnswerBody(method, path string, body []byte) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %s\n%s", method, path, body)
	return fmt.Sprintf("%s %s %x\n", method, path, h.Sum64())
}

// StreamEvent returns the server-sent event with the given ID of the stream at a path. It
// is the same in every run by endpoints of one software version.
func StreamEvent(path, softwareVersion string, id int) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %s %d", path, softwareVersion, id)
	return fmt.Sprintf("id: %d\ndata: %s %x\n\n", id, softwareVersion, h.Sum64())
}

// EventSoftwareVersion returns the software version of the endpoint that wrote the first of
// the given events, empty if there is none.
func EventSoftwareVersion(events string) string {
	_, data, _ := strings.Cut(events, "\ndata: ")
	version, _, ok := strings.Cut(data, " ")
	if !ok {
		return ""
	}
	return version
}

// serveRequest refuses a request with Not-Executed set, or records it and answers
// it as an application or as an engine.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the client has disconnected
	}
	w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
	s.recordArrival(w, r)
	s.fallOverIfCold()
	if s.respondEndlessly(w) {
		return
	}
	if s.refuseIfMisdirected(w, r) || s.refuseIfOtherWeights(w, r) {
		return
	}
	if r.Header.Get(headerAttempt) == "" {
		refuseNotExecuted(w, http.StatusBadRequest)
		return
	}
	if s.refuseForPause(w, r) {
		return
	}
	if !s.acquireSlot(r) {
		s.recordTurnedAway()
		refuseNotExecuted(w, http.StatusServiceUnavailable)
		return
	}
	defer s.releaseSlot()
	if s.refuseIfOtherWeights(w, r) { // it may have waited through a load
		return
	}
	if s.fail(w) || s.refuseIfCopyGone(w, r) {
		return
	}
	if unframed, err := s.unframe(w, r); err == nil && unframed != nil {
		defer unframed.conn.Close()
		w = unframed
	}
	crashesAtOnce := s.options.Crash != nil && bytes.HasPrefix(body, []byte(CrashBody))
	crashesLater := s.options.Crash != nil && s.options.Model != "" && hasCrashPart(r)
	lastEvent := s.recordRun(r, crashesAtOnce || crashesLater)
	if crashesAtOnce {
		s.crash()
	}
	if s.stallHead(w, r) || s.spoilHead(w, r) {
		return
	}
	w.Header().Set(headerStamp, ResponseStamp)
	if s.options.Model == "" {
		if s.sleepScaled(r, s.options.WorkTime) {
			fmt.Fprint(w, AnswerBody(r.Method, r.URL.Path, body))
		}
		return
	}
	r, run := s.beginStream(r)
	defer s.endStream(run)
	s.streamEvents(w, r, run, lastEvent, crashesLater)
	if s.isCut(run) {
		breakOff(w)
	}
}

// fail reports a failure if the endpoint is to do so. It reports whether it did.
func (s *Server) fail(w http.ResponseWriter) bool {
	s.mu.Lock()
	failing := s.failing
	s.mu.Unlock()
	if failing {
		w.Header().Set(headerStamp, ResponseStamp)
		w.WriteHeader(http.StatusInternalServerError)
	}
	return failing
}

// hasCrashPart reports whether CrashPart is one of the parts of a prompt but the last.
func hasCrashPart(r *http.Request) bool {
	parts := strings.Split(r.Header.Get(headerPrompt), ",")
	for _, part := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(strings.TrimSpace(part), ":"); id == CrashPart {
			return true
		}
	}
	return false
}

// crash ends the endpoint's process. It does not return.
func (s *Server) crash() {
	s.options.Crash()
	panic(http.ErrAbortHandler)
}

// recordArrival records a request and sets the header that names the limit.
func (s *Server) recordArrival(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, Arrival{Attempt: r.Header.Get(headerAttempt), At: time.Now(), Limit: s.limitValue, Cold: s.coldLeft() > 0 && !s.isMisdirected(r)})
	if s.limitValue != "" {
		w.Header().Set(headerLimit, s.limitValue)
	}
	s.announceBrittle(w)
}

// respondEndlessly sends bytes until the connection is closed if the endpoint is to do so.
// It reports whether it did.
func (s *Server) respondEndlessly(w http.ResponseWriter) bool {
	s.mu.Lock()
	beginning := s.endlessHead
	s.mu.Unlock()
	if beginning == "" {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	_, err = io.WriteString(conn, beginning)
	for more := strings.Repeat("x", 4<<10); err == nil; {
		_, err = io.WriteString(conn, more)
	}
	return true
}

// refuseNotExecuted answers with a status and promises that the request wasn't
// executed.
func refuseNotExecuted(w http.ResponseWriter, status int) {
	w.Header().Set(headerNotExecuted, "1")
	w.WriteHeader(status)
}

// isMisdirected reports whether a request is addressed to another endpoint.
func (s *Server) isMisdirected(r *http.Request) bool {
	want := r.Header.Get(headerExpectInstance)
	return want != "" && want != s.options.ID
}

// refuseIfMisdirected refuses a request that is addressed to another endpoint. It
// reports whether it did.
func (s *Server) refuseIfMisdirected(w http.ResponseWriter, r *http.Request) bool {
	if !s.isMisdirected(r) {
		return false
	}
	w.Header().Set(headerInstance, s.options.ID)
	refuseNotExecuted(w, http.StatusMisdirectedRequest)
	return true
}

// refuseIfOtherWeights sets the header that names the weight version and refuses
// a request for another version. It reports whether it refused. It does nothing
// at an application.
func (s *Server) refuseIfOtherWeights(w http.ResponseWriter, r *http.Request) bool {
	if s.options.Model == "" {
		return false
	}
	version := s.WeightsVersion()
	w.Header().Set(headerWeightVersions, strconv.FormatInt(version, 10))
	want := r.Header.Get(headerExpectVersion)
	if want == "" || want == strconv.FormatInt(version, 10) {
		return false
	}
	w.Header().Set(headerInstance, s.options.ID)
	refuseNotExecuted(w, http.StatusMisdirectedRequest)
	return true
}

// refuseForPause refuses a request if the endpoint asks for a pause, and records what the
// response to the request says. It reports whether it refused.
func (s *Server) refuseForPause(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := Notice{Attempt: r.Header.Get(headerAttempt), At: time.Now(), Leaving: s.leaving}
	if seconds, err := strconv.Atoi(s.pauseValue); err == nil && seconds > 0 {
		n.PauseEnds = n.At.Add(time.Duration(seconds) * time.Second)
	}
	if n.Leaving || s.pauseValue != "" {
		s.notices = append(s.notices, n)
	}
	if s.pauseValue == "" {
		return false
	}
	w.Header().Set(headerRetryAfter, s.pauseValue)
	refuseNotExecuted(w, http.StatusServiceUnavailable)
	return true
}

// acquireSlot waits for a slot. It reports false if an order is in progress or comes, if the queue
// is full or if the client disconnects.
func (s *Server) acquireSlot(r *http.Request) bool {
	s.mu.Lock()
	ordered := s.ordered
	s.mu.Unlock()
	if isClosed(ordered) || !s.hasRoom() {
		return false
	}
	select {
	case s.admitted <- struct{}{}:
	default:
		return false
	}
	select {
	case s.slots <- struct{}{}:
		if isClosed(ordered) {
			s.releaseSlot()
			return false
		}
		return true
	case <-ordered:
	case <-r.Context().Done():
	}
	<-s.admitted
	return false
}

// isClosed reports whether c is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (s *Server) releaseSlot() {
	<-s.slots
	<-s.admitted
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadIfRunsEnded()
}

// recordRun records a run and returns the ID of the last event that the caller
// has received, or -1 for none.
func (s *Server) recordRun(r *http.Request, crashes bool) int {
	lastEvent, err := strconv.Atoi(r.Header.Get(headerLastEvent))
	if err != nil {
		lastEvent = -1 // the request names no event
	}
	s.RecordRun(Run{
		Attempt: r.Header.Get(headerAttempt), Method: r.Method, Path: r.URL.Path, Crashes: crashes, Team: r.Header.Get("Tenant"),
		Authenticated: r.Header.Get("Authorization") != "", LastEvent: lastEvent, From: r.Header.Get(headerFrom), Resumes: r.Header.Get(headerResumes), WeightsVersion: s.WeightsVersion(), StartedAt: time.Now(),
	})
	return lastEvent
}

// RecordRun records a run.
func (s *Server) RecordRun(r Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, r)
}

// streamEvents sends the events after lastEvent, or crashes after the first one.
func (s *Server) streamEvents(w http.ResponseWriter, r *http.Request, run *liveRun, lastEvent int, crashes bool) {
	plan := s.planStream(r, lastEvent)
	w.Header().Set("Content-Type", plan.contentType)
	if r.Header.Get(headerFrom) == "" && !s.readPrompt(r, run, false) {
		return
	}
	if len(plan.writes) == 0 {
		w.WriteHeader(http.StatusOK)
	}
	for _, write := range plan.writes {
		if !s.readAgainIfPreempted(r, run) || !writeStream(w, r, write.text, plan.pieces) {
			return
		}
		s.recordEvent(run, write.last)
		if !s.sleepScaled(r, s.options.EventGap) {
			return
		}
		if crashes {
			s.crash()
		}
	}
	if plan.breaks {
		breakOff(w)
	}
}
