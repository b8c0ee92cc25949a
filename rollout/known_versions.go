package rollout

import (
	"slices"
	"time"

	"redwingknot/fleet"
)

// KnownVersions records since when this instance has known the wanted versions of the models'
// weights. It is not safe for concurrent use.
type KnownVersions struct {
	byModel map[string][]knownVersion // by ascending version
}

// knownVersion is a version of a model's weights and the time since which it is known.
type knownVersion struct {
	version int64
	since   time.Time
}

// NewKnownVersions returns a KnownVersions that knows no version.
func NewKnownVersions() *KnownVersions {
	return &KnownVersions{byModel: map[string][]knownVersion{}}
}

// maxKnownVersions bounds the versions of a model that are kept while Loadable is not called. It is
// more than are set within its delay.
const maxKnownVersions = 16

// Observe records that the versions that s wants are known at now.
func (k *KnownVersions) Observe(s *fleet.Snapshot, now time.Time) {
	for model, version := range s.WantedWeights {
		versions := k.byModel[model]
		if len(versions) == 0 || versions[len(versions)-1].version < version {
			versions = append(versions, knownVersion{version: version, since: now})
			k.byModel[model] = versions[max(len(versions)-maxKnownVersions, 0):]
		}
	}
}

// Loadable returns s as it is, but with the newest version of each model that has been known for
// delay at now as the wanted one. It forgets the versions that are older than these.
//
// Load pattern: new weights are set faster than delay passes. Endpoints load those whose delay has
// passed, so that they never wait for a version that is replaced before.
func (k *KnownVersions) Loadable(s *fleet.Snapshot, delay time.Duration, now time.Time) *fleet.Snapshot {
	k.Observe(s, now)
	loadable := *s
	loadable.WantedWeights = make(map[string]int64, len(s.WantedWeights))
	for model, versions := range k.byModel {
		newest := -1
		for i, v := range versions {
			if now.Sub(v.since) >= delay {
				newest = i
			}
		}
		if newest >= 0 {
			loadable.WantedWeights[model] = versions[newest].version
			k.byModel[model] = slices.Delete(versions, 0, newest)
		}
	}
	return &loadable
}
