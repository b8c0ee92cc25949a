package place

import "time"

const (
	recentBucket  = 100 * time.Millisecond
	recentBuckets = 3
	// RecentTime is the time that RecentTokens covers on average, since the latest bucket is not
	// complete: about as long as the pause objective of a stream, and longer than reports between
	// instances are old.
	RecentTime = recentBuckets*recentBucket - recentBucket/2
)

// RecentTokens counts the tokens of long prompts that were sent to an engine within
// about RecentTime. It is not safe for concurrent use.
type RecentTokens struct {
	buckets [recentBuckets]int
	latest  int64 // number of the bucket of the last call
}

// Add counts tokens that were sent at now.
func (r *RecentTokens) Add(tokens int, now time.Time) {
	r.advance(now)
	r.buckets[r.latest%recentBuckets] += tokens
}

// Sum returns the tokens counted within about RecentTime before now.
func (r *RecentTokens) Sum(now time.Time) int {
	r.advance(now)
	sum := 0
	for _, n := range r.buckets {
		sum += n
	}
	return sum
}

// advance empties the buckets that are not among the latest.
func (r *RecentTokens) advance(now time.Time) {
	bucket := now.UnixNano() / int64(recentBucket)
	if bucket <= r.latest {
		return
	}
	for b := max(r.latest+1, bucket-recentBuckets+1); b <= bucket; b++ {
		r.buckets[b%recentBuckets] = 0
	}
	r.latest = bucket
}
