package placement

import (
	"context"
	"net"
	"sync"
	"time"

	"redwingknot/metric"
	"redwingknot/place"
	"redwingknot/placement/placementpb"
	"redwingknot/relay"
	"redwingknot/upstream"
	"redwingknot/wire"
)

const methodPlace = "placement.place"

const (
	// askTimeout is how long an owner may take to answer: an idle owner in another
	// data centre takes a few milliseconds, and an engine takes hundreds for a heavy
	// prompt.
	askTimeout = 40 * time.Millisecond
	// ownerBackoff is how long an owner that did not answer is not asked.
	ownerBackoff = time.Second
	// dialTimeout ends an attempt to connect to an owner.
	dialTimeout = 400 * time.Millisecond
)

// Chooser chooses engines on behalf of other instances.
type Chooser interface {
	// ChooseInGroup returns the identifier of the engine that should get a prompt,
	// empty if no engine of the group should get it now.
	ChooseInGroup(r *relay.PlacementRequest) (endpointID string)
}

// ChooserFunc is a function that is a Chooser.
type ChooserFunc func(r *relay.PlacementRequest) (endpointID string)

// ChooseInGroup implements Chooser.
func (f ChooserFunc) ChooseInGroup(r *relay.PlacementRequest) string { return f(r) }

// Options configure a Placer.
type Options struct {
	Self    string // name of this instance
	Key     []byte // shared key of the fleet's instances for package wire
	Chooser Chooser
	Now     func() time.Time
}

// Placer asks the owners of groups. It implements relay.Placer and is safe for
// concurrent use.
type Placer struct {
	opts Options

	mu     sync.Mutex
	names  []string // of all instances, this one included
	hashes []uint64 // of names
	owners map[string]*owner
}

// owner is another instance that owns groups.
type owner struct {
	client *wire.Client

	mu        sync.Mutex
	notBefore time.Time // time before which it is not asked
}

// New returns a Placer that knows no other instances.
func New(o Options) *Placer {
	p := &Placer{opts: o, owners: map[string]*owner{}}
	p.SetInstances(nil)
	return p
}

// Register adds the handler for the requests of other instances to a server.
func (p *Placer) Register(s *wire.Server) {
	wire.Handle(s, methodPlace, func(_ context.Context, in *placementpb.Request) (*placementpb.Answer, error) {
		return &placementpb.Answer{Endpoint: p.opts.Chooser.ChooseInGroup(decodeRequest(in))}, nil
	})
}

// SetInstances sets the other instances, given as addresses by name.
func (p *Placer) SetInstances(addresses map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.names, p.hashes = []string{p.opts.Self}, []uint64{place.Hash(p.opts.Self)}
	for name, address := range addresses {
		if name == p.opts.Self {
			continue
		}
		p.names, p.hashes = append(p.names, name), append(p.hashes, place.Hash(name))
		if o := p.owners[name]; o == nil || o.client.Addr() != address {
			p.removeOwner(name)
			p.owners[name] = &owner{client: p.newClient(address)}
		}
	}
	for name := range p.owners {
		if _, ok := addresses[name]; !ok {
			p.removeOwner(name)
		}
	}
}

// removeOwner closes the connection to an instance and forgets it. An unknown name
// changes nothing. The caller holds mu.
func (p *Placer) removeOwner(name string) {
	if o := p.owners[name]; o != nil {
		go o.client.Close() // waits for an attempt to connect
		delete(p.owners, name)
	}
}

func (p *Placer) newClient(address string) *wire.Client {
	dialer := net.Dialer{Timeout: dialTimeout, Control: upstream.SetSocketOptions, KeepAliveConfig: upstream.KeepAliveConfig}
	return wire.NewClient(address, p.opts.Key, func(_ context.Context, addr string) (net.Conn, error) {
		// The connection serves later requests too, so that it is made even if the
		// present one no longer waits for it.
		return dialer.Dial("tcp4", addr)
	})
}

// Place implements relay.Placer. It returns an empty identifier also if the owner does
// not answer in time.
func (p *Placer) Place(ctx context.Context, r *relay.PlacementRequest) (endpointID string, own bool) {
	name, o := p.ownerOf(r)
	switch {
	case name == p.opts.Self:
		return "", true
	case o == nil || !o.mayAsk(p.opts.Now()):
		metric.Counter("placement_owner_skipped_total").Inc(1)
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answered := make(chan *placementpb.Answer, 1)
	go func() {
		var answer placementpb.Answer
		if err := o.client.Call(ctx, methodPlace, encodeRequest(r), &answer); err != nil {
			close(answered)
			return
		}
		answered <- &answer
	}()
	select {
	case answer, ok := <-answered:
		if ok {
			return answer.Endpoint, false
		}
	case <-ctx.Done():
	}
	metric.Counter("placement_unanswered_total").Inc(1)
	o.backOff(p.opts.Now())
	return "", false
}

// ownerOf returns the name of the instance that owns a request's group, and the state
// of that instance if it is another one.
func (p *Placer) ownerOf(r *relay.PlacementRequest) (string, *owner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	name := p.names[place.GroupOwner(place.Hash(r.Service), r.Group, p.hashes)]
	return name, p.owners[name]
}

func (o *owner) mayAsk(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !now.Before(o.notBefore)
}

func (o *owner) backOff(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.notBefore = now.Add(ownerBackoff)
}
