package relay

import (
	"context"
	"io"
	"time"

	"redwingknot/fleet"
	"redwingknot/internal/timer"
	"redwingknot/upstream"
)

// unframedEnd is what is known of the end of a response that has ended with its connection.
type unframedEnd uint8

const (
	endWhole      unframedEnd = iota // the process that wrote it goes on, so that it has closed the connection itself
	endReplaced                      // another process answers at the address
	endRefused                       // no process listens there
	endUnanswered                    // no process has said in time which one it is
	endEmpty                         // a success has no body; nobody was asked
)

// String implements fmt.Stringer. The values are those of a metric's label.
func (e unframedEnd) String() string {
	return [...]string{"whole", "replaced", "refused", "unanswered", "empty"}[e]
}

const (
	// lookTime is how long a look may take. An endpoint may stall for a second and go on, and
	// the callers of the responses that have ended wait meanwhile.
	lookTime = 2 * time.Second
	// lookRetryInterval is the time between the calls of a look that fail.
	lookRetryInterval = 200 * time.Millisecond
	// maxIncarnationBytes is well above the size of an answer.
	maxIncarnationBytes = 1 << 20
)

// incarnationLook finds out which process answers at the address of an endpoint. It is shared
// by the responses of the endpoint that have ended before it began.
type incarnationLook struct {
	number int           // of the looks at the endpoint
	done   chan struct{} // closed at the end; the fields below are valid from then on
	end    unframedEnd   // endWhole if a process has answered
	found  sighting      // of that process
}

// sighting is the latest process that has answered a look at an endpoint.
type sighting struct {
	process fleet.EndpointKey
	since   time.Time // when the first of the looks in a row that it has answered ended
}

// lookAfterEnd finds out whether the process that has written a response is still there after
// the end of the response, whose request was sent at sentAt.
//
// The kernel closes the connections of a process that ends in good order. That nobody listens
// any more shows the end of a process, but not that somebody does: it may have been started
// again meanwhile.
func (e *Endpoints) lookAfterEnd(ctx context.Context, ep *endpoint, sentAt time.Time) unframedEnd {
	e.mu.Lock()
	earlier := ep.looks
	e.mu.Unlock()
	for {
		look := e.joinLook(ep)
		if look == nil {
			return endUnanswered
		}
		select {
		case <-look.done:
		case <-ctx.Done():
			return endUnanswered
		}
		end := look.endOf(ep, sentAt)
		// The process may have ended since it answered a look that began before the response
		// ended. That it was gone by then still holds.
		if end != endWhole || look.number > earlier {
			return end
		}
	}
}

// endOf returns what a look that is done says of a response that ended before it began, and
// whose request was sent at sentAt to ep.
func (l *incarnationLook) endOf(ep *endpoint, sentAt time.Time) unframedEnd {
	isWriter := l.found.process == ep.key
	if !isWriter && l.found.process.ID == ep.key.ID {
		// Not all reports name the start. The entry of an endpoint that has started again may be
		// late; its responses to what was sent after it was first seen are its own.
		unnamed := l.found.process.StartMillis == 0
		isWriter = unnamed || sentAt.After(l.found.since)
	}
	if l.end == endWhole && !isWriter {
		return endReplaced
	}
	return l.end
}

// joinLook returns the look at an endpoint that is under way, or a new one. It returns nil if
// nothing may be sent to the endpoint.
func (e *Endpoints) joinLook(ep *endpoint) *incarnationLook {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ep.look == nil && !e.isEvacuated(ep) && !ep.pause.Active(e.now()) {
		ep.looks++
		ep.look = &incarnationLook{number: ep.looks, done: make(chan struct{})}
		go e.runLook(ep, ep.look)
	}
	return ep.look
}

// runLook asks who answers at the address of an endpoint until it is known or lookTime is over.
func (e *Endpoints) runLook(ep *endpoint, look *incarnationLook) {
	defer close(look.done)
	ctx, cancel := context.WithTimeout(context.Background(), lookTime)
	defer cancel()
	process, err := e.askIncarnation(ctx, ep)
	for err != nil && !upstream.ConnRefused(err) && timer.Sleep(ctx, lookRetryInterval) {
		process, err = e.askIncarnation(ctx, ep)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	ep.look = nil
	switch {
	case upstream.ConnRefused(err):
		look.end = endRefused
	case err != nil:
		look.end = endUnanswered
	default:
		if ep.sighted.process != process {
			ep.sighted = sighting{process: process, since: time.Now()}
		}
		look.found = ep.sighted
	}
}

// askIncarnation asks which process answers at the address of an endpoint, on a connection that
// the process must have accepted. Those of the responses that have ended still count towards
// the limit of connections.
func (e *Endpoints) askIncarnation(ctx context.Context, ep *endpoint) (fleet.EndpointKey, error) {
	request := e.dialect.IncarnationRequest(ep.key.ID)
	request.NewConn, request.OverLimit = true, true
	res, err := ep.pool.Send(ctx, request)
	if err != nil {
		return fleet.EndpointKey{}, err
	}
	defer res.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxIncarnationBytes))
	if err != nil {
		return fleet.EndpointKey{}, err
	}
	return e.dialect.ParseIncarnation(ep.key.ID, res.Status, res.Header, body)
}
