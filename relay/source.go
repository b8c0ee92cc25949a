package relay

import (
	"time"

	"redwingknot/peers"
	"redwingknot/place"
)

const (
	// fetchRate is how long fetching a token takes in tokens read: links carry a
	// token in about a quarter of the time that reading it takes.
	fetchRate = 0.25
	// fetchBase is the fixed part of a fetch from a store, some 6 ms.
	fetchBase = 600
	// engineBase stands for the chance that an engine has dropped a part: about a
	// third of what reading a large one takes.
	engineBase = 3000
	// crossing is how many times as long a transfer between data centres takes.
	crossing = 2
)

// source is an address that parts of prompts are fetched from. Its fields are
// owned by the Endpoints' mutex.
type source struct {
	hash uint64
	pace place.Pace // of what is fetched there
	own  int        // tokens that this instance's requests are fetching
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
func (s *supply) at(dataCentre string) int {
	if dataCentre != s.dataCentre {
		return int(s.fixed + crossing*s.transfer)
	}
	return int(s.fixed + s.transfer)
}

// quote returns the cost of fetching tokens from an address.
//
// Load pattern: transfers from one place run one after another. When many
// sessions return at once, what is fetched last waits for all others, while
// engines could read it sooner.
func (e *Endpoints) quote(address, dataCentre string, base float64, tokens int, now time.Time) supply {
	s := e.source(address)
	slow := s.pace.Slow(now)
	queue := s.own + e.others.Others(s.hash).Pending
	return supply{
		address: address, dataCentre: dataCentre,
		fixed:    slow * (base + fetchRate*float64(queue)),
		transfer: slow * fetchRate * float64(tokens),
	}
}

// fetchLoads adds what this instance fetches to its loads.
func (e *Endpoints) fetchLoads(loads map[uint64]peers.Load) {
	for _, s := range e.sources {
		if s.own > 0 {
			loads[s.hash] = peers.Load{Pending: s.own}
		}
	}
}
