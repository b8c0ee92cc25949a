package gateway

import (
	"log/slog"
	"slices"

	"redwingknot/event"
	"redwingknot/fleet"
	"redwingknot/metastore"
)

// evacuationsFirst returns changed entries of the operator such that the keys without which
// no request is served come last. After the first read, no request is then sent to a data
// centre whose evacuation is in the same read as the configuration.
func (g *Gateway) evacuationsFirst(changed []metastore.Entry) []metastore.Entry {
	// Of a snapshot that holds nothing, only the configuration's key has an effect.
	required := g.opts.Schema.OperatorKeys(&fleet.Snapshot{})
	ordered := slices.Clone(changed)
	slices.SortStableFunc(ordered, func(a, b metastore.Entry) int {
		return boolRank(slices.Contains(required, a.Key)) - boolRank(slices.Contains(required, b.Key))
	})
	return ordered
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// expireEvacuations ends the evacuations whose keys were not written again after the metadata
// store had come back from an older copy.
func (g *Gateway) expireEvacuations() {
	for _, dataCentre := range g.view.ExpireEvacuations(g.opts.Relay.Now()) {
		event.EvacuationEnded.Log(g.log, slog.String("dataCentre", dataCentre))
	}
}
