package relay

import (
	"redwingknot/fleet"
	"redwingknot/peers"
	"redwingknot/place"
)

// choiceBuffers holds memory that decisions use one after another, so that a decision
// over all engines of a service allocates nothing but its result. Its content is valid
// during one decision only. It is guarded by the mutex of Endpoints.
type choiceBuffers struct {
	untried, tried, leaving, unhealthy []*endpoint
	list                               []*endpoint // endpoints that were chosen from
	candidates                         []place.Candidate
	engines                            []place.Engine
	plans                              []prefillPlan
	versions                           []versionParts
}

// versionParts holds the shared parts of a prompt as they are named with one version of
// the weights.
type versionParts struct {
	version int64
	parts   []sharedPart
}

// resized returns a slice of length n that reuses the memory of buf if that suffices.
func resized[T any](buf []T, n int) []T {
	if cap(buf) < n {
		return make([]T, n)
	}
	return buf[:n]
}

// partsWith returns the parts for a version of the weights, nil if there is no entry for it.
func (b *choiceBuffers) partsWith(version int64) *versionParts {
	for i := range b.versions {
		if b.versions[i].version == version {
			return &b.versions[i]
		}
	}
	return nil
}

// addVersion adds an entry for a version of the weights, without parts. It reuses the
// memory for parts of an entry of an earlier decision.
func (b *choiceBuffers) addVersion(version int64) *versionParts {
	n := len(b.versions)
	if n < cap(b.versions) {
		b.versions = b.versions[:n+1]
	} else {
		b.versions = append(b.versions, versionParts{})
	}
	v := &b.versions[n]
	v.version, v.parts = version, v.parts[:0]
	return v
}

// maxPartitionNames bounds the memory for names of partitions: there is one for each model,
// version of its weights that is in use, and isolated team.
const maxPartitionNames = 256

// partitionKey holds what the name of a partition depends on.
type partitionKey struct {
	model   string
	weights int64
	team    string // empty unless it is isolated
}

// partition is like partitionName, and remembers the names. The caller holds mu.
func (e *Endpoints) partition(model string, weights int64, team *fleet.Team) string {
	key := partitionKey{model: model, weights: weights}
	if team != nil && team.Isolated {
		key.team = team.Name
	}
	name, ok := e.partitions[key]
	if !ok {
		if len(e.partitions) >= maxPartitionNames {
			clear(e.partitions)
		}
		name = partitionName(model, weights, team)
		e.partitions[key] = name
	}
	return name
}

// listedEndpoints holds the endpoints of a service that are listed, with the hashes by which
// other instances report their load and that of fetches from them.
type listedEndpoints struct {
	endpoints []*endpoint
	targets   []uint64     // those of the endpoints, then those of fetches
	loads     []peers.Load // of targets; others and otherFetches of the endpoints point into it
}

// syncListed sets listed from byKey. The caller holds mu.
func (e *Endpoints) syncListed(s *fleet.Snapshot) {
	e.listed = make(map[string]*listedEndpoints, len(s.ByService))
	for service, specs := range s.ByService {
		l := &listedEndpoints{loads: make([]peers.Load, 2*len(specs))}
		for _, spec := range specs {
			ep := e.byKey[spec.Key()]
			l.endpoints = append(l.endpoints, ep)
			l.targets = append(l.targets, ep.idHash)
		}
		for i, ep := range l.endpoints {
			l.targets = append(l.targets, place.Hash(ep.address))
			ep.others, ep.otherFetches = &l.loads[i], &l.loads[len(specs)+i]
		}
		e.listed[service] = l
	}
}

// listedOf returns the endpoints of a service that are listed. The caller holds mu.
func (e *Endpoints) listedOf(service string) []*endpoint {
	if l := e.listed[service]; l != nil {
		return l.endpoints
	}
	return nil
}

// readOtherLoads updates others and otherFetches of the endpoints of a service. The caller holds mu.
func (e *Endpoints) readOtherLoads(service string) {
	l := e.listed[service]
	if l == nil {
		return
	}
	e.otherLoads.Loads(l.targets, l.loads)
}
