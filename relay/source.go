package relay

import (
	"slices"
	"time"

	"redwingknot/fleet"
	"redwingknot/peers"
	"redwingknot/place"
)

const (
	// readRate is how many tokens an engine reads in a second; it turns times into
	// tokens read.
	readRate = 1e5
	// fetchRate is how long fetching a token takes in tokens read, where the
	// links' bandwidths are not told: they carry a token in about a quarter of
	// the time that reading it takes.
	fetchRate = 0.25
	// engineBase stands for the chance that an engine has dropped a part: about a
	// third of what reading a large one takes.
	engineBase = 3000
	// crossing is how many times as long a transfer between data centres takes.
	crossing = 2
)

// links tells how long transfers of kept cache take.
type links struct {
	tokenBits float64
	mbps      float64 // of an engine
}

// linksOf returns the links of a service's engines.
func linksOf(s *fleet.Service) links {
	if s == nil || s.Engine == nil {
		return links{}
	}
	const bitsPerByte = 8
	return links{tokenBits: bitsPerByte * s.Engine.BytesPerToken, mbps: s.Engine.LinkMbps}
}

// rate is how long a token takes over a link, in tokens read.
func (l links) rate(mbps float64) float64 {
	if l.tokenBits == 0 || mbps == 0 {
		return fetchRate
	}
	const megabit = 1e6
	return l.tokenBits / (mbps * megabit) * readRate
}

// source is an address that parts of prompts are fetched from. Its fields are
// owned by the Endpoints' mutex.
type source struct {
	hash      uint64
	pace      place.Pace // of what is fetched there
	transfers []transfer // that this instance's requests began
}

// transfer is a fetch until the moment at which it should have ended. When it
// did shows only in the answer's first token, which comes later.
type transfer struct {
	tokens int
	until  time.Time
}

// begin records a fetch that takes as long as reading so many tokens.
func (s *source) begin(tokens, cost int, now time.Time) {
	took := time.Duration(float64(cost) / readRate * float64(time.Second))
	s.transfers = append(s.transfers, transfer{tokens: tokens, until: now.Add(took)})
}

// queue returns the tokens that this instance's requests are fetching at now.
func (s *source) queue(now time.Time) int {
	tokens := 0
	s.transfers = slices.DeleteFunc(s.transfers, func(t transfer) bool { return !now.Before(t.until) })
	for _, t := range s.transfers {
		tokens += t.tokens
	}
	return tokens
}

// source returns the state of an address.
func (e *Endpoints) source(address string) *source {
	s := e.sources[address]
	if s == nil {
		s = &source{hash: place.Hash(address)}
		e.sources[address] = s
	}
	return s
}

// supply is what a fetch of a part costs, in tokens read.
type supply struct {
	address    string  // empty if it can't be fetched
	dataCentre string  // of the source
	fixed      float64 // wherever it goes
	transfer   float64 // within the data centre
}

// at is the cost at an endpoint's place.
func (s supply) at(dataCentre string) int {
	if dataCentre != s.dataCentre {
		return int(s.fixed + crossing*s.transfer)
	}
	return int(s.fixed + s.transfer)
}

// quote returns the cost of fetching tokens from an address over a link of a
// bandwidth, behind what is being fetched there already.
//
// Load pattern: transfers from one place run one after another. When many
// sessions return at once, what is fetched last waits for all others, while
// engines could read it sooner.
func (e *Endpoints) quote(address, dataCentre string, base float64, l links, mbps float64, tokens int, now time.Time) supply {
	s := e.source(address)
	slow := s.pace.Slowness(now)
	queue := float64(s.queue(now) + e.others.Others(s.hash).Pending)
	return supply{
		address: address, dataCentre: dataCentre,
		fixed: slow * (base + l.rate(mbps)*queue),
		// The engine's own link bounds the transfer as well.
		transfer: slow * max(l.rate(mbps), l.rate(l.mbps)) * float64(tokens),
	}
}

// quoteStore is quote for a store.
func (e *Endpoints) quoteStore(s *fleet.CacheStore, l links, tokens int, now time.Time) supply {
	return e.quote(s.Address, s.DataCentre, s.FirstByte.Seconds()*readRate, l, s.LinkMbps, tokens, now)
}

// quoteEngine is quote for an engine.
func (e *Endpoints) quoteEngine(ep *endpoint, l links, tokens int, now time.Time) supply {
	return e.quote(ep.spec.Address, ep.spec.DataCentre, engineBase, l, l.mbps, tokens, now)
}

// fetchLoads adds what this instance fetches to its loads.
func (e *Endpoints) fetchLoads(loads map[uint64]peers.Load, now time.Time) {
	for _, s := range e.sources {
		if tokens := s.queue(now); tokens > 0 {
			l := loads[s.hash]
			l.Pending += tokens
			loads[s.hash] = l
		}
	}
}
