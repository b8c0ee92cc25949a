package relay

import (
	"time"

	"redwingknot/fleet"
	"redwingknot/peers"
	"redwingknot/place"
)

const (
	// plannedLoadTime is how long an endpoint gets no requests for a model because a load is
	// planned. The leader orders it sooner; if it loses the lease, the endpoint is used again.
	plannedLoadTime = 1500 * time.Millisecond
	// orderedLoadTime is the same for a load that was ordered. It is the time after which the
	// leader repeats an order.
	orderedLoadTime = 3 * time.Second
	// toldLoadTime is how long a load is passed on to other instances. Reports reach all of
	// them sooner.
	toldLoadTime = 5 * time.Second
)

// weightLoadKey identifies a model at an incarnation of an endpoint, by their hashes.
type weightLoadKey struct{ incarnation, model uint64 }

// RecordWeightLoad records how far a load of weights is that this instance, the leader, has
// planned or ordered.
func (e *Endpoints) RecordWeightLoad(endpoint *fleet.Endpoint, model string, version int64, phase peers.LoadPhase) {
	e.RecordWeightLoads([]peers.WeightLoad{{
		Target: incarnationHash(endpoint.Key()), Model: place.Hash(model), Version: version, Phase: phase, Since: e.now(),
	}})
}

// RecordWeightLoads implements peers.WeightLoadSource.
//
// Load pattern: new weights are named at the peak of the demand. If each instance learns by
// refusals which engines are loading and which have loaded, a thousand requests are refused
// in a few seconds, and requests go on to the engines that load next, whose streams are then
// worth nothing.
func (e *Endpoints) RecordWeightLoads(list []peers.WeightLoad) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, w := range list {
		key := weightLoadKey{w.Target, w.Model}
		if known, ok := e.weightLoads[key]; !ok || w.Supersedes(&known) {
			e.weightLoads[key] = w
		}
	}
	if len(list) > 0 {
		e.applyCompleteLoads()
	}
}

// WeightLoads implements peers.WeightLoadSource. It forgets the loads that all have heard of.
func (e *Endpoints) WeightLoads() []peers.WeightLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.weightLoads) == 0 {
		return nil
	}
	now := e.now()
	list := make([]peers.WeightLoad, 0, len(e.weightLoads))
	for key, w := range e.weightLoads {
		if now.Sub(w.Since) > toldLoadTime {
			delete(e.weightLoads, key)
			continue
		}
		list = append(list, w)
	}
	return list
}

// applyCompleteLoads records the versions of complete loads. The caller holds mu.
func (e *Endpoints) applyCompleteLoads() {
	for _, ep := range e.byKey {
		for model := range ep.spec.WeightVersions {
			w, known := e.weightLoads[weightLoadKey{ep.incarnationHash, place.Hash(model)}]
			if known && w.Phase == peers.LoadComplete {
				ep.recordVersion(model, w.Version)
			}
		}
	}
}

// isLoading reports whether an endpoint, which has a version of a model's weights, is loading
// newer ones or about to. The caller holds mu.
func (e *Endpoints) isLoading(ep *endpoint, model string, version int64, now time.Time) bool {
	if len(e.weightLoads) == 0 {
		return false
	}
	w, known := e.weightLoads[weightLoadKey{ep.incarnationHash, place.Hash(model)}]
	if !known || w.Version <= version {
		return false
	}
	switch w.Phase {
	case peers.LoadPlanned:
		return now.Sub(w.Since) < plannedLoadTime
	case peers.LoadOrdered:
		return now.Sub(w.Since) < orderedLoadTime
	default:
		return false
	}
}

// RunningAt returns the number of requests of all instances at an endpoint.
func (e *Endpoints) RunningAt(key fleet.EndpointKey) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	ep := e.byKey[key]
	if ep == nil {
		return 0
	}
	e.readOtherLoads(ep.spec.Service)
	return e.totalLoad(ep).Running
}
