package block

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"redwingknot/engine"
	"redwingknot/internal/fuzztest"
	"redwingknot/store"
)

// scope is what the keys of a prompt depend on besides its text.
type scope struct{ team, model, adapter, version string }

func drawScope(t *rapid.T, label string) scope {
	name := rapid.StringMatching(`[ab/]{0,3}`)
	return scope{
		name.Draw(t, label+"team"), name.Draw(t, label+"model"),
		name.Draw(t, label+"adapter"), name.Draw(t, label+"version"),
	}
}

// resplit returns a scope whose concatenated fields are those of s, divided at random
// positions.
func (s scope) resplit(t *rapid.T) scope {
	all := s.team + s.model + s.adapter + s.version
	cuts := rapid.SliceOfN(rapid.IntRange(0, len(all)), 3, 3).Draw(t, "cuts")
	slices.Sort(cuts)
	return scope{all[:cuts[0]], all[cuts[0]:cuts[1]], all[cuts[1]:cuts[2]], all[cuts[2]:]}
}

// TestFuzzKeysAreEqualOnlyInOneScope draws pairs of scopes, half of which have the same
// concatenated fields. Two keys must be equal only if scope, position and all pieces up
// to theirs are equal.
func TestFuzzKeysAreEqualOnlyInOneScope(t *testing.T) {
	fuzztest.Check(t, func(t *rapid.T) {
		a, b := drawScope(t, "a-"), drawScope(t, "b-")
		if rapid.Bool().Draw(t, "resplit") {
			b = a.resplit(t)
		}
		prompt := rapid.SliceOfN(rapid.ByteRange('a', 'b'), 0, 12)
		pa, pb := prompt.Draw(t, "pa"), prompt.Draw(t, "pb")
		piece := rapid.IntRange(1, 3).Draw(t, "piece")
		ka := Chain(a.team, a.model, a.adapter, a.version, pa, piece)
		kb := Chain(b.team, b.model, b.adapter, b.version, pb, piece)
		for i, x := range ka {
			for j, y := range kb {
				same := a == b && i == j && bytes.Equal(pa[:(i+1)*piece], pb[:(j+1)*piece])
				if (x == y) != same {
					t.Fatalf("%v %q piece %d and %v %q piece %d: keys equal %t, want %t", a, pa, i, b, pb, j, x == y, same)
				}
			}
		}
	})
}

func TestChain(t *testing.T) {
	prompt := []byte("0123456789")
	keys := Chain("t", "m", "a@1", "v", prompt, 3)
	assert.Equal(t, len(keys), 3)
	assert.DeepEqual(t, Chain("t", "m", "a@1", "v", prompt[:7], 3), keys[:2])
	for _, k := range keys {
		assert.Equal(t, k.Partition(), keys[0].Partition())
		assert.Equal(t, k.String()[:partitionDigits], k.Partition().Prefix())
		back, err := ParseKey(k.String())
		assert.NilError(t, err)
		assert.Equal(t, back, k)
	}
	assert.Equal(t, len(Chain("t", "m", "", "v", prompt, 0)), 0)
	_, err := ParseKey("00")
	assert.ErrorType(t, err, &KeyError{})
}

func TestLeavingInstanceMovesOnlyItsPartitions(t *testing.T) {
	var instances []string
	for i := range 42 {
		instances = append(instances, fmt.Sprintf("10.0.0.%d:7000", i))
	}
	count := map[string]int{}
	moved := 0
	for p := range Partition(Partitions) {
		home := HomeOf(p, instances)
		count[home]++
		if after := HomeOf(p, instances[1:]); after != home {
			assert.Equal(t, home, instances[0])
			moved++
		}
	}
	assert.Equal(t, moved, count[instances[0]])
	for instance, n := range count {
		assert.Assert(t, n > 60 && n < 140, "%s has %d of %d partitions", instance, n, Partitions)
	}
}

// TestLookupFindsOnlyItsOwnWeightVersion looks up a prompt after the weights were
// replaced. A request with other weights, adapter version or team must find no blocks;
// a request that still runs with the old weights must find all of its own.
func TestLookupFindsOnlyItsOwnWeightVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDirectory(now, DirectoryOptions{})
	prompt := []byte("01234567")
	run := Chain("t", "m", "a@1", "v1", prompt, 2)
	for i, k := range run {
		assert.NilError(t, d.Publish(now, publication(k, uint64(i)+1, 1)))
	}
	for _, other := range [][]Key{
		Chain("t", "m", "a@1", "v2", prompt, 2), Chain("t", "m", "a@2", "v1", prompt, 2), Chain("u", "m", "a@1", "v1", prompt, 2),
	} {
		assert.Equal(t, len(d.Lookup(now, Query{Keys: other}, nil)), 0)
	}
	assert.Equal(t, len(d.Lookup(now, Query{Keys: run}, nil)), len(run))
}

// publication returns the publication of a sealed block at the store "s".
func publication(k Key, seq, generation uint64) Publication {
	ref := engine.BlockRef{Key: k.String(), Generation: generation, Length: 100}
	return Publication{Store: "s", Class: "chat", Sealed: store.SealedBlock{Ref: ref, Epoch: "e", Seq: seq}}
}
