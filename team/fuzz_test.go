package team

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"redwingknot/internal/fuzztest"
)

const (
	step     = 50 * time.Millisecond
	listLag  = 4 * time.Second // the list reaches every member within
	maxNodes = 6
)

// limitMachine drives a world with faults and checks the stated bound: in any
// window of T seconds at most
//
//	(T*Rate + Burst) * (1-Floor + Floor*sum(1/N)) + spare*members + starts * (spare + Floor*Burst/N)
//
// requests of a team are admitted, where the sum is over the live instances, N
// is the longest member list that each has seen within Hold, of Burst the largest
// such sum in the window counts, and starts counts
// the instances that began in the window.
type limitMachine struct {
	w         *world
	limit     float64
	burst     float64
	meter     meter
	lastList  time.Time
	listStale bool
	factor    float64 // largest 1-Floor + Floor*sum(1/N) since the level was 0
}

// run moves the world on while the given nodes get more requests than the limit
// admits. The list is spread before its lag is over.
func (s *limitMachine) run(t *rapid.T, d time.Duration, loaded ...*node) {
	for end := s.w.now.Add(d); s.w.now.Before(end); {
		before := s.w.floors()
		s.w.now = s.w.now.Add(step)
		f := s.w.cfg.Floor
		factor := 1 - f + f*max(before, s.w.floors())
		s.meter.drain(s.limit*factor, step)
		s.factor = max(s.factor, factor)
		if s.meter.level == 0 {
			s.factor = factor
		}
		s.w.deliver()
		if s.w.now.UnixMilli()%1000 == 0 {
			s.w.tick()
		}
		for _, n := range loaded {
			s.load(n)
		}
		s.check(t)
		if s.listStale && s.w.now.Sub(s.lastList) >= listLag {
			s.w.spread()
			s.listStale = false
		}
	}
}

func (s *limitMachine) changed() {
	if !s.listStale {
		s.listStale, s.lastList = true, s.w.now
	}
}

func (s *limitMachine) check(t *rapid.T) {
	if bound := s.burst*s.factor + spare*maxNodes; s.meter.level > bound+1e-6 {
		t.Fatalf("level %.2f above the bound %.2f", s.meter.level, bound)
	}
}

func (s *limitMachine) start() {
	s.w.start()
	n := float64(len(s.w.members))
	s.meter.drain(spare+s.w.cfg.Floor*s.burst/n, time.Second)
	s.changed()
}

func (s *limitMachine) load(n *node) {
	const overload = 2
	for range int(overload*s.limit*step.Seconds()) + 1 {
		if ok, _ := n.limiter.Allow("ilala", limitOf(s.limit, s.burst)); ok {
			s.meter.admit()
		}
	}
}

func TestFuzzLimit(t *testing.T) {
	fuzztest.Check(t, func(t *rapid.T) {
		s := &limitMachine{
			w:     newWorld(Config{}, rapid.Uint64().Draw(t, "seed")),
			limit: rapid.SampledFrom([]float64{5, 400}).Draw(t, "rate"),
			burst: rapid.SampledFrom([]float64{1, 10, 50}).Draw(t, "burst"),
		}
		s.w.loss = func() bool { return s.w.cfg.Rand() < 0.1 }
		s.w.copied = func() bool { return s.w.cfg.Rand() < 0.1 }
		s.w.delay = func() time.Duration { return time.Duration(s.w.cfg.Rand() * s.w.cfg.Rand() * float64(2*time.Second)) }
		for range rapid.IntRange(2, maxNodes).Draw(t, "nodes") {
			s.start()
		}
		s.w.spread()
		pick := func(t *rapid.T) int { return rapid.IntRange(0, len(s.w.nodes)-1).Draw(t, "node") }
		seconds := func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds")) * time.Second
		}
		t.Repeat(map[string]func(*rapid.T){
			"load one": func(t *rapid.T) { s.run(t, seconds(t), s.w.nodes[pick(t)]) },
			"load all": func(t *rapid.T) { s.run(t, seconds(t), s.w.nodes...) },
			"rest":     func(t *rapid.T) { s.run(t, seconds(t)) },
			"cut":      func(t *rapid.T) { s.w.nodes[pick(t)].cut = true },
			"rejoin":   func(t *rapid.T) { s.w.nodes[pick(t)].cut = false },
			"start": func(t *rapid.T) {
				if len(s.w.nodes) < maxNodes {
					s.start()
				}
			},
			"kill": func(t *rapid.T) {
				if len(s.w.nodes) > 1 {
					s.w.kill(pick(t))
					s.w.removeListed()
					s.changed()
				}
			},
			"one learns the list": func(t *rapid.T) { s.w.nodes[pick(t)].listed = s.w.members },
		})
	})
}
