package gateway

import (
	"sync"
	"time"

	"redwingknot/metastore"
)

// maxFirstReadsWait is the time after its start from which an instance takes callers even if
// a range of the metadata store could not be read. The reads of an instance that starts with
// all others take less than a tenth of it.
const maxFirstReadsWait = 2 * time.Second

// firstReads knows which of the ranges that hold what outlives all instances have been read:
// until then, an instance would run requests that are known to crash endpoints, and refuse
// streams whose origins are saved. It is safe for concurrent use.
type firstReads struct {
	startedAt time.Time

	mu      sync.Mutex
	missing map[metastore.Purpose]bool
}

func newFirstReads(startedAt time.Time) *firstReads {
	return &firstReads{startedAt: startedAt, missing: map[metastore.Purpose]bool{
		purposeMembers: true, purposeSuspects: true, purposeSoftware: true, purposeOrigins: true,
	}}
}

// markRead records that the range of a purpose has been read.
func (f *firstReads) markRead(p metastore.Purpose) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.missing, p)
}

// suffice reports whether the instance may take callers at now.
func (f *firstReads) suffice(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.missing) == 0 || now.Sub(f.startedAt) >= maxFirstReadsWait
}
