package fleetworker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"redwingknot/internal/timer"
)

const (
	headerFrom = "Kv-From"
	// laterCopyShare is the time of a copy of what is new, as a share of that of the first.
	laterCopyShare = 10
	peerTimeout    = 300 * time.Millisecond
	headerPeer     = "Peer" // in calls between stand-ins
	// handleTime is how long a copy is kept: handle_s of the configuration, well exceeded.
	handleTime = 7 * time.Second
)

// MoveFault is a failure of the moves of runs.
type MoveFault string

// The failures of moves.
const (
	MoveNoRoom      MoveFault = "no-room"      // as a target, the endpoint takes no copies
	MoveCopiesGone  MoveFault = "copies-gone"  // as a target, it loses copies
	MoveAnswersLost MoveFault = "answers-lost" // calls that stop a run take effect, and their answers are lost
)

// SetMoveFault sets a failure of moves, empty for none.
func (s *Server) SetMoveFault(f MoveFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.moveFault = f
}

// liveRun is a stream that the endpoint is sending. Its fields are guarded by the mutex of
// Server.
type liveRun struct {
	copiedRun
	cancel  context.CancelFunc
	closed  chan struct{} // closed when the stream has ended
	prompt  prompt
	copying bool // a call to move it is in progress
	stopped bool
	cut     bool // an order has ended it
	// preempted says that its prompt is to be read again before its next event.
	preempted bool
	handle    string // of its copy, empty before the first
	index     int    // in the runs of the Server
}

// copiedRun is what continues a run elsewhere.
type copiedRun struct {
	Attempt   string
	Path      string
	Memory    []CachedPart // of the prompt, by the number of the part
	Generated []int64      // versions of the weights under which its events were made
	Events    int          // generated so far
	Used      bool
}

// copied returns a copy of the run. The caller holds the mutex of Server.
func (run *liveRun) copied() copiedRun {
	c := run.copiedRun
	c.Memory, c.Generated = slices.Clone(c.Memory), slices.Clone(c.Generated)
	return c
}

// beginStream records a stream that the endpoint is about to send, under the context of the
// returned request. The caller must call endStream.
func (s *Server) beginStream(r *http.Request) (*http.Request, *liveRun) {
	ctx, cancel := context.WithCancel(r.Context())
	run := &liveRun{cancel: cancel, closed: make(chan struct{}), prompt: parsePrompt(r)}
	run.copiedRun = copiedRun{Attempt: r.Header.Get(headerAttempt), Path: r.URL.Path, Memory: make([]CachedPart, len(run.prompt.parts))}
	s.mu.Lock()
	defer s.mu.Unlock()
	run.index = len(s.runs) - 1
	for run.index > 0 && s.runs[run.index].Attempt != run.Attempt {
		run.index--
	}
	s.takeCopiedMemory(run, r.Header.Get(headerFrom))
	s.live[run.Attempt] = run
	return r.WithContext(ctx), run
}

// recordEvent records that an event of a run was sent.
func (s *Server) recordEvent(run *liveRun, id int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.Events = id + 1
	if !slices.Contains(run.Generated, s.weightsVersion) {
		run.Generated = append(run.Generated, s.weightsVersion)
	}
	if first := &s.runs[run.index]; first.FirstEventAt.IsZero() {
		first.FirstEventAt, first.FirstEventWeights = time.Now(), s.weightsVersion
	}
}

// endStream ends a stream, without its end if the run was stopped before.
func (s *Server) endStream(run *liveRun) {
	s.mu.Lock()
	if s.live[run.Attempt] == run {
		delete(s.live, run.Attempt)
	}
	broken := run.stopped && run.Events < s.options.StreamEvents
	s.mu.Unlock()
	run.cancel()
	close(run.closed)
	if broken {
		panic(http.ErrAbortHandler)
	}
}

// serveMove handles a call to copy a run to another endpoint.
func (s *Server) serveMove(w http.ResponseWriter, r *http.Request) {
	var call struct {
		ID, Target string
		Last       bool
	}
	if s.refuseIfMisdirected(w, r) {
		return
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil || call.ID == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	run, status := s.beginMove(call.ID, call.Last)
	if run == nil {
		w.WriteHeader(status)
		return
	}
	if call.Last {
		<-run.closed
	}
	s.mu.Lock()
	copied, first, handle, fault := run.copied(), run.handle == "", run.handle, s.moveFault
	if first {
		s.handles++
		handle = fmt.Sprintf("%s.%d", s.options.ID, s.handles)
	}
	s.mu.Unlock()
	if call.Last && copied.Events >= s.options.StreamEvents {
		w.WriteHeader(http.StatusNotFound) // it ended before it could be stopped
		return
	}
	status = s.sendCopy(call.Target, handle, copied, first)
	s.mu.Lock()
	run.copying = false
	if status == http.StatusOK {
		run.handle, s.targets[handle] = handle, call.Target
	}
	if call.Last {
		s.copies[handle] = &copied
	}
	s.mu.Unlock()
	if call.Last && fault == MoveAnswersLost {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if status == http.StatusOK || call.Last {
		fmt.Fprintf(w, `{"handle":%q,"create_revision":%d}`, handle, copied.Events)
	}
}

// beginMove returns the run of an attempt, which it stops if the call is the last one, or the
// status of a refusal.
func (s *Server) beginMove(attempt string, last bool) (*liveRun, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := s.live[attempt]
	switch {
	case run == nil:
		return nil, http.StatusNotFound
	case run.copying:
		return nil, http.StatusConflict
	}
	run.copying = true
	if last {
		run.stopped = true
		run.cancel()
	}
	return run, 0
}

// sendCopy copies a run to another endpoint and returns the status of the answer to the call.
func (s *Server) sendCopy(target, handle string, copied copiedRun, first bool) int {
	d := s.options.CopyTime
	if !first {
		d /= laterCopyShare
	}
	timer.Sleep(context.Background(), d)
	body, err := json.Marshal(copied)
	if err != nil || s.callPeer(http.MethodPut, target, handle, body) != http.StatusOK {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

// callPeer makes a call on a copy to another stand-in and returns the status, 0 without an
// answer.
func (s *Server) callPeer(method, address, handle string, body []byte) int {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/redwingknot/kv-handle/"+handle, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set(headerPeer, s.options.ID)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	res.Body.Close()
	return res.StatusCode
}

// serveHandle handles calls on copies: PUT stores one and POST marks one as used, both by
// other stand-ins; DELETE frees one.
func (s *Server) serveHandle(w http.ResponseWriter, r *http.Request) {
	handle := r.PathValue("handle")
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r.Method {
	case http.MethodPut:
		var copied copiedRun
		if json.NewDecoder(r.Body).Decode(&copied) != nil || s.moveFault == MoveNoRoom || len(s.slots)+s.heldCopies() >= s.options.Slots {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.copies[handle] = &copied
		time.AfterFunc(handleTime, func() { s.freeCopy(handle) })
	case http.MethodPost:
		if c := s.copies[handle]; c != nil && c.Used {
			w.WriteHeader(http.StatusConflict)
		} else if c != nil {
			c.Used = true
		}
	case http.MethodDelete:
		delete(s.copies, handle)
		if target := s.targets[handle]; target != "" && r.Header.Get(headerPeer) == "" {
			go s.callPeer(http.MethodDelete, target, handle, nil)
		}
	}
}

// freeCopy frees a copy that was not used in time.
func (s *Server) freeCopy(handle string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.copies, handle)
}

// HeldCopies returns the number of unused copies of other endpoints' runs.
func (s *Server) HeldCopies() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heldCopies()
}

// heldCopies is HeldCopies for callers that hold mu.
func (s *Server) heldCopies() int {
	n := 0
	for handle, c := range s.copies {
		if !c.Used && !s.isOwn(handle) {
			n++
		}
	}
	return n
}

// isOwn reports whether the endpoint issued a handle.
func (s *Server) isOwn(handle string) bool { return strings.HasPrefix(handle, s.options.ID+".") }

// refuseIfCopyGone refuses a request that continues a run whose copy the endpoint does not
// have, or which was used or is not of the request. It reports whether it did. It uses the
// copy otherwise, whatever weights the copy was made under.
func (s *Server) refuseIfCopyGone(w http.ResponseWriter, r *http.Request) bool {
	source, handle, ok := strings.Cut(r.Header.Get(headerFrom), "/")
	if !ok {
		return false
	}
	s.mu.Lock()
	c := s.copies[handle]
	usable := c != nil && !c.Used && c.Attempt == r.Header.Get(headerAttempt) && c.Path == r.URL.Path
	if s.moveFault == MoveCopiesGone && !s.isOwn(handle) {
		delete(s.copies, handle)
		usable = false
	}
	if usable {
		c.Used = true
	}
	target := s.targets[handle]
	s.mu.Unlock()
	switch {
	case !usable:
	case s.isOwn(handle):
		go s.callPeer(http.MethodDelete, target, handle, nil)
	default:
		usable = s.callPeer(http.MethodPost, source, handle, nil) != http.StatusConflict
	}
	if !usable {
		refuseNotExecuted(w, http.StatusServiceUnavailable)
	}
	return !usable
}
