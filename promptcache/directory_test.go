package promptcache

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/fleet"
)

const address = "10.0.0.1:80"

var part = Part{Partition: Partition{Model: "m", Weights: 1}.String(), ID: "p"}

func directory(tokens int) (*Directory, time.Time) {
	d := NewDirectory()
	d.SetStores([]*fleet.CacheStore{{Name: "s", Address: address, Tokens: tokens}})
	now := time.Unix(100, 0)
	d.ApplyUpdate(address, Update{Epoch: 7, Complete: true, NextEvent: 1}, now)
	return d, now
}

func held(tokens int) Update {
	return Update{Epoch: 7, NextEvent: 2, Changes: []Change{{Part: part, Tokens: tokens}}}
}

func TestOnlyWhatAStoreReportsIsFetched(t *testing.T) {
	d, now := directory(1000)
	assert.Equal(t, holder(d, part, now), "")
	d.ApplyUpdate(address, held(100), now)
	assert.Equal(t, holder(d, part, now), address)
	other := Part{Partition: Partition{Model: "m", Weights: 2}.String(), ID: "p"}
	assert.Equal(t, holder(d, other, now), "")
	d.ApplyUpdate(address, Update{Epoch: 7, NextEvent: 3, Changes: []Change{{Part: part, Removed: true}}}, now)
	assert.Equal(t, holder(d, part, now), "")
}

func TestNothingIsFetchedFromASilentStore(t *testing.T) {
	d, now := directory(1000)
	d.ApplyUpdate(address, held(100), now)
	assert.Equal(t, holder(d, part, now.Add(knownFor)), "")
	d.ApplyUpdate(address, Update{Epoch: 7, NextEvent: 2}, now.Add(knownFor))
	assert.Equal(t, holder(d, part, now.Add(knownFor)), address)
	d.MarkUnreachable(address)
	assert.Equal(t, holder(d, part, now.Add(knownFor)), "")
}

func TestARestartedStoreIsEmptyAndSavedToOnlyLater(t *testing.T) {
	d, now := directory(1000)
	d.ApplyUpdate(address, held(100), now)
	now = now.Add(settle)
	assert.Check(t, d.ApplyUpdate(address, Update{Epoch: 8, NextEvent: 1}, now))
	assert.Check(t, !d.ApplyUpdate(address, Update{Epoch: 8, NextEvent: 1, Complete: true}, now))
	assert.Equal(t, holder(d, part, now), "")
	w := SizedPart{Part: part, Tokens: 100}
	assert.Equal(t, d.BeginSave(w, now), "")
	d.ApplyUpdate(address, Update{Epoch: 8, NextEvent: 1}, now.Add(settle))
	assert.Equal(t, d.BeginSave(w, now.Add(settle)), address)
}

func TestAGapAsksForTheWholeContent(t *testing.T) {
	d, now := directory(1000)
	assert.Check(t, d.ApplyUpdate(address, Update{Epoch: 7, NextEvent: 5, Gap: true}, now))
	_, whole := d.NextPoll(address)
	assert.Check(t, whole)
	assert.Equal(t, holder(d, part, now), "")
}

func TestAPartIsSavedOnceAndNotToAFullStore(t *testing.T) {
	d, now := directory(1000)
	now = now.Add(settle)
	d.ApplyUpdate(address, Update{Epoch: 7, NextEvent: 1}, now)
	assert.Equal(t, d.BeginSave(SizedPart{Part: part, Tokens: 2000}, now), "")
	w := SizedPart{Part: part, Tokens: 100}
	assert.Equal(t, d.BeginSave(w, now), address)
	assert.Equal(t, d.BeginSave(w, now), "")
	later := now.Add(saveAgain)
	d.ApplyUpdate(address, Update{Epoch: 7, NextEvent: 1}, later)
	assert.Equal(t, d.BeginSave(w, later), address)
	d.ApplyUpdate(address, held(100), later)
	assert.Equal(t, d.BeginSave(w, later.Add(saveAgain/2)), "")
}

func TestPartsOfReplacedWeightsAreOutdated(t *testing.T) {
	d, now := directory(1000)
	d.ApplyUpdate(address, held(100), now)
	parts, _ := d.Outdated(address, map[string]int64{"m": 1}, 10, now)
	assert.Equal(t, len(parts), 0)
	parts, epoch := d.Outdated(address, map[string]int64{"m": 2}, 10, now)
	assert.DeepEqual(t, parts, []Part{part})
	assert.Equal(t, epoch, int64(7))
}

func TestPartitionsAreReadBack(t *testing.T) {
	for _, p := range []Partition{{"m", 3, ""}, {"m", 3, "team|x"}} {
		got, ok := ParsePartition(p.String())
		assert.Check(t, ok)
		assert.Equal(t, got, p)
	}
	for _, s := range []string{"", "m", "m|x"} {
		_, ok := ParsePartition(s)
		assert.Check(t, !ok, s)
	}
}

func TestResidentForgetsTheLeastRecentlyUsed(t *testing.T) {
	r := NewResidentParts(300)
	r.Use(1, 100)
	r.Use(2, 100)
	r.Use(3, 100)
	r.Use(1, 100)
	r.Use(4, 100)
	assert.Check(t, r.Has(1) && r.Has(3) && r.Has(4) && !r.Has(2))
}

// TestSmallPartsAreKeptWhereTheyAreQuicklyFetched saves parts to a quick store
// and a large one, also once the quick one is full.
func TestSmallPartsAreKeptWhereTheyAreQuicklyFetched(t *testing.T) {
	const quick, large = "10.0.0.2:80", "10.0.0.3:80"
	d, now := NewDirectory(), time.Unix(100, 0)
	d.SetStores([]*fleet.CacheStore{
		{Address: quick, Tokens: 1000, FirstByte: time.Millisecond / 2}, {Address: large, Tokens: 100000, FirstByte: 6 * time.Millisecond},
	})
	for _, store := range []string{quick, large} {
		d.ApplyUpdate(store, Update{Epoch: 7, Complete: true, NextEvent: 1}, now)
	}
	now = now.Add(settle)
	for _, store := range []string{quick, large} {
		d.ApplyUpdate(store, Update{Epoch: 7, NextEvent: 1}, now)
	}
	wanted := func(id string, tokens int) SizedPart {
		return SizedPart{Part: Part{Partition: part.Partition, ID: id}, Tokens: tokens}
	}
	assert.Equal(t, d.BeginSave(wanted("small", 300), now), quick)
	assert.Equal(t, d.BeginSave(wanted("small", 300), now), "", "it is on its way")
	assert.Equal(t, d.BeginSave(wanted("session", 9000), now), large)
	kept := Change{Part: wanted("small", 300).Part, Tokens: 900}
	d.ApplyUpdate(quick, Update{Epoch: 7, NextEvent: 2, Changes: []Change{kept}}, now)
	assert.Equal(t, d.BeginSave(wanted("other", 300), now), large, "the quick store is full")
	// A part that both hold comes from the quick one.
	d.ApplyUpdate(large, Update{Epoch: 7, NextEvent: 2, Changes: []Change{kept}}, now)
	assert.Equal(t, holder(d, kept.Part, now), quick)
}

// holder returns the address of the store that holds a part.
func holder(d *Directory, p Part, now time.Time) string {
	if s := d.Holder(p, now); s != nil {
		return s.Address
	}
	return ""
}
