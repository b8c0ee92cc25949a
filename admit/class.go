package admit

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"redwingknot/contract"
)

// classState is the state of one request class. Its fields are guarded by the
// Controller's mutex.
type classState struct {
	spec            contract.Class
	meanCost        float64   // moving average of a request's processing time, in seconds
	lastSeen        time.Time // of the last request
	maxWait         float64   // longest expected wait, in seconds, at which requests of the class are admitted
	admittedShare   float64   // moving average of the share of requests admitted
	meanAdmitChance float64   // moving average of the chance of admission that queueAllows computes

	teams     map[string]*teamLoad
	fairLevel float64 // seconds of work up to which a team's requests are not refused at random
}

// teamLoad is the work that a team has recently requested. It decays
// exponentially, with the window as time constant.
type teamLoad struct {
	work    float64   // seconds of processing time, as of updated
	updated time.Time // time of the last request
}

func newClassState(spec contract.Class) *classState {
	return &classState{
		spec:            spec,
		maxWait:         spec.FirstIn.Seconds(),
		admittedShare:   1,
		meanAdmitChance: 1,
		teams:           map[string]*teamLoad{},
		fairLevel:       math.Inf(1),
	}
}

// byWorthPerSecond compares two classes for sorting: by decreasing worth per second
// of processing time, and by name if that is equal.
func byWorthPerSecond(a, b *classState) int {
	if c := cmp.Compare(b.worthPerSecond(), a.worthPerSecond()); c != 0 {
		return c
	}
	return cmp.Compare(a.spec.Name, b.spec.Name)
}

// worthPerSecond returns the worth of a second of processing time.
func (cs *classState) worthPerSecond() float64 {
	const minCost = 1e-6
	return cs.spec.Worth / max(cs.meanCost, minCost)
}

// idle reports whether the class has had no request for more than six windows.
func (cs *classState) idle(now time.Time, window time.Duration) bool {
	return now.Sub(cs.lastSeen) > 6*window
}

// recordRequest counts a request, whether or not it will be admitted.
func (cs *classState) recordRequest(q Query, now time.Time, window time.Duration) {
	const weight = 0.02
	cost := q.Cost.Seconds()
	if cs.lastSeen.IsZero() {
		cs.meanCost = cost
	}
	cs.lastSeen = now
	cs.meanCost = (1-weight)*cs.meanCost + weight*cost
	t, ok := cs.teams[q.Team]
	if !ok {
		t = &teamLoad{updated: now}
		cs.teams[q.Team] = t
	}
	t.work = t.workAt(now, window) + cost
	t.updated = now
}

// workAt returns the work in seconds, decayed to now.
func (t *teamLoad) workAt(now time.Time, window time.Duration) float64 {
	return t.work * math.Exp(-now.Sub(t.updated).Seconds()/window.Seconds())
}

// recordDecision updates the share of requests admitted.
func (cs *classState) recordDecision(admitted bool) {
	const weight = 0.02
	sample := 0.0
	if admitted {
		sample = 1
	}
	cs.admittedShare = (1-weight)*cs.admittedShare + weight*sample
}

// updateFairLevel computes the max-min fair level of work per team. Teams below
// it are admitted in full, and the others share the rest of the admitted work
// equally. It also removes teams that sent no request for a window and whose work
// has decayed to almost nothing.
func (cs *classState) updateFairLevel(now time.Time, window time.Duration) {
	const minWork = 1e-3 // seconds of work
	works := make([]float64, 0, len(cs.teams))
	sum := 0.0
	for name, t := range cs.teams {
		w := t.workAt(now, window)
		if w < minWork && now.Sub(t.updated) > window {
			delete(cs.teams, name)
			continue
		}
		works = append(works, w)
	}
	slices.Sort(works)
	for _, w := range works {
		sum += w
	}
	cs.fairLevel = maxMinFairLevel(works, cs.meanAdmitChance*sum)
}

// maxMinFairLevel returns the level at which works, each limited to that level,
// add up to total. It is infinite if works add up to less than total. The works
// must be in ascending order.
func maxMinFairLevel(works []float64, total float64) float64 {
	for i, w := range works {
		remaining := float64(len(works) - i)
		if w*remaining >= total {
			return total / remaining
		}
		total -= w
	}
	return math.Inf(1)
}

// queueAllows reports whether the wait q.MeanQueueTime, which Admit has set to the
// result of effectiveWait, is short enough for q. Above the share rampStart of
// cs.maxWait, only some requests are admitted, chosen at random: many instances act
// on the same delayed reports and would otherwise all start and stop admitting at
// the same time. Requests of teams below the fair level are not refused at random;
// they are admitted up to the whole of cs.maxWait.
func (cs *classState) queueAllows(q Query, rampStart float64, rng *rand.Rand) bool {
	const weight = 0.02
	chance := (cs.maxWait - q.MeanQueueTime.Seconds()) / (cs.maxWait * (1 - rampStart))
	chance = min(max(chance, 0), 1)
	cs.meanAdmitChance = (1-weight)*cs.meanAdmitChance + weight*chance
	if chance == 0 || chance == 1 {
		return chance == 1
	}
	work := cs.teams[q.Team].work
	if work <= cs.fairLevel {
		return true
	}
	// The team's requests are admitted with a probability of fairLevel/work, scaled
	// by the ratio of this request's chance to the mean chance.
	return rng.Float64()*work*cs.meanAdmitChance < chance*cs.fairLevel
}
