package suspect

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"redwingknot/contract"
	"redwingknot/metric"
	"redwingknot/suspect/suspectpb"
	"redwingknot/wire"
)

const (
	// replicas is the number of homes of a fingerprint in a data centre: the
	// second answers once the first is gone.
	replicas = 2
	// callTimeout bounds a call to a home; the next one is asked after it.
	callTimeout = 250 * time.Millisecond
	// busyRetry is the least time after which a suspect that found the slot
	// taken may come back; as much again is drawn at random.
	busyRetry = time.Second
)

// ClientConfig sets up a Client.
type ClientConfig struct {
	Instance   string
	DataCentre string
	Members    func() []Member               // live instances of all data centres
	Dial       func(addr string) wire.Caller // returns the connection kept to addr
	Local      *Server                       // that of this instance
}

// Client asks the homes of fingerprints on behalf of one entry instance. If no
// home answers, this instance's own keeper does, so that what this instance
// saw still counts. It is safe for concurrent use.
type Client struct {
	config ClientConfig
	spread sync.WaitGroup
}

// NewClient returns a client.
func NewClient(c ClientConfig) *Client { return &Client{config: c} }

// Wait returns when reports under way to other data centres have ended.
func (c *Client) Wait() { c.spread.Wait() }

// Begin asks whether the request may run and, for a suspect, takes the data
// centre's slot for run until the deadline. The error is a *contract.Refusal.
// The permit must be ended by one of its methods.
func (c *Client) Begin(ctx context.Context, f Fingerprint, run string, deadline time.Time, rng *rand.Rand) (*Permit, error) {
	a := c.ask(ctx, f)
	switch a.Verdict {
	case Clear:
		return &Permit{client: c, fingerprint: f}, nil
	case Refused:
		return nil, refuseFinally()
	}
	p := &Permit{client: c, fingerprint: f, Alone: true, Exclude: a.Crashed, run: run}
	if err := c.acquire(ctx, run, deadline, rng); err != nil {
		return nil, err
	}
	// The verdict may have become final while another run held the slot.
	if a = c.ask(ctx, f); a.Verdict == Refused {
		p.EndInconclusive(ctx)
		return nil, refuseFinally()
	}
	p.Exclude = a.Crashed
	return p, nil
}

func refuseFinally() error {
	return contract.Refuse(http.StatusUnprocessableEntity, contract.ReasonSuspectRefused,
		"this request has crashed endpoints and is not run again")
}

func (c *Client) ask(ctx context.Context, f Fingerprint) Answer {
	req := &suspectpb.AskRequest{Fingerprint: f[:]}
	var resp suspectpb.Answer
	for _, m := range homes(f.String(), c.neighbours(), replicas) {
		if c.call(ctx, m, methodAsk, req, &resp) == nil {
			return Answer{Verdict: Verdict(resp.Verdict), Crashed: resp.Crashed}
		}
	}
	metric.Counter("suspect_fallbacks_total").Inc(1)
	local, err := c.config.Local.ask(ctx, req)
	if err != nil {
		return Answer{Verdict: RunAlone}
	}
	return Answer{Verdict: Verdict(local.Verdict), Crashed: local.Crashed}
}

func (c *Client) acquire(ctx context.Context, run string, deadline time.Time, rng *rand.Rand) error {
	ttl := time.Until(deadline)
	req := &suspectpb.AcquireRequest{DataCentre: c.config.DataCentre, Run: run, TtlMs: ttl.Milliseconds()}
	var resp suspectpb.AcquireResponse
	err := c.call(ctx, c.slotHome(), methodAcquire, req, &resp)
	if err == nil && resp.Acquired {
		return nil
	}
	wait := busyRetry + time.Duration(rng.Int64N(int64(busyRetry)))
	return contract.Overloaded(contract.ReasonSuspectBusy, wait,
		"an endpoint ended while this request ran, and another such request is being run now")
}

// slotHome is the instance that keeps the data centre's slot.
func (c *Client) slotHome() Member {
	h := homes("slot/"+c.config.DataCentre, c.neighbours(), 1)
	if len(h) == 0 {
		return Member{Instance: c.config.Instance}
	}
	return h[0]
}

// neighbours returns the members of this data centre.
func (c *Client) neighbours() []Member {
	return membersOf(c.config.Members(), c.config.DataCentre)
}

func membersOf(all []Member, dataCentre string) []Member {
	var list []Member
	for _, m := range all {
		if m.DataCentre == dataCentre {
			list = append(list, m)
		}
	}
	return list
}

// call calls m, directly if it is this instance.
func (c *Client) call(ctx context.Context, m Member, method string, req, resp proto.Message) error {
	if m.Instance == c.config.Instance {
		return c.config.Local.serve(ctx, method, req, resp)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.config.Dial(m.Addr).Call(ctx, method, req, resp)
}

// tell sends req to the homes of f in this data centre and to this instance,
// and, without waiting, to those in the other data centres.
func (c *Client) tell(ctx context.Context, f Fingerprint, method string, req, resp proto.Message) {
	all := c.config.Members()
	c.config.Local.serve(ctx, method, req, resp)
	told := map[string]bool{c.config.DataCentre: true}
	c.tellHomes(ctx, f, membersOf(all, c.config.DataCentre), method, req)
	for _, m := range all {
		if told[m.DataCentre] {
			continue
		}
		told[m.DataCentre] = true
		c.spread.Add(1)
		go func() {
			defer c.spread.Done()
			c.tellHomes(context.WithoutCancel(ctx), f, membersOf(all, m.DataCentre), method, req)
		}()
	}
}

func (c *Client) tellHomes(ctx context.Context, f Fingerprint, members []Member, method string, req proto.Message) {
	var calls sync.WaitGroup
	for _, m := range homes(f.String(), members, replicas) {
		if m.Instance == c.config.Instance {
			continue
		}
		calls.Add(1)
		go func() {
			defer calls.Done()
			if c.call(ctx, m, method, req, newResponse(method)) != nil {
				metric.Counter("suspect_untold_total").Inc(1)
			}
		}()
	}
	calls.Wait()
}

func newResponse(method string) proto.Message {
	if method == methodReport {
		return &suspectpb.ReportResponse{}
	}
	return &suspectpb.CleanResponse{}
}
