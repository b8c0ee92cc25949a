package route

import "math/bits"

// inlineHolders is the number of endpoints that an entry names by itself; a
// block on more endpoints is kept as a bit set.
const inlineHolders = 7

// holders is the set of endpoints that have a block. A count of wideCount says
// that the set is in cacheView.wide.
type holders struct {
	count uint16
	slots [inlineHolders]uint16
}

const wideCount = inlineHolders + 1

// slotSet is a bit set of endpoint slots.
type slotSet []uint64

// add reports whether the slot is new.
func (s *slotSet) add(slot uint16) bool {
	word, bit := int(slot/64), uint64(1)<<(slot%64)
	for len(*s) <= word {
		*s = append(*s, 0)
	}
	isNew := (*s)[word]&bit == 0
	(*s)[word] |= bit
	return isNew
}

func (s slotSet) remove(slot uint16) (empty bool) {
	if word := int(slot / 64); word < len(s) {
		s[word] &^= 1 << (slot % 64)
	}
	for _, w := range s {
		if w != 0 {
			return false
		}
	}
	return true
}

// cacheView maps blocks to the endpoints that have them. It is soft state: a
// block it wrongly names costs recomputation. Each endpoint's share is bounded;
// the oldest additions are forgotten first. Not safe for concurrent use.
type cacheView struct {
	blocks map[uint64]holders
	wide   map[uint64]*slotSet
	added  map[uint16]*blockRing
}

func newCacheView() *cacheView {
	return &cacheView{blocks: map[uint64]holders{}, wide: map[uint64]*slotSet{}, added: map[uint16]*blockRing{}}
}

// add records that slot has block and forgets the oldest of slot above limit.
func (v *cacheView) add(slot uint16, block uint64, limit int) {
	if !v.insert(slot, block) {
		return
	}
	ring := v.added[slot]
	if ring == nil {
		ring = &blockRing{}
		v.added[slot] = ring
	}
	for ring.len() >= limit {
		v.remove(slot, ring.pop())
	}
	ring.push(block)
}

// insert reports whether slot did not have block.
func (v *cacheView) insert(slot uint16, block uint64) bool {
	h := v.blocks[block]
	if h.count == wideCount {
		return v.wide[block].add(slot)
	}
	for _, s := range h.slots[:h.count] {
		if s == slot {
			return false
		}
	}
	if h.count == inlineHolders {
		v.widen(block, h, slot)
		return true
	}
	h.slots[h.count] = slot
	h.count++
	v.blocks[block] = h
	return true
}

func (v *cacheView) widen(block uint64, h holders, slot uint16) {
	set := &slotSet{}
	for _, s := range h.slots {
		set.add(s)
	}
	set.add(slot)
	v.wide[block] = set
	v.blocks[block] = holders{count: wideCount}
}

// remove records that slot no longer has block.
func (v *cacheView) remove(slot uint16, block uint64) {
	h, ok := v.blocks[block]
	if !ok {
		return
	}
	if h.count == wideCount {
		if v.wide[block].remove(slot) {
			delete(v.wide, block)
			delete(v.blocks, block)
		}
		return
	}
	for i, s := range h.slots[:h.count] {
		if s != slot {
			continue
		}
		h.count--
		h.slots[i] = h.slots[h.count]
		break
	}
	if h.count == 0 {
		delete(v.blocks, block)
		return
	}
	v.blocks[block] = h
}

// reset forgets all blocks of slot.
func (v *cacheView) reset(slot uint16) {
	ring := v.added[slot]
	if ring == nil {
		return
	}
	for ring.len() > 0 {
		v.remove(slot, ring.pop())
	}
	delete(v.added, slot)
}

// prefix sets cached[slot] to the number of leading blocks that slot has.
// cached must be zero on entry.
func (v *cacheView) prefix(blocks []uint64, cached []uint16) {
	for i, b := range blocks {
		h, ok := v.blocks[b]
		if !ok || !v.extend(b, h, uint16(i), cached) {
			return
		}
	}
}

// extend counts block i for its holders that have all before it.
func (v *cacheView) extend(block uint64, h holders, i uint16, cached []uint16) bool {
	if h.count == wideCount {
		return extendWide(*v.wide[block], i, cached)
	}
	any := false
	for _, s := range h.slots[:h.count] {
		if cached[s] == i {
			cached[s] = i + 1
			any = true
		}
	}
	return any
}

func extendWide(set slotSet, i uint16, cached []uint16) bool {
	any := false
	for w, word := range set {
		for ; word != 0; word &= word - 1 {
			s := w*64 + bits.TrailingZeros64(word)
			if cached[s] == i {
				cached[s] = i + 1
				any = true
			}
		}
	}
	return any
}

// blockRing is a queue of blocks in order of addition.
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
