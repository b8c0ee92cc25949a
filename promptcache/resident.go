package promptcache

// Resident estimates which parts of prompts an endpoint still has in memory,
// based on the parts that were sent there. When the memory is full, the least
// recently used parts are evicted. It is not safe for concurrent use.
type Resident struct {
	capacity int                     // in tokens
	tokens   int                     // sum over parts
	useCount int64                   // number of calls of Use so far
	parts    map[uint64]residentPart // by hash of the part and its partition
}

// residentPart is a part that is assumed to be in memory.
type residentPart struct {
	tokens  int
	lastUse int64 // value of useCount at the last use
}

// NewResident returns an empty Resident with a capacity in tokens.
func NewResident(capacity int) *Resident {
	return &Resident{capacity: capacity, parts: map[uint64]residentPart{}}
}

// Use records that a part with the given hash and size in tokens is in memory
// now.
func (r *Resident) Use(part uint64, tokens int) {
	r.useCount++
	old := r.parts[part]
	r.tokens += tokens - old.tokens
	r.parts[part] = residentPart{tokens: tokens, lastUse: r.useCount}
	for r.tokens > r.capacity && len(r.parts) > 1 {
		r.evictLeastRecentlyUsed()
	}
}

// evictLeastRecentlyUsed removes the least recently used part.
func (r *Resident) evictLeastRecentlyUsed() {
	var oldest uint64
	oldestUse := r.useCount + 1
	for part, p := range r.parts {
		if p.lastUse < oldestUse {
			oldest, oldestUse = part, p.lastUse
		}
	}
	r.tokens -= r.parts[oldest].tokens
	delete(r.parts, oldest)
}

// Has reports whether a part is likely to be in memory.
func (r *Resident) Has(part uint64) bool {
	_, ok := r.parts[part]
	return ok
}
