package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"redwingknot/endpoint"
	"redwingknot/instance"
	"redwingknot/internal/timer"
	"redwingknot/metastore"
)

// purposeList labels the calls that read the platform's lists.
const purposeList metastore.Purpose = "list"

// The range of keys and the key prefix under which the platform publishes its lists.
// Each key holds one JSON object.
const (
	instanceKeysStart = "list/instance/"
	instanceKeysEnd   = "list/instance0"
	endpointKeyPrefix = "list/endpoint/"
)

// platformLists reads the platform's lists of instances and endpoints, which lag behind
// the actual state. While the platform can't be reached, the last list of instances is
// kept. It is safe for concurrent use.
type platformLists struct {
	kv metastore.KV

	mu          sync.Mutex
	instanceIDs []string // of all instances in the last list, reachable or not
}

// readInstances reads the platform's list of instances, returns it and stores the
// identifiers. Entries that can't be decoded or have no identifier are skipped.
func (l *platformLists) readInstances(ctx context.Context) ([]instance.ListedInstance, error) {
	entries, _, err := l.kv.Range(ctx, purposeList, instanceKeysStart, instanceKeysEnd, 0)
	if err != nil {
		return nil, errors.Wrap(err, "read the instance list")
	}
	list := make([]instance.ListedInstance, 0, len(entries))
	ids := make([]string, 0, len(entries))
	for _, e := range entries {
		var item instance.ListedInstance
		if json.Unmarshal(e.Value, &item) != nil || item.ID == "" {
			continue
		}
		list = append(list, item)
		ids = append(ids, item.ID)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instanceIDs = ids
	return list, nil
}

// Times of the reads of the platform's list of instances, among which the limits of teams
// are divided. After each read, run waits for instanceListInterval plus a random time of up
// to the same length. An instance may start while the platform can't be reached. Therefore,
// as long as no instance has been listed, run divides the wait after each of the first
// fastReads reads by fastReadDivisor.
const (
	instanceListInterval = 30 * time.Second
	fastReads            = 4
	fastReadDivisor      = 10
)

// run updates the identifiers of the listed instances until ctx ends. If a read fails,
// the last list is kept.
func (l *platformLists) run(ctx context.Context) error {
	for n := 0; ; n++ {
		_, _ = l.readInstances(ctx)
		wait := instanceListInterval + time.Duration(rand.Int64N(int64(instanceListInterval)))
		if n < fastReads && len(l.listedInstanceIDs()) == 0 {
			wait /= fastReadDivisor
		}
		if !timer.Sleep(ctx, wait) {
			return nil
		}
	}
}

// listedInstanceIDs returns the identifiers of the instances in the last list, or nil
// before the first list was read.
func (l *platformLists) listedInstanceIDs() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.instanceIDs
}

// endpointReader returns a function that reads the platform's list of the endpoints of a
// data centre. Entries that can't be decoded are skipped.
func (l *platformLists) endpointReader(dataCentre string) endpoint.PlatformList {
	return func(ctx context.Context) ([]endpoint.Listed, error) {
		from := endpointKeyPrefix + dataCentre + "/"
		to := endpointKeyPrefix + dataCentre + "0"
		entries, _, err := l.kv.Range(ctx, purposeList, from, to, 0)
		if err != nil {
			return nil, errors.Wrap(err, "read the endpoint list")
		}
		list := make([]endpoint.Listed, 0, len(entries))
		for _, e := range entries {
			var item endpoint.Listed
			if json.Unmarshal(e.Value, &item) == nil {
				list = append(list, item)
			}
		}
		return list, nil
	}
}
