package relay

import (
	"time"

	"redwingknot/fleet"
	"redwingknot/metric"
	"redwingknot/peers"
	"redwingknot/place"
	"redwingknot/promptcache"
	"redwingknot/upstream"
)

// endpoint is what this instance knows and keeps of one incarnation. Its fields
// are owned by the Endpoints' mutex; the pool has its own.
type endpoint struct {
	spec     *fleet.Endpoint
	hash     uint64
	pool     *upstream.Pool
	own      peers.Load // this instance's work there
	resident *promptcache.ResidentParts
	health   place.Health
	pace     place.Pace
	weights  map[string]int64 // newest version of each model seen in answers
	loading  map[string]time.Time
	gone     bool // another incarnation answers at its address
}

func newEndpoint(spec *fleet.Endpoint, limit, cacheTokens int) *endpoint {
	opened := metric.Counter("endpoint_connections_opened_total", "service", spec.Service)
	return &endpoint{
		spec: spec, hash: place.Hash(spec.ID), weights: map[string]int64{}, loading: map[string]time.Time{},
		resident: promptcache.NewResidentParts(int(residentShare * float64(cacheTokens))),
		pool:     upstream.NewPool(spec.Address, limit, func() { opened.Inc(1) }),
	}
}

// version returns the newest version of a model's weights known to be loaded.
func (e *endpoint) version(model string) int64 {
	return max(e.spec.WeightVersions[model], e.weights[model])
}

// sawVersion records a version that an answer told.
func (e *endpoint) sawVersion(model string, v int64) {
	if v > e.weights[model] {
		e.weights[model] = v
	}
}

// hasOther records that an endpoint does not have the version that was asked of
// it. If it does not tell its own, it has loaded the wanted one; unless that was
// asked for, then it still has the one of its entry.
func (e *endpoint) hasOther(model string, asked, told, wanted int64, now time.Time) {
	switch {
	case told > 0:
		e.weights[model] = told
	case asked < wanted:
		e.weights[model] = wanted
	default:
		delete(e.weights, model)
		e.loading[model] = now.Add(swapPause)
	}
}
