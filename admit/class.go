package admit

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"redwingknot/contract"
)

// class is the state of one request class. Its fields are owned by the
// Controller's mutex.
type class struct {
	spec      contract.Class
	cost      float64 // mean processing time of a request, in seconds
	seen      time.Time
	allowance float64 // seconds of queue that the class may find
	admitted  float64 // share of recent requests admitted
	open      float64 // mean chance that the queue left to recent requests

	teams map[string]*team
	level float64 // offered work of a team up to which it is not thinned out
}

// team is the work that a team has offered of late, in seconds of processing,
// decaying over the window.
type team struct {
	work float64
	at   time.Time
}

func newClass(spec contract.Class) *class {
	return &class{
		spec:      spec,
		allowance: spec.FirstIn.Seconds(),
		admitted:  1,
		open:      1,
		teams:     map[string]*team{},
		level:     math.Inf(1),
	}
}

// byDensity orders classes from the most worth a second of processing.
func byDensity(a, b *class) int {
	if c := cmp.Compare(b.density(), a.density()); c != 0 {
		return c
	}
	return cmp.Compare(a.spec.Name, b.spec.Name)
}

func (k *class) density() float64 {
	const least = 1e-6
	return k.spec.Worth / max(k.cost, least)
}

func (k *class) idle(now time.Time, window time.Duration) bool {
	return now.Sub(k.seen) > 6*window
}

// offered counts a request before its admission is decided.
func (k *class) offered(q Query, now time.Time, window time.Duration) {
	const weight = 0.02
	cost := q.Cost.Seconds()
	if k.seen.IsZero() {
		k.cost = cost
	}
	k.seen = now
	k.cost = (1-weight)*k.cost + weight*cost
	t, ok := k.teams[q.Team]
	if !ok {
		t = &team{at: now}
		k.teams[q.Team] = t
	}
	t.work = t.workAt(now, window) + cost
	t.at = now
}

func (t *team) workAt(now time.Time, window time.Duration) float64 {
	return t.work * math.Exp(-now.Sub(t.at).Seconds()/window.Seconds())
}

func (k *class) decided(admitted bool) {
	const weight = 0.02
	x := 0.0
	if admitted {
		x = 1
	}
	k.admitted = (1-weight)*k.admitted + weight*x
}

// setLevel works out the max-min fair level: the teams that offer less pass
// whole, and the others share equally what is left of the admitted work.
func (k *class) setLevel(now time.Time, window time.Duration) {
	const forget = 1e-3 // seconds of work
	works := make([]float64, 0, len(k.teams))
	sum := 0.0
	for name, t := range k.teams {
		w := t.workAt(now, window)
		if w < forget && now.Sub(t.at) > window {
			delete(k.teams, name)
			continue
		}
		works = append(works, w)
	}
	slices.Sort(works)
	for _, w := range works {
		sum += w
	}
	k.level = waterLevel(works, k.open*sum)
}

// waterLevel returns the level at which sorted works, each cut to it, sum up to
// total; it is infinite if they all fit.
func waterLevel(works []float64, total float64) float64 {
	for i, w := range works {
		rest := float64(len(works) - i)
		if w*rest >= total {
			return total / rest
		}
		total -= w
	}
	return math.Inf(1)
}

// passes reports whether the queue leaves room for q. Near the allowance only a
// part passes, drawn at random so that many instances with the same late
// reports don't all open and close at once; teams below the level keep the
// whole allowance.
func (k *class) passes(q Query, ramp float64, rng *rand.Rand) bool {
	const weight = 0.02
	chance := (k.allowance - q.MeanQueueTime.Seconds()) / (k.allowance * (1 - ramp))
	chance = min(max(chance, 0), 1)
	k.open = (1-weight)*k.open + weight*chance
	if chance == 0 || chance == 1 {
		return chance == 1
	}
	work := k.teams[q.Team].work
	if work <= k.level {
		return true
	}
	return rng.Float64()*work*k.open < chance*k.level
}
