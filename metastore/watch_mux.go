package metastore

import (
	"context"
	"sync"

	"redwingknot/metric"
)

// PurposeWatch labels the one watch of a WatchMux at the key-value service.
const PurposeWatch Purpose = "watch"

const (
	// firstKey and lastKey are the bounds of a range that contains all keys.
	firstKey, lastKey = "", "\xff"
	// muxReplayChanges is the number of recent changes that a WatchMux keeps for
	// watches that start at a revision shortly before them.
	muxReplayChanges = 512
	// muxSubscriberBuffer is the number of changes that may wait for the receiver of
	// one watch.
	muxSubscriberBuffer = 1024
)

// WatchMux is a KV that serves all watches of a process from one watch of the
// key-value service, which covers all keys. Other calls go to the embedded KV.
//
// Load pattern: hundreds of instances that each watch several ranges. The service
// counts every poll of a watch as a call, whatever its range.
//
// It is safe for concurrent use.
type WatchMux struct {
	KV

	mu          sync.Mutex
	subscribers map[*muxSubscriber]bool
	source      *muxSource // the shared watch, nil if there is none
}

// muxSource is one run of the shared watch. Its fields are guarded by the mutex of
// WatchMux.
type muxSource struct {
	cancel   context.CancelFunc
	startsAt int64    // changes after this revision are in recent or still to come
	recent   []Change // the latest changes, in the order of their arrival
}

// muxSubscriber is one watch served by a WatchMux.
type muxSubscriber struct {
	purpose  Purpose
	from, to string
	revision int64 // only later changes are passed on
	changes  chan Change
}

// NewWatchMux returns a WatchMux in front of kv, whose Watch must return without waiting
// for the service: it is called while the other watches are held up.
func NewWatchMux(kv KV) *WatchMux {
	return &WatchMux{KV: kv, subscribers: map[*muxSubscriber]bool{}}
}

// Watch implements KV. The channel is also closed when its receiver falls far
// behind. When another watch starts at an earlier revision, changes may come a second
// time, in their order; fleet.Mirror keeps the highest revision of each key.
func (m *WatchMux) Watch(ctx context.Context, p Purpose, from, to string, rev int64) (<-chan Change, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &muxSubscriber{purpose: p, from: from, to: to, revision: rev, changes: make(chan Change, muxSubscriberBuffer)}
	if m.source != nil && rev < m.source.startsAt {
		// The other subscribers get the changes since rev a second time.
		m.source.cancel()
		m.source = nil
	}
	if m.source == nil {
		if err := m.startSource(rev); err != nil {
			m.closeAll()
			return nil, err
		}
	}
	m.subscribers[s] = true
	for _, c := range m.source.recent {
		m.deliver(s, c)
	}
	context.AfterFunc(ctx, func() { m.unsubscribe(s) })
	return s.changes, nil
}

// startSource starts the shared watch at a revision. The caller holds mu.
func (m *WatchMux) startSource(rev int64) error {
	ctx, cancel := context.WithCancel(context.Background())
	changes, err := m.KV.Watch(ctx, PurposeWatch, firstKey, lastKey, rev)
	if err != nil {
		cancel()
		return err
	}
	source := &muxSource{cancel: cancel, startsAt: rev}
	m.source = source
	go m.forward(source, changes)
	return nil
}

// forward passes on the changes of the shared watch until it ends, and then closes
// the subscribers' channels. It stops early if another source has replaced it.
func (m *WatchMux) forward(source *muxSource, changes <-chan Change) {
	defer source.cancel()
	for c := range changes {
		if !m.forwardOne(source, c) {
			return
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.source == source {
		m.closeAll()
	}
}

// forwardOne passes on one change. It reports false if source is no longer in use.
func (m *WatchMux) forwardOne(source *muxSource, c Change) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.source != source {
		return false
	}
	source.record(c)
	for s := range m.subscribers {
		m.deliver(s, c)
	}
	return true
}

// record adds a change to the recent ones. Of a write of several keys, which have
// the same revision, it drops either all changes or none.
func (s *muxSource) record(c Change) {
	s.recent = append(s.recent, c)
	for len(s.recent) > muxReplayChanges || len(s.recent) > 0 && s.recent[0].Entry.ModRevision <= s.startsAt {
		s.startsAt = max(s.startsAt, s.recent[0].Entry.ModRevision)
		s.recent = s.recent[1:]
	}
}

// deliver passes a change to a subscriber whose range contains it. A subscriber whose
// buffer is full is closed. The caller holds mu.
func (m *WatchMux) deliver(s *muxSubscriber, c Change) {
	if !m.subscribers[s] || c.Entry.ModRevision <= s.revision || c.Entry.Key < s.from || c.Entry.Key >= s.to {
		return
	}
	select {
	case s.changes <- c:
		metric.Counter("metastore_changes_received_total", "purpose", string(s.purpose)).Inc(1)
	default:
		m.remove(s)
	}
}

// unsubscribe ends one watch, and the shared watch with the last one.
func (m *WatchMux) unsubscribe(s *muxSubscriber) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.remove(s)
	if len(m.subscribers) == 0 && m.source != nil {
		m.source.cancel()
		m.source = nil
	}
}

// remove closes a subscriber's channel. A subscriber that is already removed changes
// nothing. The caller holds mu.
func (m *WatchMux) remove(s *muxSubscriber) {
	if m.subscribers[s] {
		delete(m.subscribers, s)
		close(s.changes)
	}
}

// closeAll ends all watches and the shared watch. The caller holds mu.
func (m *WatchMux) closeAll() {
	for s := range m.subscribers {
		m.remove(s)
	}
	if m.source != nil {
		m.source.cancel()
		m.source = nil
	}
}
