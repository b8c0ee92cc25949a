package relay

import (
	"strconv"

	"redwingknot/fleet"
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

// planCache sets in d the addresses that the shared parts of the prompt are
// fetched from and saved to.
func (c *callerRequest) planCache(p *pick, d *Dispatch) {
	cache := c.server.opts.Cache
	c.cachePlan, c.fetches, c.saves = p.cachePlan(), "", ""
	if cache == nil || len(p.parts) == 0 {
		return
	}
	now := c.server.opts.Now()
	if p.fetchAddresses != nil {
		d.FetchAddresses, d.FetchUntil = p.fetchAddresses, cache.FetchDeadline(now)
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
