package promptcache

// ResidentParts estimates which parts of prompts an endpoint still has in memory,
// from what was sent there: the least recently used parts yield when it is
// full. It is not safe for concurrent use.
type ResidentParts struct {
	capacity int // tokens
	tokens   int
	clock    int64 // counts uses
	parts    map[uint64]use
}

type use struct {
	tokens int
	last   int64
}

// NewResidentParts returns an empty memory of that many tokens.
func NewResidentParts(capacity int) *ResidentParts {
	return &ResidentParts{capacity: capacity, parts: map[uint64]use{}}
}

// Use records that a part is in memory now.
func (r *ResidentParts) Use(part uint64, tokens int) {
	r.clock++
	old := r.parts[part]
	r.tokens += tokens - old.tokens
	r.parts[part] = use{tokens: tokens, last: r.clock}
	for r.tokens > r.capacity && len(r.parts) > 1 {
		r.evict()
	}
}

func (r *ResidentParts) evict() {
	var oldest uint64
	last := r.clock + 1
	for part, u := range r.parts {
		if u.last < last {
			oldest, last = part, u.last
		}
	}
	r.tokens -= r.parts[oldest].tokens
	delete(r.parts, oldest)
}

// Has reports whether a part is likely to be in memory.
func (r *ResidentParts) Has(part uint64) bool {
	_, ok := r.parts[part]
	return ok
}
