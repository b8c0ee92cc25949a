package relay

import (
	"slices"
	"time"

	"redwingknot/fleet"
	"redwingknot/peers"
	"redwingknot/place"
	"redwingknot/promptcache"
)

const (
	// defaultCostPerToken is the cost of transferring a token, in prefill tokens, if
	// the bandwidth of the links is unknown: a link transfers a token in about a
	// quarter of the time that prefilling it takes.
	defaultCostPerToken = 0.25
	// engineFixedCost is the fixed cost of a fetch from an engine, in prefill
	// tokens.
	// It accounts for the chance that the engine has evicted the part, and is about
	// a third of the cost of prefilling a large part.
	engineFixedCost = 3000
	// remoteTransferFactor is the duration of a transfer between data centres
	// relative to one within a data centre.
	remoteTransferFactor = 2
)

// transferRates holds what is needed to calculate how long transfers of cached
// prompt parts take. Costs are durations in prefill tokens, that is, the number of
// tokens that an engine of the service prefills in that time.
type transferRates struct {
	bitsPerToken float64           // size of a token in the cache, 0 if unknown
	engineMbps   float64           // bandwidth of an engine's link in Mbit/s, 0 if unknown
	engineCost   float64           // costPerToken of an engine's link
	prefill      place.PrefillRate // of the service's engines
}

// transferRatesOf returns the transfer rates of a service's engines. The rates of
// links are zero for a nil service and one without engines.
func transferRatesOf(s *fleet.Service, prefill place.PrefillRate) transferRates {
	r := transferRates{prefill: prefill}
	if s != nil && s.Engine != nil {
		const bitsPerByte = 8
		r.bitsPerToken, r.engineMbps = bitsPerByte*s.Engine.BytesPerToken, s.Engine.LinkMbps
	}
	r.engineCost = r.costPerToken(r.engineMbps)
	return r
}

// costPerToken returns the cost of transferring a token over a link of the given
// bandwidth, in prefill tokens.
func (r *transferRates) costPerToken(mbps float64) float64 {
	if r.bitsPerToken == 0 || mbps == 0 {
		return defaultCostPerToken
	}
	const megabit = 1e6
	return r.bitsPerToken / (mbps * megabit) * r.prefill.TokensPerSecond()
}

// source is the state of an address that prompt parts are fetched from. Its
// fields are guarded by the mutex of Endpoints.
type source struct {
	addressHash uint64
	slowness    place.SlownessTracker // of requests that fetch from the address
	transfers   []transfer            // fetches of this instance's requests
	lateAt      time.Time             // when a request that fetched from the address last had its first data late
	inTimeAt    time.Time             // when one last had it in time
}

const (
	// lateFetchRatio is how many times as long as usual a request takes that waited in
	// vain for a fetch, which is abandoned after promptcache.FetchTimeout.
	lateFetchRatio = 2
	// lateFetchTime is how long a late fetch counts.
	lateFetchTime = 2 * time.Second
	// inTimeFetchTime is how long a fetch in time counts.
	inTimeFetchTime = 500 * time.Millisecond
)

// recordFirstData records that a request that fetched from the address had its first data
// after took, ratio times as long as usual.
func (s *source) recordFirstData(took time.Duration, ratio float64, now time.Time) {
	s.slowness.ObserveSparse(ratio, now)
	if took >= promptcache.FetchTimeout && ratio >= lateFetchRatio {
		s.lateAt = now
	} else {
		s.inTimeAt = now
	}
}

// isLate and isInTime report what this instance's latest fetches from the address were.
func (s *source) isLate(now time.Time) bool {
	return s.lateAt.After(s.inTimeAt) && now.Sub(s.lateAt) <= lateFetchTime
}

func (s *source) isInTime(now time.Time) bool {
	return s.inTimeAt.After(s.lateAt) && now.Sub(s.inTimeAt) <= inTimeFetchTime
}

// transfer is a fetch that counts until the time at which it is expected to end.
// The actual end is not known: only the first token of the response shows that
// the fetch has ended, and it arrives later.
type transfer struct {
	tokens int
	until  time.Time
}

// recordFetch records a fetch of a number of tokens that starts at now and is expected
// to take the given time.
func (s *source) recordFetch(tokens int, took time.Duration, now time.Time) {
	s.transfers = append(s.transfers, transfer{tokens: tokens, until: now.Add(took)})
}

// fetchingTokens returns the number of tokens that this instance's requests are
// fetching at now. It drops the transfers that are expected to have ended.
func (s *source) fetchingTokens(now time.Time) int {
	if len(s.transfers) == 0 {
		return 0
	}
	tokens := 0
	s.transfers = slices.DeleteFunc(s.transfers, func(t transfer) bool { return !now.Before(t.until) })
	for _, t := range s.transfers {
		tokens += t.tokens
	}
	return tokens
}

// source returns the state of an address, which it creates if necessary.
func (e *Endpoints) source(address string) *source {
	s := e.sources[address]
	if s == nil {
		s = &source{addressHash: place.Hash(address)}
		e.sources[address] = s
	}
	return s
}

// fetchEstimate is the expected cost of fetching a part from an address, in prefill
// tokens.
type fetchEstimate struct {
	address      string  // empty if it can't be fetched
	weights      int64   // version of the weights that the source, an engine, is known to have; 0 for a store
	dataCentre   string  // of the source
	fixedCost    float64 // part of the cost that does not depend on the destination
	transferCost float64 // rest of the cost, for a destination in the source's data centre
}

// costAt returns the cost, in prefill tokens, for an endpoint in a data centre.
func (f fetchEstimate) costAt(dataCentre string) int {
	if dataCentre != f.dataCentre {
		return int(f.fixedCost + remoteTransferFactor*f.transferCost)
	}
	return int(f.fixedCost + f.transferCost)
}

// estimateFetch returns the cost of fetching a number of tokens from the address,
// whose link takes linkCost for a token. The cost includes waiting for the
// fetches from the address that have already started; others is the load of the other
// instances there. fixed is the cost of the fetch in addition to the transfer, in prefill
// tokens.
//
// Load pattern: transfers from one address run one after another. When many
// sessions return at the same time, the last fetch waits for all others, although
// an engine could prefill the part sooner.
func (s *source) estimateFetch(address, dataCentre string, others peers.Load, fixed, linkCost float64, rates *transferRates, tokens int, now time.Time) fetchEstimate {
	slowdown := s.slowness.Slowness(now)
	queuedTokens := float64(s.fetchingTokens(now) + others.PendingTokens)
	return fetchEstimate{
		address: address, dataCentre: dataCentre,
		fixedCost: slowdown * (fixed + linkCost*queuedTokens),
		// The engine's own link bounds the transfer as well.
		transferCost: slowdown * max(linkCost, rates.engineCost) * float64(tokens),
	}
}

// estimateStoreFetch returns the cost of fetching a number of tokens from a store.
func (e *Endpoints) estimateStoreFetch(s *fleet.CacheStore, rates transferRates, tokens int, now time.Time) fetchEstimate {
	from := e.source(s.Address)
	return from.estimateFetch(s.Address, s.DataCentre, e.otherLoads.Load(from.addressHash),
		s.FirstByte.Seconds()*rates.prefill.TokensPerSecond(), rates.costPerToken(s.LinkMbps), &rates, tokens, now)
}

// estimateFetch returns the cost of fetching a number of tokens from the endpoint, an engine
// whose source is set.
func (e *endpoint) estimateFetch(rates *transferRates, tokens int, now time.Time) fetchEstimate {
	return e.source.estimateFetch(e.address, e.spec.DataCentre, *e.otherFetches, engineFixedCost, rates.engineCost, rates, tokens, now)
}

// fetchCost returns the same cost for an endpoint in its data centre.
func (e *endpoint) fetchCost(rates *transferRates, tokens int, now time.Time) float64 {
	queued := e.source.fetchingTokens(now) + e.otherFetches.PendingTokens + tokens
	return e.source.slowness.Slowness(now) * (engineFixedCost + rates.engineCost*float64(queued))
}

// fetchesLate reports whether fetches from an address have lately been late, as several
// instances found, and none was in time.
//
// Load pattern: the link of a cache store turns slow. If each instance learned that for
// itself, each would have some requests wait in vain.
func (e *Endpoints) fetchesLate(address string, now time.Time) bool {
	s := e.source(address)
	others := e.otherLoads.Load(s.addressHash)
	return s.isDark(others.Reached, others.Unreachable, now)
}

// isDark reports the same of a source, given how many other instances found fetches from it
// in time and late.
func (s *source) isDark(inTime, late int, now time.Time) bool {
	if !place.IsDark(0, late+1) {
		return false // whatever this instance found
	}
	own := s.findings(now)
	return place.IsDark(inTime+own.Reached, late+own.Unreachable)
}

// findings returns whether this instance's latest fetches from the address were in time,
// as an address that was reached or was not.
func (s *source) findings(now time.Time) (l peers.Load) {
	if s.isInTime(now) {
		l.Reached = 1
	}
	if s.isLate(now) {
		l.Unreachable = 1
	}
	return l
}

// addFetchLoads adds to loads the tokens that this instance's requests are
// fetching, as pending tokens of the source's address, and the findings about it.
func (e *Endpoints) addFetchLoads(loads map[uint64]peers.Load, now time.Time) {
	for _, s := range e.sources {
		l := s.findings(now)
		l.PendingTokens = s.fetchingTokens(now)
		if l != (peers.Load{}) {
			l.Add(loads[s.addressHash])
			loads[s.addressHash] = l
		}
	}
}
