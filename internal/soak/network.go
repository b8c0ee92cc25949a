package soak

import (
	"bytes"
	"sync"

	"redwingknot/internal/standin/fleetwire"
)

// network holds the faults of the paths from each gateway to all endpoints. It is safe for
// concurrent use.
type network struct {
	mu     sync.Mutex
	faults []LinkFault // by gateway
}

func newNetwork(gateways int) *network { return &network{faults: make([]LinkFault, gateways)} }

// newLinks returns a link to an endpoint for each gateway, with the faults in force. It takes
// over the given links if there are any.
func (n *network) newLinks(target string, links []*Link) ([]*Link, error) {
	n.mu.Lock()
	faults := append([]LinkFault(nil), n.faults...)
	n.mu.Unlock()
	for n, f := range faults {
		if n == len(links) {
			l, err := NewLink(target)
			if err != nil {
				return links, err
			}
			links = append(links, l)
		}
		links[n].setTarget(target)
		if err := links[n].SetFault(f); err != nil {
			return links, err
		}
	}
	return links, nil
}

// setFault sets the fault of the paths from a gateway to endpoints that start later.
func (n *network) setFault(gateway int, f LinkFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[gateway] = f
}

// partitioned reports whether a gateway is partitioned from all endpoints.
func (n *network) partitioned(gateway int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.faults[gateway] != LinkFault{}
}

// addressesFor returns the function that rewrites endpoints' entries so that a gateway finds
// them at its own links.
func (r *run) addressesFor(gateway int) func(key string, value []byte) []byte {
	return func(key string, value []byte) []byte {
		for _, e := range r.allEndpoints() {
			for _, i := range e.incarnations() {
				if key == fleetwire.EndpointKey(i.id) {
					return bytes.ReplaceAll(value, []byte(i.links[0].Addr()), []byte(i.links[gateway].Addr()))
				}
			}
		}
		return value
	}
}

// partitionFaults holds the fault of each kind of partition.
var partitionFaults = map[StepKind]LinkFault{
	PartitionHangs:   {HoldToTarget: true, HoldToDialer: true, NewConns: ConnsHang},
	PartitionResets:  {NewConns: ConnsRefused},
	PartitionRefuses: {NewConns: ConnsRefused},
}

// partition cuts a gateway off from all endpoints until waitEnd returns. Callers, the store
// and other gateways still reach it.
func (r *run) partition(gateway int, kind StepKind, waitEnd func()) {
	if r.network.partitioned(gateway) {
		return
	}
	end := r.gateways[gateway].beginPartition()
	defer end()
	r.setPaths(gateway, partitionFaults[kind], kind == PartitionResets)
	waitEnd()
	r.setPaths(gateway, LinkFault{}, false)
}

// setPaths sets the fault of the paths from a gateway to all endpoints, and resets the open
// connections if reset is set.
func (r *run) setPaths(gateway int, f LinkFault, reset bool) {
	r.network.setFault(gateway, f)
	for _, e := range r.allEndpoints() {
		i := e.running()
		if i == nil {
			continue
		}
		if err := i.links[gateway].SetFault(f); err != nil {
			r.recordViolation(NoRecovery, "a link could not be set up: %v", err)
		}
		if reset {
			i.links[gateway].Reset()
		}
	}
}
