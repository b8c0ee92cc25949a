package promptcache

// ResidentParts estimates which parts of prompts an endpoint still has in memory,
// based on the parts that were sent there. When the memory is full, the least
// recently used parts are evicted. It is not safe for concurrent use.
type ResidentParts struct {
	capacity int                     // in tokens
	tokens   int                     // sum over parts
	useCount int64                   // number of calls of Use so far
	parts    map[uint64]residentPart // by hash of the part and its partition
	filter   [4]uint64               // has a bit for the hash of each part, and possibly others
	memo     [4]residentMemo         // latest results of Has, by the lowest bits of the hash
}

// residentMemo is a result of Has, valid until the next call of Use.
type residentMemo struct {
	part     uint64
	useCount int64 // of the time of the result, plus 1; 0 if there is none
	has      bool
}

// residentPart is a part that is assumed to be in memory.
type residentPart struct {
	tokens  int
	lastUse int64 // value of useCount at the last use
}

// NewResidentParts returns an empty ResidentParts with a capacity in tokens.
func NewResidentParts(capacity int) *ResidentParts {
	return &ResidentParts{capacity: capacity, parts: map[uint64]residentPart{}}
}

// Use records that a part with the given hash and size in tokens is in memory
// now.
func (r *ResidentParts) Use(part uint64, tokens int) {
	r.useCount++
	old := r.parts[part]
	r.tokens += tokens - old.tokens
	r.parts[part] = residentPart{tokens: tokens, lastUse: r.useCount}
	r.addToFilter(part)
	for r.tokens > r.capacity && len(r.parts) > 1 {
		r.evictLeastRecentlyUsed()
	}
}

// evictLeastRecentlyUsed removes the least recently used part.
func (r *ResidentParts) evictLeastRecentlyUsed() {
	var oldest uint64
	oldestUse := r.useCount + 1
	for part, p := range r.parts {
		if p.lastUse < oldestUse {
			oldest, oldestUse = part, p.lastUse
		}
	}
	r.tokens -= r.parts[oldest].tokens
	delete(r.parts, oldest)
	r.filter = [4]uint64{}
	for part := range r.parts {
		r.addToFilter(part)
	}
}

// addToFilter sets the bit of a part.
func (r *ResidentParts) addToFilter(part uint64) { r.filter[part>>56%4] |= 1 << (part >> 58) }

// inFilter reports whether the bit of a part is set.
func (r *ResidentParts) inFilter(part uint64) bool { return r.filter[part>>56%4]&(1<<(part>>58)) != 0 }

// Has reports whether a part is likely to be in memory. A decision asks for the same parts of
// many engines twice, most of which don't have them: filter answers for these, and memo the second
// time.
func (r *ResidentParts) Has(part uint64) bool {
	if !r.inFilter(part) {
		return false
	}
	m := &r.memo[part%uint64(len(r.memo))]
	if m.part == part && m.useCount == r.useCount+1 {
		return m.has
	}
	_, ok := r.parts[part]
	*m = residentMemo{part: part, useCount: r.useCount + 1, has: ok}
	return ok
}
