package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestGroupCount(t *testing.T) {
	for engines, want := range map[int]int{0: 1, 1: 1, 12: 1, 24: 2, 99: 6, 140: 9, 690: 43} {
		assert.Equal(t, GroupCount(engines), want, "%d engines", engines)
	}
}

func TestEngineIsInOneGroup(t *testing.T) {
	const groups = 6
	for rank := range 99 {
		in := 0
		for group := range groups {
			if InGroup(rank, group, groups) {
				in++
			}
		}
		assert.Equal(t, in, 1)
	}
}

// TestGroupOwnerStaysUntilItLeaves checks that instances agree on an owner in any order
// of their lists, and that only the groups of an instance that leaves change theirs.
func TestGroupOwnerStaysUntilItLeaves(t *testing.T) {
	var names []string
	for i := range 30 {
		names = append(names, fmt.Sprint("front-", i))
	}
	owner := func(names []string, group int) string {
		var hashes []uint64
		for _, name := range names {
			hashes = append(hashes, Hash(name))
		}
		return names[GroupOwner(Hash("s"), group, hashes)]
	}
	for group := range 40 {
		before := owner(names, group)
		shuffled := slices.Clone(names)
		rand.New(rand.NewPCG(1, uint64(group))).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		assert.Equal(t, owner(shuffled, group), before)
		for _, gone := range names {
			rest := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == gone })
			if gone != before {
				assert.Equal(t, owner(rest, group), before)
			}
		}
	}
}

// heavyArrivals is a simulated load of heavy prompts from many instances.
type heavyArrivals struct {
	instances, engines int
	perSecond          float64
	prefillTime        time.Duration // of each prompt
	reportAge          time.Duration // until an instance hears of another's placement or its end
}

// simulate places the prompts of twenty seconds and returns the share of them that met
// another prompt at their engine. If groups is 0, each instance chooses by what it knows;
// otherwise the owner of the prompt's group chooses.
func (a heavyArrivals) simulate(groups int) float64 {
	type placed struct {
		by, engine int
		at, end    time.Duration
	}
	rng := rand.New(rand.NewPCG(7, 7))
	var history []placed
	met, total := 0, 0
	for now := time.Duration(0); now < 20*time.Second; now += time.Duration(rng.ExpFloat64() / a.perSecond * float64(time.Second)) {
		session := rng.Uint64()
		chooser := rng.IntN(a.instances)
		if groups > 0 {
			chooser = a.instances + GroupOf(session, groups)
		}
		list, ranks := []Engine{}, []int{}
		busy := make([]bool, a.engines)
		for rank := range a.engines {
			if groups == 0 || InGroup(rank, GroupOf(session, groups), groups) {
				list = append(list, Engine{Hash: Hash(fmt.Sprint(rank)), Local: true, UncachedTokens: 7000})
				ranks = append(ranks, rank)
			}
		}
		history = slices.DeleteFunc(history, func(p placed) bool { return p.end+a.reportAge < now })
		for _, p := range history {
			if p.at <= now && now < p.end {
				busy[p.engine] = true
			}
			age := a.reportAge
			if p.by == chooser {
				age = 0
			}
			if i := slices.Index(ranks, p.engine); i >= 0 && p.at+age <= now && now < p.end+age {
				list[i].PendingTokens += 7000
			}
		}
		engine := ranks[ChooseEngine(session, list)]
		total++
		if busy[engine] {
			met++
		}
		history = append(history, placed{chooser, engine, now, now + a.prefillTime})
	}
	return float64(met) / float64(total)
}

// TestGroupOwnersKeepHeavyPromptsApart replays the heavy prompts of a calm day of 62
// instances before 140 engines, two fifths of which are busy, with reports that are as
// old as a prompt takes. If the owners of groups place the prompts, at most a tenth as
// many must meet another one as if each instance placed its own.
func TestGroupOwnersKeepHeavyPromptsApart(t *testing.T) {
	load := heavyArrivals{instances: 62, engines: 140, perSecond: 190, prefillTime: 300 * time.Millisecond, reportAge: 270 * time.Millisecond}
	alone, owners := load.simulate(0), load.simulate(GroupCount(load.engines))
	t.Logf("prompts that meet another: %.3f by each instance alone, %.3f by owners of groups", alone, owners)
	assert.Check(t, owners <= alone/10)
}
