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
func (q *run) planCache(d *Dispatch) {
	parts := q.call.Prompt.Parts
	if len(parts) < 2 || q.server.o.Cache == nil {
		return
	}
	wanted := make([]promptcache.Wanted, len(parts)-1)
	for i := range wanted {
		wanted[i] = promptcache.Wanted{
			Part:   promptcache.Part{Partition: d.Partition, ID: parts[i].ID},
			Tokens: parts[i].Tokens,
		}
	}
	plan := q.server.o.Cache.Plan(wanted, q.server.o.Now())
	q.fetches = 0
	for _, from := range plan.Fetch {
		if from != "" {
			q.fetches++
		}
	}
	if plan.Fetch != nil {
		d.Fetch, d.FetchUntil = append(plan.Fetch, ""), plan.Until
	}
	if plan.Save != nil {
		d.Save = append(plan.Save, "")
	}
}
