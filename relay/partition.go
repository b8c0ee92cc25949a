package relay

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"redwingknot/fleet"
	"redwingknot/metric"
	"redwingknot/promptcache"
)

// partitionName returns the name of the prompt cache partition that a request
// may read from and add to. Isolated teams have partitions of their own.
func partitionName(model string, weights int64, team *fleet.Team) string {
	p := promptcache.Partition{Model: model, Weights: weights}
	if team != nil && team.Isolated {
		p.Team = team.Name
	}
	return p.String()
}

func appendContentLength(dst []byte, n int) []byte {
	dst = append(dst, "Content-Length: "...)
	dst = strconv.AppendInt(dst, int64(n), 10)
	return append(dst, "\r\n"...)
}

// mayFetch reports whether parts of prompts that were made under a version of a model's weights may
// be fetched: no newer version can have been set more than promptcache.MaxVersionAge ago, so that no
// endpoint loads one before the fetch has ended. The caller holds mu.
func (e *Endpoints) mayFetch(model string, version int64, now time.Time) bool {
	confirmedAge := e.view.ConfirmedAge(now)
	// The snapshot is taken after the age, so that it holds all that was confirmed.
	since, outdated := e.view.Snapshot().OutdatedSince(model, version)
	switch {
	case e.cache == nil:
		return false
	case e.cache.ClockMillis(now) == 0:
		e.withheld.clock.Inc(1) // without the endpoints' clock, a fetch has no time limit
	case outdated && now.Sub(since) > promptcache.MaxVersionAge:
		e.withheld.outdated.Inc(1)
	case !outdated && confirmedAge > promptcache.MaxVersionAge:
		e.withheld.unconfirmed.Inc(1)
	default:
		return true
	}
	return false
}

// withheldFetches counts, by reason, the versions of weights whose parts could not be fetched, once
// for each choice of an engine among whose candidates one has the version.
type withheldFetches struct{ clock, outdated, unconfirmed metrics.Counter }

func newWithheldFetches() withheldFetches {
	counter := func(reason string) metrics.Counter {
		return metric.Counter("cache_fetches_withheld_total", "reason", reason)
	}
	return withheldFetches{clock: counter("clock"), outdated: counter("outdated"), unconfirmed: counter("unconfirmed")}
}

// planCache sets in d the addresses that the shared parts of the prompt are
// fetched from and saved to.
func (c *callerRequest) planCache(p *pick, d *Dispatch) {
	cache := c.server.opts.Cache
	c.cachePlan, c.fetches, c.saves = p.cachePlan(), "", ""
	if cache == nil || len(p.parts) == 0 {
		return
	}
	now := c.server.opts.Now()
	if until := cache.FetchDeadline(p.decidedAt); p.fetchAddresses != nil && until != 0 {
		d.FetchAddresses, d.FetchUntil = p.fetchAddresses, until
	}
	for i := range p.parts {
		to := cache.BeginSave(p.parts[i].sized, now)
		if to == "" {
			continue
		}
		if d.SaveAddresses == nil {
			d.SaveAddresses = make([]string, len(p.parts)+1)
		}
		d.SaveAddresses[i] = to
	}
	if d.FetchAddresses != nil {
		c.fetches = p.transfers(d.FetchAddresses)
	}
	if d.SaveAddresses != nil {
		c.saves = p.transfers(d.SaveAddresses)
	}
}
