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
	// ownersPerFingerprint is the number of instances in each data centre that
	// store the state of a fingerprint. The second one answers if the first fails.
	ownersPerFingerprint = 2
	// callTimeout limits the duration of a call to an owner. After a timeout, the
	// next owner is asked.
	callTimeout = 250 * time.Millisecond
	// minBusyRetryDelay is the minimum delay after which a suspect request that
	// found the slot taken may be retried. A random delay of up to the same length
	// is added.
	minBusyRetryDelay = time.Second
)

// ClientConfig configures a Client.
type ClientConfig struct {
	Instance   string                        // name of this instance
	DataCentre string                        // of this instance
	Members    func() []Member               // returns the live instances of all data centres
	Dial       func(addr string) wire.Caller // returns the shared connection to addr
	Local      *Server                       // the Server of this instance
}

// Client asks the owners of fingerprints on behalf of one entry instance, which is
// an instance that takes requests from callers. The owners are the instances whose
// Servers store the state of a fingerprint. If no owner answers, the client falls
// back to this instance's own Server, so that crashes seen by this instance still
// count. It is safe for concurrent use.
type Client struct {
	config              ClientConfig
	remoteNotifications sync.WaitGroup // notifications of other data centres in progress
}

// NewClient returns a Client with the given configuration.
func NewClient(c ClientConfig) *Client { return &Client{config: c} }

// Wait blocks until all notifications in progress to other data centres have
// ended.
func (c *Client) Wait() { c.remoteNotifications.Wait() }

// Begin asks the owners of f whether the request may run. A suspect request may
// only run while it holds the data centre's slot, so Begin also acquires the slot
// until the deadline; runID identifies the run, that is, the attempt that is about
// to start. The error is a *contract.Refusal. The caller must end the permit by one
// of its methods.
func (c *Client) Begin(ctx context.Context, f Fingerprint, runID string, deadline time.Time, rng *rand.Rand) (*Permit, error) {
	answer := c.askOwners(ctx, f)
	switch answer.Verdict {
	case Clear:
		return &Permit{client: c, fingerprint: f}, nil
	case Refused:
		return nil, newPermanentRefusal()
	}
	p := &Permit{client: c, fingerprint: f, Alone: true, Exclude: answer.Crashed, runID: runID}
	if err := c.acquireSlot(ctx, runID, deadline, rng); err != nil {
		return nil, err
	}
	// The request may have been refused permanently while another run held the slot.
	if answer = c.askOwners(ctx, f); answer.Verdict == Refused {
		p.EndInconclusive(ctx)
		return nil, newPermanentRefusal()
	}
	p.Exclude = answer.Crashed
	return p, nil
}

// newPermanentRefusal returns the error for a request that is never run again.
func newPermanentRefusal() error {
	return contract.Refuse(http.StatusUnprocessableEntity, contract.ReasonSuspectRefused,
		"this request has crashed endpoints and is not run again")
}

// askOwners returns the answer of the first owner in this data centre that can be
// reached, or that of the local Server if there is none.
func (c *Client) askOwners(ctx context.Context, f Fingerprint) Answer {
	req := &suspectpb.AskRequest{Fingerprint: f[:]}
	var resp suspectpb.Answer
	for _, m := range rendezvousOwners(f.String(), c.localMembers(), ownersPerFingerprint) {
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

// acquireSlot acquires the data centre's slot for runID until the deadline. The
// error is a *contract.Refusal that tells the caller when to retry.
func (c *Client) acquireSlot(ctx context.Context, runID string, deadline time.Time, rng *rand.Rand) error {
	ttl := time.Until(deadline)
	req := &suspectpb.AcquireRequest{DataCentre: c.config.DataCentre, Run: runID, TtlMs: ttl.Milliseconds()}
	var resp suspectpb.AcquireResponse
	err := c.call(ctx, c.slotOwner(), methodAcquire, req, &resp)
	if err == nil && resp.Acquired {
		return nil
	}
	delay := minBusyRetryDelay + time.Duration(rng.Int64N(int64(minBusyRetryDelay)))
	return contract.Unavailable(contract.ReasonSuspectBusy, delay,
		"an endpoint ended while this request ran, and another such request is being run now")
}

// slotOwner returns the instance that manages the data centre's slot, or this
// instance if the data centre has no members.
func (c *Client) slotOwner() Member {
	owners := rendezvousOwners("slot/"+c.config.DataCentre, c.localMembers(), 1)
	if len(owners) == 0 {
		return Member{Instance: c.config.Instance}
	}
	return owners[0]
}

// localMembers returns the members of this data centre.
func (c *Client) localMembers() []Member {
	return membersInDataCentre(c.config.Members(), c.config.DataCentre)
}

func membersInDataCentre(members []Member, dataCentre string) []Member {
	var matching []Member
	for _, m := range members {
		if m.DataCentre == dataCentre {
			matching = append(matching, m)
		}
	}
	return matching
}

// call calls a method of m's Server, without the network if m is this instance.
func (c *Client) call(ctx context.Context, m Member, method string, req, resp proto.Message) error {
	if m.Instance == c.config.Instance {
		return c.config.Local.callLocal(ctx, method, req, resp)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.config.Dial(m.Addr).Call(ctx, method, req, resp)
}

// notifyOwners sends req to the local Server, whose response it stores in resp, to
// the owners of f in this data centre and, without waiting for them, to the owners
// in the other data centres.
func (c *Client) notifyOwners(ctx context.Context, f Fingerprint, method string, req, resp proto.Message) {
	members := c.config.Members()
	c.config.Local.callLocal(ctx, method, req, resp)
	notified := map[string]bool{c.config.DataCentre: true}
	c.notifyOwnersAmong(ctx, f, membersInDataCentre(members, c.config.DataCentre), method, req)
	for _, m := range members {
		if notified[m.DataCentre] {
			continue
		}
		notified[m.DataCentre] = true
		c.remoteNotifications.Add(1)
		go func() {
			defer c.remoteNotifications.Done()
			c.notifyOwnersAmong(context.WithoutCancel(ctx), f, membersInDataCentre(members, m.DataCentre), method, req)
		}()
	}
}

// notifyOwnersAmong sends req to the owners of f among members, except for this
// instance, and waits for the calls to end. Failed calls are counted in a metric
// but neither retried nor reported to the caller.
func (c *Client) notifyOwnersAmong(ctx context.Context, f Fingerprint, members []Member, method string, req proto.Message) {
	var calls sync.WaitGroup
	for _, m := range rendezvousOwners(f.String(), members, ownersPerFingerprint) {
		if m.Instance == c.config.Instance {
			continue
		}
		calls.Add(1)
		go func() {
			defer calls.Done()
			if c.call(ctx, m, method, req, newEmptyResponse(method)) != nil {
				metric.Counter("suspect_untold_total").Inc(1)
			}
		}()
	}
	calls.Wait()
}

// newEmptyResponse returns a message for the response to a report or clean call.
func newEmptyResponse(method string) proto.Message {
	if method == methodReport {
		return &suspectpb.ReportResponse{}
	}
	return &suspectpb.CleanResponse{}
}
