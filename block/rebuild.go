package block

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"redwingknot/store"
)

// ListRequest asks for the listing of one partition of one store.
type ListRequest struct {
	Store     string
	Partition Partition
}

// SetPartitions tells the directory which partitions it is home of and which stores there
// are. It forgets the blocks of others and wants listings of what is new.
func (d *Directory) SetPartitions(partitions []Partition, stores []string) {
	owned := map[Partition]bool{}
	for _, p := range partitions {
		owned[p] = true
	}
	for _, i := range d.index {
		e := &d.entries[i]
		if !owned[e.key.Partition()] || !slices.Contains(stores, d.stores[e.store].url) {
			d.forget(e.key)
		}
	}
	d.frees = slices.DeleteFunc(d.frees, func(f pendingFree) bool { return !owned[f.block.Key.Partition()] })
	maps.DeleteFunc(d.freed, func(id generationID, _ time.Time) bool { return !owned[id.key.Partition()] })
	for _, url := range stores {
		index, err := d.storeIndex(url)
		if err != nil {
			return
		}
		d.stores[index].own(owned)
	}
}

func (s *storeState) own(owned map[Partition]bool) {
	for p := range s.sequences {
		if !owned[p] {
			delete(s.sequences, p)
		}
	}
	for p := range owned {
		if s.sequences[p] == nil {
			s.sequences[p] = &sequence{listFor: true}
		}
	}
}

// RequestListings asks for listings of all partitions of a store, as after its
// return or once in a long while against silent losses.
func (d *Directory) RequestListings(url string) {
	index, err := d.storeIndex(url)
	if err != nil {
		return
	}
	for _, q := range d.stores[index].sequences {
		q.listFor = true
	}
}

// WantedListings returns at most limit listings that are wanted.
func (d *Directory) WantedListings(now time.Time, limit int) []ListRequest {
	var wanted []ListRequest
	for i := range d.stores {
		s := &d.stores[i]
		if now.Before(s.downUntil) {
			continue
		}
		for p, q := range s.sequences {
			if q.wantsListing(now, d.opts.GapGrace) {
				wanted = append(wanted, ListRequest{Store: s.url, Partition: p})
			}
		}
	}
	slices.SortFunc(wanted, func(a, b ListRequest) int {
		return cmp.Or(cmp.Compare(a.Store, b.Store), cmp.Compare(a.Partition, b.Partition))
	})
	return wanted[:min(len(wanted), limit)]
}

// ApplyListing makes the directory agree with a whole listing of a partition,
// all pages joined, whose Seq is that of its first page. Listings of a store
// are applied in the order in which they were asked for.
func (d *Directory) ApplyListing(now time.Time, r ListRequest, l store.Listing) error {
	index, err := d.storeIndex(r.Store)
	if err != nil {
		return err
	}
	s := &d.stores[index]
	if s.epoch != l.Epoch {
		d.restart(index, l.Epoch)
	}
	q := s.sequence(r.Partition)
	if l.Seq >= q.highest() {
		d.dropUnlisted(r.Partition, index, l)
	}
	q.listed(now, l.Seq)
	class, err := d.classIndex("")
	if err != nil {
		return err
	}
	// Another home, or this one before it forgot the block, may have granted
	// reads of it.
	granted := d.seconds(now.Add(d.opts.MaxGrant)) + 1
	for _, b := range l.Blocks {
		key, err := ParseKey(b.Ref.Key)
		if err != nil || key.Partition() != r.Partition {
			continue
		}
		// A refusal here is about one block, which is then freed or unwanted.
		_ = d.put(now, entry{key: key, used: d.seconds(now), granted: granted, store: index, class: class}, b.Ref)
	}
	return nil
}

// restart forgets all blocks of a store that has started a new epoch, and what
// was to be freed in the one before.
func (d *Directory) restart(index uint16, epoch string) {
	for _, i := range d.index {
		if e := &d.entries[i]; e.store == index {
			d.forget(e.key)
		}
	}
	s := &d.stores[index]
	if s.epoch != "" {
		for p := range s.sequences {
			s.sequences[p] = &sequence{listFor: true}
		}
	}
	s.epoch = epoch
	d.frees = slices.DeleteFunc(d.frees, func(f pendingFree) bool { return f.block.Store == s.url })
	maps.DeleteFunc(d.freed, func(id generationID, _ time.Time) bool { return id.store == index })
}

// dropUnlisted forgets the blocks of the partition that a listing at least as
// new as all known changes does not have.
func (d *Directory) dropUnlisted(p Partition, index uint16, l store.Listing) {
	listed := make(map[generationID]bool, len(l.Blocks))
	for _, b := range l.Blocks {
		if key, err := ParseKey(b.Ref.Key); err == nil {
			listed[generationID{key, b.Ref.Generation, index}] = true
		}
	}
	for _, i := range d.index {
		e := &d.entries[i]
		if e.store == index && e.key.Partition() == p && !listed[generationID{e.key, e.generation, index}] {
			d.forget(e.key)
		}
	}
}

// ApplyEpoch takes in the epoch that a store has just reported.
func (d *Directory) ApplyEpoch(url, epoch string) {
	index, err := d.storeIndex(url)
	if err != nil || d.stores[index].epoch == epoch {
		return
	}
	d.restart(index, epoch)
}
