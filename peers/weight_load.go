package peers

import (
	"time"

	"redwingknot/metric"
	"redwingknot/peers/peerspb"
)

// LoadPhase is how far a load of weights by an endpoint is.
type LoadPhase uint8

// The phases of a load, in their order.
const (
	LoadPlanned  LoadPhase = 1 + iota // the leader is about to order it
	LoadOrdered                       // the endpoint was ordered to load and takes no new requests
	LoadComplete                      // the endpoint has the weights
)

// WeightLoad is what an instance knows about a load of weights.
type WeightLoad struct {
	Target  uint64 // hash of the endpoint's incarnation
	Model   uint64 // hash of the model's name
	Version int64  // of the weights after the load
	Phase   LoadPhase
	Since   time.Time // when the phase began
}

// Supersedes reports whether w is later word of the same load than other, or of a load of
// newer weights.
func (w *WeightLoad) Supersedes(other *WeightLoad) bool {
	if w.Version != other.Version {
		return w.Version > other.Version
	}
	return w.Phase > other.Phase
}

// WeightLoadSource supplies what this instance knows about loads of weights, and receives
// what others know.
type WeightLoadSource interface {
	// WeightLoads returns the loads of which other instances may not have heard yet.
	WeightLoads() []WeightLoad
	// RecordWeightLoads records what another instance knows.
	RecordWeightLoads([]WeightLoad)
}

// loadKey identifies a model at an incarnation of an endpoint.
type loadKey struct{ target, model uint64 }

// sentLoad is what a peer was last told about a load.
type sentLoad struct {
	version int64
	phase   LoadPhase
	sentAt  int64 // time in the stamp of the report
}

// addWeightLoads adds to a report that has its stamps the loads that p is not known to have
// heard of.
func (e *Exchange) addWeightLoads(r *peerspb.Report, p *peer) {
	if e.opts.WeightLoads == nil || p == nil {
		return
	}
	builtAt := time.Unix(0, r.Built.Time)
	for _, w := range e.opts.WeightLoads.WeightLoads() {
		if !p.needsWeightLoad(w, e.process, r.Built.Time) {
			continue
		}
		r.WeightLoads = append(r.WeightLoads, &peerspb.WeightLoad{
			Target: w.Target, Model: w.Model, Version: w.Version, Phase: uint32(w.Phase), Age: int64(max(builtAt.Sub(w.Since), 0)),
		})
	}
}

// maxLoadsSent bounds the memory for loads of endpoints that are gone. When it is reached,
// all loads are reported once more.
const maxLoadsSent = 4096

// needsWeightLoad reports whether a load is to be in a report to the peer by the given
// process, and records it as reported at sentAt if so.
func (p *peer) needsWeightLoad(w WeightLoad, process uint64, sentAt int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := loadKey{w.Target, w.Model}
	sent, known := p.loadsSent[key]
	received := known && p.echo.GetProcess() == process && p.echo.GetTime() >= sent.sentAt
	if received && sent.version == w.Version && sent.phase == w.Phase {
		return false
	}
	if p.loadsSent == nil || len(p.loadsSent) >= maxLoadsSent {
		p.loadsSent = map[loadKey]sentLoad{}
	}
	p.loadsSent[key] = sentLoad{version: w.Version, phase: w.Phase, sentAt: sentAt}
	return true
}

// applyWeightLoads records the loads of another instance's report. The time that the report
// took is not known, so a phase seems younger by that.
func (e *Exchange) applyWeightLoads(r *peerspb.Report) {
	if e.opts.WeightLoads == nil || len(r.WeightLoads) == 0 {
		return
	}
	now := e.opts.Now()
	var list []WeightLoad
	for _, w := range r.WeightLoads {
		phase := LoadPhase(min(w.Phase, uint32(LoadComplete)+1))
		if phase < LoadPlanned || phase > LoadComplete || w.Version <= 0 {
			metric.Counter("peer_weight_loads_invalid_total").Inc(1)
			continue
		}
		list = append(list, WeightLoad{
			Target: w.Target, Model: w.Model, Version: w.Version, Phase: phase, Since: now.Add(-time.Duration(max(w.Age, 0))),
		})
	}
	e.opts.WeightLoads.RecordWeightLoads(list)
}
