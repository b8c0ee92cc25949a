package block

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"redwingknot/store"
)

// ListRequest asks for a listing of one partition at one store.
type ListRequest struct {
	Store     string // URL
	Partition Partition
}

// SetPartitions sets the partitions of the directory and the URLs of the stores. It removes the
// blocks of other partitions and stores, and requests listings of the new ones.
func (d *Directory) SetPartitions(partitions []Partition, stores []string) {
	partitionSet := map[Partition]bool{}
	for _, p := range partitions {
		partitionSet[p] = true
	}
	for _, i := range d.entryIndex {
		e := &d.entries[i]
		if !partitionSet[e.key.Partition()] || !slices.Contains(stores, d.stores[e.store].url) {
			d.deleteEntry(e.key)
		}
	}
	d.pendingFrees = slices.DeleteFunc(d.pendingFrees, func(f pendingFree) bool { return !partitionSet[f.block.Key.Partition()] })
	maps.DeleteFunc(d.tombstones, func(id generationID, _ time.Time) bool { return !partitionSet[id.key.Partition()] })
	for _, url := range stores {
		storeIndex, err := d.storeIndex(url)
		if err != nil {
			return
		}
		d.stores[storeIndex].setPartitions(partitionSet)
	}
}

// setPartitions removes the change sequences of partitions that are not in the set and
// requests listings of those that are new.
func (s *storeRecord) setPartitions(partitionSet map[Partition]bool) {
	for p := range s.sequences {
		if !partitionSet[p] {
			delete(s.sequences, p)
		}
	}
	for p := range partitionSet {
		if s.sequences[p] == nil {
			s.sequences[p] = &sequence{listingRequested: true}
		}
	}
}

// RequestListings requests listings of all partitions of a store. Upkeep calls it every
// fullListingInterval, to detect blocks that were lost unnoticed, for example while the
// store was unreachable.
func (d *Directory) RequestListings(url string) {
	storeIndex, err := d.storeIndex(url)
	if err != nil {
		return
	}
	for _, seq := range d.stores[storeIndex].sequences {
		seq.listingRequested = true
	}
}

// WantedListings returns the listings to fetch now, at most limit, leaving out stores that
// are marked down.
func (d *Directory) WantedListings(now time.Time, limit int) []ListRequest {
	var wanted []ListRequest
	for i := range d.stores {
		s := &d.stores[i]
		if now.Before(s.downUntil) {
			continue
		}
		for p, seq := range s.sequences {
			if seq.wantsListing(now, d.opts.GapGrace) {
				wanted = append(wanted, ListRequest{Store: s.url, Partition: p})
			}
		}
	}
	slices.SortFunc(wanted, func(a, b ListRequest) int {
		return cmp.Or(cmp.Compare(a.Store, b.Store), cmp.Compare(a.Partition, b.Partition))
	})
	return wanted[:min(len(wanted), limit)]
}

// ApplyListing updates the directory from a complete listing of a partition: all pages
// joined, with the Seq of the first page. Listings of a store must be applied in the
// order in which they were requested.
func (d *Directory) ApplyListing(now time.Time, r ListRequest, l store.Listing) error {
	storeIndex, err := d.storeIndex(r.Store)
	if err != nil {
		return err
	}
	s := &d.stores[storeIndex]
	if s.epoch != l.Epoch {
		d.startEpoch(storeIndex, l.Epoch)
	}
	seq := s.sequence(r.Partition)
	if l.Seq >= seq.highest() {
		d.dropUnlisted(r.Partition, storeIndex, l)
	}
	seq.recordListing(now, l.Seq)
	class, err := d.classIndex("")
	if err != nil {
		return err
	}
	// Reads of a listed block may have been granted by another home, or by this
	// one before it removed the block from its directory. The end of the longest
	// such grant is rounded up to whole seconds.
	grantsEnd := d.secondsSinceStart(now.Add(d.opts.MaxGrant)) + 1
	for _, b := range l.Blocks {
		key, err := ParseKey(b.Ref.Key)
		if err != nil || key.Partition() != r.Partition {
			continue
		}
		// A refused block is being freed or can't be in the directory; the rest of
		// the listing is applied all the same.
		_ = d.putEntry(now, entry{key: key, lastUsed: d.secondsSinceStart(now), grantsEnd: grantsEnd, store: storeIndex, class: class}, b.Ref)
	}
	return nil
}

// startEpoch records the new epoch of a store. It removes the store's blocks from the
// directory and drops the frees that were pending in the previous epoch.
func (d *Directory) startEpoch(storeIndex uint16, epoch string) {
	for _, i := range d.entryIndex {
		if e := &d.entries[i]; e.store == storeIndex {
			d.deleteEntry(e.key)
		}
	}
	s := &d.stores[storeIndex]
	// Before the first epoch is known, no change numbers are recorded.
	if s.epoch != "" {
		for p := range s.sequences {
			s.sequences[p] = &sequence{listingRequested: true}
		}
	}
	s.epoch = epoch
	d.pendingFrees = slices.DeleteFunc(d.pendingFrees, func(f pendingFree) bool { return f.block.Store == s.url })
	maps.DeleteFunc(d.tombstones, func(id generationID, _ time.Time) bool { return id.store == storeIndex })
}

// dropUnlisted removes the blocks of the partition that are not in the listing. The
// listing has to be at least as new as all known changes.
func (d *Directory) dropUnlisted(p Partition, storeIndex uint16, l store.Listing) {
	listed := make(map[generationID]bool, len(l.Blocks))
	for _, b := range l.Blocks {
		if key, err := ParseKey(b.Ref.Key); err == nil {
			listed[generationID{key, b.Ref.Generation, storeIndex}] = true
		}
	}
	for _, i := range d.entryIndex {
		e := &d.entries[i]
		if e.store == storeIndex && e.key.Partition() == p && !listed[generationID{e.key, e.generation, storeIndex}] {
			d.deleteEntry(e.key)
		}
	}
}

// ApplyEpoch records the epoch that a store has just reported and, if it is new, removes
// the store's blocks from the directory.
func (d *Directory) ApplyEpoch(url, epoch string) {
	storeIndex, err := d.storeIndex(url)
	if err != nil || d.stores[storeIndex].epoch == epoch {
		return
	}
	d.startEpoch(storeIndex, epoch)
}
