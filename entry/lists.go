package entry

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"

	"redwingknot/endpoint"
	"redwingknot/instance"
	"redwingknot/platform"
)

// purposeList labels the reads of the platform's lists.
const purposeList platform.Purpose = "list"

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
	kv platform.KV

	mu        sync.Mutex
	instances []string // names of all listed, in or out of reach
}

// instanceList returns the listed instances and remembers their names.
func (l *lists) instanceList(ctx context.Context) ([]instance.Listed, error) {
	entries, _, err := l.kv.Range(ctx, purposeList, instanceListFrom, instanceListTo, 0)
	if err != nil {
		return nil, errors.Wrap(err, "instance list")
	}
	list := make([]instance.Listed, 0, len(entries))
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		var item instance.Listed
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
