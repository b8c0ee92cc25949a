package relay

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwingknot/fleet"
	"redwingknot/peers"
	"redwingknot/place"
	"redwingknot/promptcache"
)

const (
	// promptCacheShare is the fraction of an engine's memory that is assumed to
	// hold cached prompt parts, beside the running requests.
	promptCacheShare = 0.65
	// maxIdlePending is the number of pending prompt tokens below which an engine
	// counts as idle. Only responses of idle engines are used to measure the prefill
	// rate, because elsewhere a prompt waits for others.
	maxIdlePending = 1000
	// prefillCostWeight is the cost of prefilling relative to that of a fetch of the
	// same duration: prefilling delays all requests of the engine, a fetch only its
	// own request.
	prefillCostWeight = 2
)

// sharedPart is a part of a prompt that other requests may have in common with
// it.
type sharedPart struct {
	sized         promptcache.SizedPart // the part's name and size
	hash          uint64                // of the partition and the part's identifier
	cheapestFetch fetchEstimate         // fetch from the cheapest source

	believedResident bool // believed to be in the chosen endpoint's memory
}

// splitSharedParts returns the shared parts of a prompt in a partition: all but
// the last part.
func splitSharedParts(p *Prompt, partition string) []sharedPart {
	if len(p.Parts) < 2 {
		return nil
	}
	return appendSharedParts(nil, p, partition)
}

// appendSharedParts appends the shared parts of a prompt in a partition to parts.
func appendSharedParts(parts []sharedPart, p *Prompt, partition string) []sharedPart {
	for i := range max(len(p.Parts)-1, 0) {
		sized := promptcache.SizedPart{Part: promptcache.Part{Partition: partition, ID: p.Parts[i].ID}, Tokens: p.Parts[i].Tokens}
		parts = append(parts, sharedPart{sized: sized, hash: partHash(sized.Part)})
	}
	return parts
}

// partHash returns the hash of a part's name, by which instances refer to it.
func partHash(p promptcache.Part) uint64 {
	var d xxhash.Digest
	d.Reset()
	// The writes of a Digest can't fail.
	_, _ = d.WriteString(p.Partition)
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(p.ID)
	return d.Sum64()
}

// weightsID identifies a version of a model's weights.
type weightsID struct {
	model   string
	version int64
}

// findSources sets cheapestFetch of each part of a prompt, made under the given weights. Its source
// is a store that reports the part, or an endpoint of list that has the weights and is believed to
// hold the part in memory, unless fetches from there are late.
func (e *Endpoints) findSources(weights weightsID, parts []sharedPart, list []*endpoint, rates transferRates, now time.Time) {
	for i := range parts {
		p := &parts[i]
		if e.cache != nil {
			if store := e.cache.Holder(p.sized.Part, now); store != nil && !e.fetchesLate(store.Address, now) {
				p.useIfCheaper(e.estimateStoreFetch(store, rates, p.sized.Tokens, now))
			}
		}
		if ep := e.cheapestHolder(p, weights, list, &rates, now); ep != nil {
			estimate := ep.estimateFetch(&rates, p.sized.Tokens, now)
			estimate.weights = weights.version
			p.useIfCheaper(estimate)
		}
	}
}

// cheapestHolder returns the endpoint of list that has the given weights, is believed to hold a part
// in memory and from which fetching it costs least within its data centre, nil if there is none.
// Those from which fetches are late don't count.
func (e *Endpoints) cheapestHolder(p *sharedPart, weights weightsID, list []*endpoint, rates *transferRates, now time.Time) *endpoint {
	var cheapest *endpoint
	lowest := 0.0
	for _, ep := range list {
		if !ep.residentParts.Has(p.hash) || ep.weightsVersion(weights.model) != weights.version {
			continue
		}
		if ep.source == nil {
			ep.source = e.source(ep.address)
		}
		if ep.source.isDark(ep.otherFetches.Reached, ep.otherFetches.Unreachable, now) {
			continue
		}
		if cost := ep.fetchCost(rates, p.sized.Tokens, now); cheapest == nil || cost < lowest {
			cheapest, lowest = ep, cost
		}
	}
	return cheapest
}

// useIfCheaper sets cheapestFetch to estimate if the part has no source yet or
// estimate is cheaper, both compared for a fetch within the source's own data
// centre.
func (p *sharedPart) useIfCheaper(estimate fetchEstimate) {
	if p.cheapestFetch.address == "" || estimate.costAt(estimate.dataCentre) < p.cheapestFetch.costAt(p.cheapestFetch.dataCentre) {
		p.cheapestFetch = estimate
	}
}

// prefillPlan states how an engine obtains a prompt: it has the leading shared
// parts in memory or fetches them, and prefills the rest.
type prefillPlan struct {
	cachedParts   int // number of leading parts in memory or fetched
	prefillTokens int // tokens to prefill
	fetchCost     int // duration of the fetches, in prefill tokens
}

// bestPrefillPlan returns the plan with the lowest cost for an engine. All parts
// after a prefilled part have to be prefilled too, so fetching a small part may be
// worthwhile even if it takes longer than prefilling that part.
//
// Load pattern: sessions whose large part follows a small part that many sessions
// share. Without the fetch, an engine that has evicted the small part would
// prefill the large one again.
func bestPrefillPlan(ep *endpoint, parts []sharedPart, prompt *Prompt) prefillPlan {
	best := prefillPlan{prefillTokens: prompt.InputTokens}
	current := best
	for i := range parts {
		p := &parts[i]
		switch {
		case ep.residentParts.Has(p.hash):
		case p.cheapestFetch.address != "" && p.cheapestFetch.address != ep.spec.Address:
			current.fetchCost += p.cheapestFetch.costAt(ep.spec.DataCentre)
		default:
			return best
		}
		current.cachedParts++
		current.prefillTokens = max(current.prefillTokens-p.sized.Tokens, 0)
		if current.fetchCost+prefillCostWeight*current.prefillTokens < best.fetchCost+prefillCostWeight*best.prefillTokens {
			best = current
		}
	}
	return best
}

// chooseForPrompt chooses the endpoint of list with the lowest expected time to the
// prompt's first token. It returns nil if the prompt should wait before it is
// sent to an engine.
func (e *Endpoints) chooseForPrompt(s *fleet.Snapshot, q *placementQuery, list []*endpoint, now time.Time) *pick {
	b := &e.buffers
	b.versions = b.versions[:0]
	b.engines, b.plans = resized(b.engines, len(list)), resized(b.plans, len(list))
	engines, plans := b.engines, b.plans
	service := e.service(q.service)
	service.notePauseObjective(q.pauses.objective, s.Config.Version)
	e.updatePrefillSet(q.service, now)
	svc := s.Config.Services[q.service]
	rates := transferRatesOf(svc, service.prefillRate)
	capacity := 0
	if svc != nil && svc.Engine != nil {
		capacity = svc.Engine.CacheTokens
	}
	measured := service.pauseObjective > 0 && service.streams.Measured()
	for i, ep := range list {
		version := ep.weightsVersion(q.prompt.Model)
		named := b.partsWith(version)
		if named == nil {
			named = b.addVersion(version)
			named.parts = appendSharedParts(named.parts, q.prompt, e.partition(q.prompt.Model, version, q.team))
			if e.mayFetch(q.prompt.Model, version, now) {
				e.findSources(weightsID{q.prompt.Model, version}, named.parts, list, rates, now)
			}
		}
		load := e.totalLoad(ep)
		plans[i] = bestPrefillPlan(ep, named.parts, q.prompt)
		engines[i] = place.Engine{
			Hash: ep.idHash, Local: ep.spec.DataCentre == e.dataCentre, Slowness: max(ep.slowness.Slowness(now), ep.speed.Speed()),
			Running: load.Running, Slots: ep.spec.Slots, PendingTokens: load.PendingTokens, MemoryInUse: load.HeldTokens,
			MemoryCapacity: capacity, UncachedTokens: plans[i].prefillTokens, FetchCost: plans[i].fetchCost,
			MemoryNeeded: q.prompt.InputTokens + q.prompt.MaxOutputTokens,
		}
		if measured {
			engines[i].Noise, engines[i].Speed, engines[i].Prefills = e.totalNoise(ep, service, now), ep.speed.Speed(), ep.prefills
			engines[i].RecentPrefill = ep.others.RecentPrefill + ep.recentPrefill.Sum(now)
		}
	}
	if e.dropLate(s, q, now); len(b.list) == 0 {
		return nil
	}
	list, engines, plans = b.list, b.engines, b.plans
	chosen := place.ChooseEngine(q.sessionHash, engines)
	if !place.Admits(&engines[chosen], q.priority, q.target, &service.prefillRate) {
		q.admissionDelay = place.AdmissionDelay(engines, q.priority, q.target, &service.prefillRate)
		return nil
	}
	better := place.AvoidInterference(q.sessionHash, engines, chosen, e.surroundings(q, service))
	avoided := better != chosen
	chosen = better
	ep := list[chosen]
	p := &pick{decidedAt: now, avoided: avoided, endpointIdle: engines[chosen].PendingTokens < maxIdlePending, endpoint: ep, spec: ep.spec, weights: ep.weightsVersion(q.prompt.Model), cost: engines[chosen].Cost()}
	p.reserved = peers.Load{Running: 1, PendingTokens: engines[chosen].UncachedTokens, HeldTokens: engines[chosen].MemoryNeeded}
	p.parts = append(p.memory.parts[:0], b.partsWith(p.weights).parts...)
	p.planFetches(plans[chosen].cachedParts)
	return p
}

// planFetches sets the addresses from which the chosen endpoint fetches the given
// number of leading parts. It sets an address also for a part that the endpoint
// is believed to have in memory: if that is true, the endpoint does not fetch it.
func (p *pick) planFetches(parts int) {
	for i := range p.parts {
		part := &p.parts[i]
		part.believedResident = p.endpoint.residentParts.Has(part.hash)
		if i >= parts || part.cheapestFetch.address == "" || part.cheapestFetch.address == p.spec.Address {
			continue
		}
		if p.fetchAddresses == nil {
			p.fetchAddresses = resized(p.memory.fetchAddresses[:0], len(p.parts)+1)
			p.plannedFetches = p.memory.plannedFetches[:0]
		}
		p.fetchAddresses[i] = part.cheapestFetch.address
		if !part.believedResident {
			p.plannedFetches = append(p.plannedFetches, plannedFetch{part.cheapestFetch.address, part.sized.Tokens, part.cheapestFetch.costAt(p.spec.DataCentre)})
		}
	}
}

// cachePlan returns a letter for each shared part: m if it is believed to be in
// the endpoint's memory, f if it is fetched, c if it could be fetched but
// prefilling costs less, r if it has no source and is prefilled.
func (p *pick) cachePlan() string {
	plan := make([]byte, len(p.parts))
	for i := range p.parts {
		part := &p.parts[i]
		switch {
		case part.believedResident:
			plan[i] = 'm'
		case part.cheapestFetch.address == "":
			plan[i] = 'r'
		case p.fetchAddresses != nil && p.fetchAddresses[i] != "":
			plan[i] = 'f'
		default:
			plan[i] = 'c'
		}
	}
	return string(plan)
}

// transfers returns, for the log, what each shared part is fetched from and saved to: the address
// and, after an @, the version of the weights that an engine is known to have.
func (p *pick) transfers(addresses []string) string {
	var b strings.Builder
	for i := range p.parts {
		if i > 0 {
			b.WriteByte(',')
		}
		if i >= len(addresses) || addresses[i] == "" {
			b.WriteByte('-')
			continue
		}
		b.WriteString(addresses[i])
		if fetch := &p.parts[i].cheapestFetch; fetch.address == addresses[i] && fetch.weights != 0 {
			b.WriteByte('@')
			b.WriteString(strconv.FormatInt(fetch.weights, 10))
		}
	}
	return b.String()
}

// recordPlacement records that the prompt's shared parts are in the endpoint's
// memory from now on, and reports this to the other instances.
func (e *Endpoints) recordPlacement(p *pick) {
	p.useParts()
	if e.sendPlacements == nil || len(p.parts) == 0 {
		return
	}
	list := make([]peers.Placement, len(p.parts))
	for i := range p.parts {
		list[i] = peers.Placement{Target: p.endpoint.idHash, Part: p.parts[i].hash, Tokens: p.parts[i].sized.Tokens}
	}
	e.sendPlacements(list)
}

// useParts records that the prompt's shared parts are in the endpoint's memory from
// now on.
func (p *pick) useParts() {
	for i := range p.parts {
		p.endpoint.residentParts.Use(p.parts[i].hash, p.parts[i].sized.Tokens)
	}
}

// totalLoad returns the load that all instances together have at an endpoint, of the others
// as of the latest decision.
func (e *Endpoints) totalLoad(ep *endpoint) peers.Load {
	l := *ep.others
	l.Add(ep.ownLoad)
	return l
}

// Loads returns the load of this instance's requests at endpoints and fetch sources,
// and which of these it reaches, by the hash of the endpoint's identifier or the
// source's address. It implements peers.Source.
func (e *Endpoints) Loads() map[uint64]peers.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	loads := make(map[uint64]peers.Load, len(e.byKey))
	for _, ep := range e.byKey {
		l := ep.ownLoad
		// What this instance reaches only through others says nothing to them.
		if ep.health.Reached(now) && !ep.path.Detour() {
			l.Reached = 1
		}
		if ep.health.Unreachable(now) && !ep.path.Detour() {
			l.Unreachable = 1
		}
		l.RecentPrefill = ep.recentPrefill.Sum(now)
		if !ep.noise.Idle() && e.isNoisy(ep, e.service(ep.spec.Service), now) {
			l.Noisy = 1
		}
		if l != (peers.Load{}) {
			loads[ep.idHash] = l
		}
		if !ep.leavingSince.IsZero() {
			loads[ep.incarnationHash] = peers.Load{Leaving: 1}
		}
	}
	e.addFetchLoads(loads, now)
	e.addGrantLoads(loads)
	e.addRampLoads(loads)
	return loads
}

// RecordPlacements records placements reported by another instance. It implements
// peers.Source.
func (e *Endpoints) RecordPlacements(list []peers.Placement) {
	e.mu.Lock()
	defer e.mu.Unlock()
	byHash := make(map[uint64]*endpoint, len(e.byKey))
	for _, ep := range e.byKey {
		byHash[ep.idHash] = ep
	}
	for _, p := range list {
		if ep := byHash[p.Target]; ep != nil {
			ep.residentParts.Use(p.Part, p.Tokens)
		}
	}
}
