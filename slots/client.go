package slots

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"redwingknot/metric"
	"redwingknot/slots/slotspb"
	"redwingknot/wire"
)

// UnavailableError reports that no coordinator granted or refused a slot. The instance chooses
// an endpoint itself.
type UnavailableError struct{ Reason string }

// Error implements error.
func (e *UnavailableError) Error() string { return "no slot was granted or refused: " + e.Reason }

// RefusedError reports that a request gets no slot within its time. Its caller should come back
// after Delay.
type RefusedError struct{ Delay time.Duration }

// Error implements error.
func (e *RefusedError) Error() string { return "no slot becomes free in time" }

// Reasons of an UnavailableError.
const (
	reasonNoCoordinator = "no-coordinator" // none of the instances can be asked at present
	reasonSilent        = "silent"         // the coordinator did not answer in time
	reasonDeclined      = "declined"       // the coordinator leaves the choice to the instance
)

const (
	// answerTimeout is how long a request waits for the first answer of a coordinator. It covers
	// the pause of a process that has used up its processor time, and leaves most of an
	// objective of 300 ms.
	answerTimeout = 80 * time.Millisecond
	// pingInterval is the interval at which a link that is in use sends something.
	pingInterval = 150 * time.Millisecond
	// silenceLimit is how long a coordinator that is pinged may be silent: two pings and an
	// answerTimeout.
	silenceLimit = 2*pingInterval + answerTimeout
	// openTimeout limits the opening of a stream.
	openTimeout = 400 * time.Millisecond
	// reopenDelay is the time after which a stream that ended or could not be opened is opened
	// again.
	reopenDelay = time.Second
	// unknownDelay is the same for an instance that does not know the method: its software is
	// older.
	unknownDelay = 15 * time.Second
	// abortTime is how long a coordinator may be silent before its stream is opened anew.
	abortTime = 5 * time.Second
)

// ClientOptions configure a Client.
type ClientOptions struct {
	Self       string // name of this instance
	DataCentre string
	Server     *Server // of this instance
	Open       OpenFunc
	Log        *slog.Logger
}

// Stream carries messages between an instance and a coordinator. One goroutine at a time sends,
// and one receives. *wire.Stream implements it.
type Stream interface {
	Send(m proto.Message) error
	Receive(m proto.Message) error
	// Abort closes the stream and ends a Send and a Receive that wait.
	Abort()
}

// OpenFunc opens a stream to the coordinator at another instance.
type OpenFunc func(ctx context.Context, instance string, in *slotspb.OpenRequest) (Stream, error)

// UnknownInstanceError reports that there is no address of an instance.
type UnknownInstanceError struct{ Name string }

// Error implements error.
func (e *UnknownInstanceError) Error() string {
	return "no address of the instance " + e.Name + " is known"
}

// OpenOverWire returns a function that opens streams over the clients that clientOf returns, nil for
// an instance that is not known.
func OpenOverWire(clientOf func(instance string) *wire.Client) OpenFunc {
	return func(ctx context.Context, instance string, in *slotspb.OpenRequest) (Stream, error) {
		client := clientOf(instance)
		if client == nil {
			return nil, &UnknownInstanceError{Name: instance}
		}
		stream, err := client.OpenStream(ctx, methodOpen, in, &slotspb.OpenResponse{})
		if err != nil {
			return nil, err
		}
		return stream, nil
	}
}

// Client asks the coordinators of groups for slots. It is safe for concurrent use.
type Client struct {
	opts ClientOptions

	mu    sync.Mutex
	links map[linkKey]*link
}

// linkKey identifies a link: there is one for each group and coordinator.
type linkKey struct {
	group       Group
	coordinator string
}

// NewClient returns a Client without links. They are opened on first use.
func NewClient(o ClientOptions) *Client { return &Client{opts: o, links: map[linkKey]*link{}} }

// Acquire asks for a slot of a group and waits until it is granted or refused. coordinators are
// the instances to ask, the preferred one first. The error is a *RefusedError, an
// *UnavailableError, or that of ctx, whose end cancels the request.
func (c *Client) Acquire(ctx context.Context, g Group, coordinators []string, r Request) (*Grant, error) {
	began := time.Now()
	for _, name := range coordinators {
		l := c.link(linkKey{g, name})
		if l == nil {
			continue
		}
		passed := time.Since(began)
		asked := r
		asked.Age, asked.Left, asked.TargetLeft = r.Age+passed, r.Left-passed, max(r.TargetLeft-passed, 0)
		grant, err := l.acquire(ctx, asked)
		var ended *linkEndedError
		if errors.As(err, &ended) {
			continue // the next coordinator can be asked at once
		}
		c.count(g, began, err)
		return grant, err
	}
	err := &UnavailableError{Reason: reasonNoCoordinator}
	c.count(g, began, err)
	return nil, err
}

// count counts what became of a request.
func (c *Client) count(g Group, began time.Time, err error) {
	var unavailable *UnavailableError
	switch {
	case err == nil:
		metric.Histogram("slots_wait_ms", "service", g.Service).Update(time.Since(began).Milliseconds())
	case errors.As(err, &unavailable):
		metric.Counter("slots_unavailable_total", "service", g.Service, "reason", unavailable.Reason).Inc(1)
	}
}

// link returns the link to a coordinator, which it opens if necessary, nil if the coordinator
// can't be asked at present.
func (c *Client) link(k linkKey) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[k]
	if l == nil || l.mayReopen() {
		l = c.newLink(k, l != nil)
		c.links[k] = l
	}
	if !l.usable() {
		return nil
	}
	return l
}

// newLink opens a link. reopened says that an earlier one has ended.
func (c *Client) newLink(k linkKey, reopened bool) *link {
	l := &link{key: k, reopened: reopened, log: c.opts.Log, pending: map[uint64]*call{}, heardAt: time.Now(), wake: make(chan struct{}, 1)}
	if k.coordinator == c.opts.Self {
		l.openLocal(c.opts.Server, c.opts.DataCentre)
		return l
	}
	go l.run(c.opts.Open, c.opts.Self, c.opts.DataCentre)
	return l
}

// Prune closes the links to coordinators that are not among the live instances.
func (c *Client) Prune(instances []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, l := range c.links {
		if k.coordinator != c.opts.Self && !slices.Contains(instances, k.coordinator) {
			l.end(0)
			delete(c.links, k)
		}
	}
}

// Grant is a slot that a request holds until it is released. It is safe for concurrent use.
type Grant struct {
	Endpoint    uint64 // hash of the endpoint's incarnation
	Coordinator string

	link   *link
	number uint64
	once   sync.Once
}

// Release returns the slot. took is the time from the sending of the request to the end of its
// response, 0 if it is not known. Calls after the first have no effect.
func (g *Grant) Release(o Outcome, took time.Duration) {
	g.once.Do(func() { g.link.release(g.number, o, took) })
}

// Live reports whether the coordinator can still count the grant.
func (g *Grant) Live() bool { return !g.link.ended.Load() }
