package relay

import (
	"strconv"

	"redwingknot/fleet"
	"redwingknot/promptcache"
)

// partition names the part of the prompt cache that a request may use and add
// to.
func partition(model string, weights int64, team *fleet.Team) string {
	p := promptcache.Partition{Model: model, Weights: weights}
	if team != nil && team.Isolated {
		p.Team = team.Name
	}
	return p.String()
}

func appendLength(dst []byte, n int) []byte {
	dst = append(dst, "Content-Length: "...)
	dst = strconv.AppendInt(dst, int64(n), 10)
	return append(dst, "\r\n"...)
}

// planCache fills in where the shared parts of a prompt are fetched from and
// saved to.
func (q *run) planCache(p *pick, d *Dispatch) {
	cache := q.server.o.Cache
	q.plan = p.describe()
	if cache == nil || len(p.parts) == 0 {
		return
	}
	now := q.server.o.Now()
	if p.fetch != nil {
		d.FetchAddresses, d.FetchUntil = p.fetch, cache.FetchDeadline(now)
	}
	for i := range p.parts {
		to := cache.BeginSave(p.parts[i].wanted, now)
		if to == "" {
			continue
		}
		if d.SaveAddresses == nil {
			d.SaveAddresses = make([]string, len(p.parts)+1)
		}
		d.SaveAddresses[i] = to
	}
}
