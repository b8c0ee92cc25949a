package route

import "math/bits"

// maxInlineHolders is the number of endpoints that a holders value lists inline.
// The endpoints of a more widely cached block are stored in a bit set.
const maxInlineHolders = 7

// holders is the set of endpoints that have a block cached. If count is
// bitSetCount, the set is in cacheView.bitSets instead.
type holders struct {
	count     uint16
	endpoints [maxInlineHolders]uint16
}

// bitSetCount is the value of holders.count for a set that is stored as a bit set.
const bitSetCount = maxInlineHolders + 1

// endpointSet is a bit set of endpoint indexes.
type endpointSet []uint64

// add adds an endpoint and reports whether it was not yet in the set.
func (s *endpointSet) add(endpoint uint16) bool {
	word, bit := int(endpoint/64), uint64(1)<<(endpoint%64)
	for len(*s) <= word {
		*s = append(*s, 0)
	}
	isNew := (*s)[word]&bit == 0
	(*s)[word] |= bit
	return isNew
}

// remove removes an endpoint and reports whether the set is empty afterwards.
func (s endpointSet) remove(endpoint uint16) (empty bool) {
	if word := int(endpoint / 64); word < len(s) {
		s[word] &^= 1 << (endpoint % 64)
	}
	for _, w := range s {
		if w != 0 {
			return false
		}
	}
	return true
}

// cacheView maps blocks, given by the hashes of their keys, to the endpoints that
// have them cached. A block holds one piece of a prompt. The view is approximate: a
// block that it lists wrongly only has to be prefilled again. The number of blocks of
// each endpoint is bounded; those added first are dropped first. It is not safe for
// concurrent use.
type cacheView struct {
	blocks      map[uint64]holders      // by block
	bitSets     map[uint64]*endpointSet // by block, for sets that are not stored in blocks
	addedBlocks map[uint16]*blockRing   // by endpoint index, in the order in which the blocks were added
}

func newCacheView() *cacheView {
	return &cacheView{blocks: map[uint64]holders{}, bitSets: map[uint64]*endpointSet{}, addedBlocks: map[uint16]*blockRing{}}
}

// add records that the endpoint has the block. It drops the endpoint's oldest
// blocks to keep at most limit.
func (v *cacheView) add(endpoint uint16, block uint64, limit int) {
	if !v.insert(endpoint, block) {
		return
	}
	ring := v.addedBlocks[endpoint]
	if ring == nil {
		ring = &blockRing{}
		v.addedBlocks[endpoint] = ring
	}
	for ring.len() >= limit {
		v.remove(endpoint, ring.pop())
	}
	ring.push(block)
}

// insert adds the endpoint to the holders of the block and reports whether it was
// not yet among them.
func (v *cacheView) insert(endpoint uint16, block uint64) bool {
	h := v.blocks[block]
	if h.count == bitSetCount {
		return v.bitSets[block].add(endpoint)
	}
	for _, e := range h.endpoints[:h.count] {
		if e == endpoint {
			return false
		}
	}
	if h.count == maxInlineHolders {
		v.convertToBitSet(block, h, endpoint)
		return true
	}
	h.endpoints[h.count] = endpoint
	h.count++
	v.blocks[block] = h
	return true
}

// convertToBitSet stores the holders of the block and one more endpoint as a bit
// set.
func (v *cacheView) convertToBitSet(block uint64, h holders, endpoint uint16) {
	set := &endpointSet{}
	for _, e := range h.endpoints {
		set.add(e)
	}
	set.add(endpoint)
	v.bitSets[block] = set
	v.blocks[block] = holders{count: bitSetCount}
}

// remove records that the endpoint no longer has the block.
func (v *cacheView) remove(endpoint uint16, block uint64) {
	h, ok := v.blocks[block]
	if !ok {
		return
	}
	if h.count == bitSetCount {
		if v.bitSets[block].remove(endpoint) {
			delete(v.bitSets, block)
			delete(v.blocks, block)
		}
		return
	}
	for i, e := range h.endpoints[:h.count] {
		if e != endpoint {
			continue
		}
		h.count--
		h.endpoints[i] = h.endpoints[h.count]
		break
	}
	if h.count == 0 {
		delete(v.blocks, block)
		return
	}
	v.blocks[block] = h
}

// clearEndpoint removes all blocks of one endpoint from the view.
func (v *cacheView) clearEndpoint(endpoint uint16) {
	ring := v.addedBlocks[endpoint]
	if ring == nil {
		return
	}
	for ring.len() > 0 {
		v.remove(endpoint, ring.pop())
	}
	delete(v.addedBlocks, endpoint)
}

// countCachedPrefix sets cached[i] to the number of leading blocks that the
// endpoint with index i has. All elements of cached must be zero on entry.
func (v *cacheView) countCachedPrefix(blocks []uint64, cached []uint16) {
	for i, b := range blocks {
		h, ok := v.blocks[b]
		if !ok || !v.extendPrefix(b, h, uint16(i), cached) {
			return
		}
	}
}

// extendPrefix counts the block at the given position of a prefix for each endpoint
// that has this block and all blocks before it, and reports whether there is any.
func (v *cacheView) extendPrefix(block uint64, h holders, position uint16, cached []uint16) bool {
	if h.count == bitSetCount {
		return extendPrefixBitSet(*v.bitSets[block], position, cached)
	}
	extended := false
	for _, e := range h.endpoints[:h.count] {
		if cached[e] == position {
			cached[e] = position + 1
			extended = true
		}
	}
	return extended
}

// extendPrefixBitSet is extendPrefix for holders that are stored as a bit set.
func extendPrefixBitSet(set endpointSet, position uint16, cached []uint16) bool {
	extended := false
	for w, word := range set {
		for ; word != 0; word &= word - 1 {
			e := w*64 + bits.TrailingZeros64(word)
			if cached[e] == position {
				cached[e] = position + 1
				extended = true
			}
		}
	}
	return extended
}

// blockRing is a first-in, first-out queue of blocks in a ring buffer.
type blockRing struct {
	buf  []uint64
	head int
	size int
}

func (r *blockRing) len() int { return r.size }

func (r *blockRing) push(b uint64) {
	if r.size == len(r.buf) {
		r.grow()
	}
	r.buf[(r.head+r.size)%len(r.buf)] = b
	r.size++
}

func (r *blockRing) pop() uint64 {
	b := r.buf[r.head]
	r.head = (r.head + 1) % len(r.buf)
	r.size--
	return b
}

func (r *blockRing) grow() {
	const firstSize = 16
	buf := make([]uint64, max(firstSize, 2*len(r.buf)))
	n := copy(buf, r.buf[r.head:])
	copy(buf[n:], r.buf[:r.head])
	r.buf, r.head = buf, 0
}
