package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"redwingknot/instance"
	"redwingknot/note"
	"redwingknot/team"
)

// limits lets the data path use the team limiter.
type limits struct {
	limiter *team.Limiter
}

// newLimits returns limits shared by all listed instances. Before the first
// list, and without one, the instances in contact share them.
func newLimits(self string, l *lists, m *instance.Membership) *limits {
	members := func() []string {
		names := l.names()
		if len(names) == 0 {
			names = ids(m.Members())
		}
		if !slices.Contains(names, self) {
			names = append(slices.Clone(names), self)
		}
		return names
	}
	return &limits{limiter: team.NewLimiter(team.Config{Self: self, Members: members, Now: time.Now, Rand: rand.Float64})}
}

// Allow implements serve.Limiter.
func (l *limits) Allow(t note.Team) (bool, time.Duration) { return l.limiter.Allow(t.Name, t) }

// run exchanges shares with the other instances.
func (l *limits) run(p peers) func(context.Context) error {
	return func(ctx context.Context) error { return l.limiter.Run(ctx, p.named) }
}
