package promptcache

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingknot/fleet"
	"redwingknot/internal/fuzztest"
)

const storeAddress = "10.0.0.1:80"

var testPart = Part{Partition: Partition{Model: "m", Weights: 1}.String(), ID: "p"}

// newTestDirectory returns a directory with one empty store that has reported
// its content, and the time of that report.
func newTestDirectory(tokens int) (*Directory, time.Time) {
	d := NewDirectory()
	d.SetStores([]*fleet.CacheStore{{Name: "s", Address: storeAddress, Tokens: tokens}})
	now := time.Unix(100, 0)
	d.ApplyUpdate(storeAddress, Update{Epoch: 7, Complete: true, NextEvent: 1}, now)
	return d, now
}

// heldUpdate returns a report that the store now holds testPart with a number of
// tokens.
func heldUpdate(tokens int) Update {
	return Update{Epoch: 7, NextEvent: 2, Changes: []Change{{Part: testPart, Tokens: tokens}}}
}

func TestHolderReturnsOnlyReportedParts(t *testing.T) {
	d, now := newTestDirectory(1000)
	assert.Equal(t, holderAddress(d, testPart, now), "")
	d.ApplyUpdate(storeAddress, heldUpdate(100), now)
	assert.Equal(t, holderAddress(d, testPart, now), storeAddress)
	other := Part{Partition: Partition{Model: "m", Weights: 2}.String(), ID: "p"}
	assert.Equal(t, holderAddress(d, other, now), "")
	d.ApplyUpdate(storeAddress, Update{Epoch: 7, NextEvent: 3, Changes: []Change{{Part: testPart, Removed: true}}}, now)
	assert.Equal(t, holderAddress(d, testPart, now), "")
}

func TestHolderIgnoresStoresThatStoppedAnswering(t *testing.T) {
	d, now := newTestDirectory(1000)
	d.ApplyUpdate(storeAddress, heldUpdate(100), now)
	assert.Equal(t, holderAddress(d, testPart, now.Add(contentTTL)), "")
	d.ApplyUpdate(storeAddress, Update{Epoch: 7, NextEvent: 2}, now.Add(contentTTL))
	assert.Equal(t, holderAddress(d, testPart, now.Add(contentTTL)), storeAddress)
	d.MarkUnreachable(storeAddress)
	assert.Equal(t, holderAddress(d, testPart, now.Add(contentTTL)), "")
}

func TestRestartedStoreIsEmptyAndSavedToAfterDelay(t *testing.T) {
	d, now := newTestDirectory(1000)
	d.ApplyUpdate(storeAddress, heldUpdate(100), now)
	now = now.Add(restartSaveDelay)
	assert.Check(t, d.ApplyUpdate(storeAddress, Update{Epoch: 8, NextEvent: 1}, now))
	assert.Check(t, !d.ApplyUpdate(storeAddress, Update{Epoch: 8, NextEvent: 1, Complete: true}, now))
	assert.Equal(t, holderAddress(d, testPart, now), "")
	sized := SizedPart{Part: testPart, Tokens: 100}
	assert.Equal(t, d.BeginSave(sized, now), "")
	d.ApplyUpdate(storeAddress, Update{Epoch: 8, NextEvent: 1}, now.Add(restartSaveDelay))
	assert.Equal(t, d.BeginSave(sized, now.Add(restartSaveDelay)), storeAddress)
}

func TestGapRequestsFullContent(t *testing.T) {
	d, now := newTestDirectory(1000)
	assert.Check(t, d.ApplyUpdate(storeAddress, Update{Epoch: 7, NextEvent: 5, Gap: true}, now))
	_, whole := d.NextPoll(storeAddress)
	assert.Check(t, whole)
	assert.Equal(t, holderAddress(d, testPart, now), "")
}

func TestPartIsSavedOnceAndNotToFullStore(t *testing.T) {
	d, now := newTestDirectory(1000)
	now = now.Add(restartSaveDelay)
	d.ApplyUpdate(storeAddress, Update{Epoch: 7, NextEvent: 1}, now)
	assert.Equal(t, d.BeginSave(SizedPart{Part: testPart, Tokens: 2000}, now), "")
	sized := SizedPart{Part: testPart, Tokens: 100}
	assert.Equal(t, d.BeginSave(sized, now), storeAddress)
	assert.Equal(t, d.BeginSave(sized, now), "")
	later := now.Add(saveRetryInterval)
	d.ApplyUpdate(storeAddress, Update{Epoch: 7, NextEvent: 1}, later)
	assert.Equal(t, d.BeginSave(sized, later), storeAddress)
	d.ApplyUpdate(storeAddress, heldUpdate(100), later)
	assert.Equal(t, d.BeginSave(sized, later.Add(saveRetryInterval/2)), "")
}

func TestPartsOfReplacedWeightsAreOutdated(t *testing.T) {
	d, now := newTestDirectory(1000)
	d.ApplyUpdate(storeAddress, heldUpdate(100), now)
	parts, _ := d.Outdated(storeAddress, map[string]int64{"m": 1}, 10, now)
	assert.Equal(t, len(parts), 0)
	parts, epoch := d.Outdated(storeAddress, map[string]int64{"m": 2}, 10, now)
	assert.DeepEqual(t, parts, []Part{testPart})
	assert.Equal(t, epoch, int64(7))
}

func TestPartitionRoundTrip(t *testing.T) {
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

func TestResidentEvictsLeastRecentlyUsed(t *testing.T) {
	r := NewResidentParts(300)
	r.Use(1, 100)
	r.Use(2, 100)
	r.Use(3, 100)
	r.Use(1, 100)
	r.Use(4, 100)
	assert.Check(t, r.Has(1) && r.Has(3) && r.Has(4) && !r.Has(2))
}

// TestSmallPartsAreSavedToFastStores saves small and large parts to a fast and
// a large store, also after the fast store is full.
func TestSmallPartsAreSavedToFastStores(t *testing.T) {
	const fast, large = "10.0.0.2:80", "10.0.0.3:80"
	d, now := NewDirectory(), time.Unix(100, 0)
	d.SetStores([]*fleet.CacheStore{
		{Address: fast, Tokens: 1000, FirstByte: time.Millisecond / 2}, {Address: large, Tokens: 100000, FirstByte: 6 * time.Millisecond},
	})
	for _, store := range []string{fast, large} {
		d.ApplyUpdate(store, Update{Epoch: 7, Complete: true, NextEvent: 1}, now)
	}
	now = now.Add(restartSaveDelay)
	for _, store := range []string{fast, large} {
		d.ApplyUpdate(store, Update{Epoch: 7, NextEvent: 1}, now)
	}
	sizedPart := func(id string, tokens int) SizedPart {
		return SizedPart{Part: Part{Partition: testPart.Partition, ID: id}, Tokens: tokens}
	}
	assert.Equal(t, d.BeginSave(sizedPart("small", 300), now), fast)
	assert.Equal(t, d.BeginSave(sizedPart("small", 300), now), "", "a save of the part is already pending")
	assert.Equal(t, d.BeginSave(sizedPart("session", 9000), now), large)
	kept := Change{Part: sizedPart("small", 300).Part, Tokens: 900}
	d.ApplyUpdate(fast, Update{Epoch: 7, NextEvent: 2, Changes: []Change{kept}}, now)
	assert.Equal(t, d.BeginSave(sizedPart("other", 300), now), large, "the fast store is full")
	// A part that both stores hold is fetched from the fast one.
	d.ApplyUpdate(large, Update{Epoch: 7, NextEvent: 2, Changes: []Change{kept}}, now)
	assert.Equal(t, holderAddress(d, kept.Part, now), fast)
}

// holderAddress returns the address of the store that Holder returns, empty if
// there is none.
func holderAddress(d *Directory, p Part, now time.Time) string {
	if s := d.Holder(p, now); s != nil {
		return s.Address
	}
	return ""
}

// TestResidentPartsKnowWhatTheyHold guards against lookups that are answered from an earlier
// state, or that miss a part after others were evicted.
func TestResidentPartsKnowWhatTheyHold(t *testing.T) {
	fuzztest.Check(t, func(t *rapid.T) {
		r := NewResidentParts(1000)
		hash := rapid.SampledFrom([]uint64{1, 5, 9, 1 << 56, 5 << 56, 1 << 58, 1<<58 + 4, 1 << 63})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "use") {
				r.Use(hash.Draw(t, "part"), rapid.IntRange(1, 500).Draw(t, "tokens"))
			}
			part := hash.Draw(t, "asked")
			if _, held := r.parts[part]; r.Has(part) != held {
				t.Fatalf("part %d: held %v", part, held)
			}
		}
	})
}

// TestEqualClocksAreKnown guards against fetches without a time limit where the endpoints' clock is
// equal to the local one.
func TestEqualClocksAreKnown(t *testing.T) {
	d, now := newTestDirectory(1000)
	assert.Equal(t, d.FetchDeadline(now), int64(0))
	d.ApplyUpdate(storeAddress, Update{Epoch: 7, ClockMillis: now.UnixMilli()}, now)
	assert.Equal(t, d.FetchDeadline(now), now.Add(FetchTimeout).UnixMilli())
}
