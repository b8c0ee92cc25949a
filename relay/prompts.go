package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"redwingknot/fleet"
	"redwingknot/peers"
	"redwingknot/place"
	"redwingknot/promptcache"
)

const (
	// residentShare is the part of an engine's memory that cached prompts keep
	// beside the running requests.
	residentShare = 0.65
	// idlePending is what an engine may have to read while the time that it takes
	// for a prompt still tells its speed.
	idlePending = 1000
	// readBurden weighs a token read against one waited for: reading holds up all
	// requests of the engine, a fetch only its own.
	readBurden = 2
)

// sharedPart is a part of a prompt that other requests may bring as well.
type sharedPart struct {
	wanted promptcache.SizedPart
	hash   uint64 // of the part and its partition
	from   supply

	resident bool // believed to be in the chosen endpoint's memory
}

// split returns the shared parts of a prompt in a partition.
func split(p *Prompt, partition string) []sharedPart {
	if len(p.Parts) < 2 {
		return nil
	}
	parts := make([]sharedPart, len(p.Parts)-1)
	for i := range parts {
		wanted := promptcache.SizedPart{Part: promptcache.Part{Partition: partition, ID: p.Parts[i].ID}, Tokens: p.Parts[i].Tokens}
		parts[i] = sharedPart{wanted: wanted, hash: xxhash.Sum64String(partition + "/" + p.Parts[i].ID)}
	}
	return parts
}

// locate finds where the parts can be fetched from at the least cost: a store
// that reports them, or an engine that is believed to hold them.
func (e *Endpoints) locate(parts []sharedPart, list []*endpoint, l links, now time.Time) {
	for i := range parts {
		p := &parts[i]
		if e.cache != nil {
			if store := e.cache.Holder(p.wanted.Part, now); store != nil {
				p.offer(e.quoteStore(store, l, p.wanted.Tokens, now))
			}
		}
		for _, ep := range list {
			if ep.resident.Has(p.hash) {
				p.offer(e.quoteEngine(ep, l, p.wanted.Tokens, now))
			}
		}
	}
}

// offer takes a supply if it is the cheapest so far.
func (p *sharedPart) offer(s supply) {
	if p.from.address == "" || s.at(s.dataCentre) < p.from.at(p.from.dataCentre) {
		p.from = s
	}
}

// prefix is how an engine gets a prompt: a number of shared parts that it holds
// or fetches, and the rest that it reads.
type prefix struct {
	parts int // held or fetched
	read  int // tokens
	fetch int // how long fetching takes, in tokens read
}

// bestPrefix returns the prefix of the least cost for an engine. Behind a part
// that is read all others are read too, so a small part may be worth a fetch
// that takes longer than reading it.
//
// Load pattern: sessions whose large part follows a small one that many share.
// An engine that has dropped the small part would read the large one again.
func bestPrefix(ep *endpoint, parts []sharedPart, prompt *Prompt) prefix {
	best := prefix{read: prompt.InputTokens}
	at := best
	for i := range parts {
		p := &parts[i]
		switch {
		case ep.resident.Has(p.hash):
		case p.from.address != "" && p.from.address != ep.spec.Address:
			at.fetch += p.from.at(ep.spec.DataCentre)
		default:
			return best
		}
		at.parts++
		at.read = max(at.read-p.wanted.Tokens, 0)
		if at.fetch+readBurden*at.read < best.fetch+readBurden*best.read {
			best = at
		}
	}
	return best
}

// choosePrompt chooses among endpoints for a prompt. It returns nil while the
// prompt should wait.
func (e *Endpoints) choosePrompt(s *fleet.Snapshot, q *query, list []*endpoint, now time.Time) *pick {
	byWeights := map[int64][]sharedPart{}
	engines := make([]place.Engine, len(list))
	prefixes := make([]prefix, len(list))
	capacity := 0
	if svc := s.Config.Services[q.service]; svc != nil && svc.Engine != nil {
		capacity = svc.Engine.CacheTokens
	}
	for i, ep := range list {
		version := ep.version(q.prompt.Model)
		parts, ok := byWeights[version]
		if !ok {
			parts = split(q.prompt, partition(q.prompt.Model, version, q.team))
			e.locate(parts, list, linksOf(s.Config.Services[q.service]), now)
			byWeights[version] = parts
		}
		load := e.load(ep)
		prefixes[i] = bestPrefix(ep, parts, q.prompt)
		engines[i] = place.Engine{
			Hash: ep.hash, Local: ep.spec.DataCentre == e.dataCentre, Slowness: ep.pace.Slowness(now),
			Running: load.Running, Slots: ep.spec.Slots, PendingTokens: load.PendingTokens, MemoryInUse: load.HeldTokens,
			MemoryCapacity: capacity, UncachedTokens: prefixes[i].read, FetchCost: prefixes[i].fetch, MemoryNeeded: q.prompt.InputTokens + q.prompt.MaxOutputTokens,
		}
	}
	at := place.ChooseEngine(q.session, engines)
	if !place.Admits(&engines[at], q.rank, q.target, &e.service(q.service).speed) {
		return nil
	}
	ep := list[at]
	p := &pick{idle: engines[at].PendingTokens < idlePending, endpoint: ep, spec: ep.spec, weights: ep.version(q.prompt.Model), cost: engines[at].Cost()}
	p.reserved = peers.Load{Running: 1, PendingTokens: engines[at].UncachedTokens, HeldTokens: engines[at].MemoryNeeded}
	p.parts = byWeights[p.weights]
	p.fetchFrom(prefixes[at].parts)
	e.placed(p)
	return p
}

// fetchFrom settles where the chosen endpoint gets the first parts from. A part
// that it is believed to hold is named too: if it does, nothing moves.
func (p *pick) fetchFrom(parts int) {
	for i := range p.parts {
		part := &p.parts[i]
		part.resident = p.endpoint.resident.Has(part.hash)
		if i >= parts || part.from.address == "" || part.from.address == p.spec.Address {
			continue
		}
		if p.fetch == nil {
			p.fetch = make([]string, len(p.parts)+1)
		}
		p.fetch[i] = part.from.address
		if !part.resident {
			p.fetching = append(p.fetching, fetching{part.from.address, part.wanted.Tokens, part.from.at(p.spec.DataCentre)})
		}
	}
}

// describe tells for each shared part whether it is believed to be in the
// endpoint's memory (m), fetched (f), in reach of a fetch that costs more than
// reading (c), or read (r).
func (p *pick) describe() string {
	plan := make([]byte, len(p.parts))
	for i := range p.parts {
		part := &p.parts[i]
		switch {
		case part.resident:
			plan[i] = 'm'
		case part.from.address == "":
			plan[i] = 'r'
		case p.fetch != nil && p.fetch[i] != "":
			plan[i] = 'f'
		default:
			plan[i] = 'c'
		}
	}
	return string(plan)
}

// placed records that the parts are at the endpoint from now on, and tells the
// other instances.
func (e *Endpoints) placed(p *pick) {
	list := make([]peers.Placement, len(p.parts))
	for i := range p.parts {
		part := &p.parts[i]
		p.endpoint.resident.Use(part.hash, part.wanted.Tokens)
		list[i] = peers.Placement{Target: p.endpoint.hash, Part: part.hash, Tokens: part.wanted.Tokens}
	}
	if e.tell != nil && len(list) > 0 {
		e.tell(list)
	}
}

// load is the work that all instances have at an endpoint.
func (e *Endpoints) load(ep *endpoint) peers.Load {
	l := e.others.Load(ep.hash)
	l.Add(ep.own)
	return l
}

// Loads implements peers.Source.
func (e *Endpoints) Loads() map[uint64]peers.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	loads := make(map[uint64]peers.Load, len(e.known))
	for _, ep := range e.known {
		if ep.own != (peers.Load{}) {
			loads[ep.hash] = ep.own
		}
	}
	e.fetchLoads(loads, e.now())
	return loads
}

// RecordPlacements implements peers.Source.
func (e *Endpoints) RecordPlacements(list []peers.Placement) {
	e.mu.Lock()
	defer e.mu.Unlock()
	byHash := make(map[uint64]*endpoint, len(e.known))
	for _, ep := range e.known {
		byHash[ep.hash] = ep
	}
	for _, p := range list {
		if ep := byHash[p.Target]; ep != nil {
			ep.resident.Use(p.Part, p.Tokens)
		}
	}
}
