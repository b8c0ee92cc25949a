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

// purposeList labels the reads of the platform's lists.
const purposeList metastore.Purpose = "list"

// The keys at which the platform publishes its lists, one object a key.
const (
	instanceListFrom = "list/instance/"
	instanceListTo   = "list/instance0"
	endpointListFrom = "list/endpoint/"
)

// lists reads the platform's lagging lists of instances and endpoints. While
// the platform is out of reach the last list stays. It is safe for concurrent
// use.
type lists struct {
	kv metastore.KV

	mu        sync.Mutex
	instances []string // names of all listed, in or out of reach
}

// instanceList returns the listed instances and remembers their names.
func (l *lists) instanceList(ctx context.Context) ([]instance.ListedInstance, error) {
	entries, _, err := l.kv.Range(ctx, purposeList, instanceListFrom, instanceListTo, 0)
	if err != nil {
		return nil, errors.Wrap(err, "instance list")
	}
	list := make([]instance.ListedInstance, 0, len(entries))
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		var item instance.ListedInstance
		if json.Unmarshal(e.Value, &item) != nil || item.ID == "" {
			continue
		}
		list = append(list, item)
		names = append(names, item.ID)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = names
	return list, nil
}

// listInterval is the time between two reads of the platform's list of
// instances, which bounds the limits of teams. The first reads are sooner, in
// case an instance starts while the platform is away.
const (
	listInterval = 30 * time.Second
	quickReads   = 4
	quickDivisor = 10
)

// run keeps the names of the listed instances up to date. A list that can't be
// read stays as it was.
func (l *lists) run(ctx context.Context) error {
	for n := 0; ; n++ {
		_, _ = l.instanceList(ctx)
		wait := listInterval + time.Duration(rand.Int64N(int64(listInterval)))
		if n < quickReads && len(l.names()) == 0 {
			wait /= quickDivisor
		}
		if !timer.Sleep(ctx, wait) {
			return nil
		}
	}
}

// names returns the instances last listed, nil before the first list.
func (l *lists) names() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.instances
}

// endpointList returns the listed endpoints of a data centre.
func (l *lists) endpointList(dataCentre string) endpoint.PlatformList {
	return func(ctx context.Context) ([]endpoint.Listed, error) {
		from := endpointListFrom + dataCentre + "/"
		to := endpointListFrom + dataCentre + "0"
		entries, _, err := l.kv.Range(ctx, purposeList, from, to, 0)
		if err != nil {
			return nil, errors.Wrap(err, "endpoint list")
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
