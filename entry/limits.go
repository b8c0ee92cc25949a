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

// limits implements serve.Limiter with the team limiter.
type limits struct {
	limiter *team.Limiter
}

// newLimits returns limits that all instances in the platform's list share. Until a
// list has been read, and if the list is empty, the instances in contact share them.
func newLimits(self string, lists *platformLists, membership *instance.Membership) *limits {
	members := func() []string {
		instanceIDs := lists.listedInstanceIDs()
		if len(instanceIDs) == 0 {
			instanceIDs = memberIDs(membership.Members())
		}
		if !slices.Contains(instanceIDs, self) {
			instanceIDs = append(slices.Clone(instanceIDs), self)
		}
		return instanceIDs
	}
	return &limits{limiter: team.NewLimiter(team.Config{Self: self, Members: members, Now: time.Now, Rand: rand.Float64})}
}

// Allow implements serve.Limiter.
func (l *limits) Allow(t note.Team) (bool, time.Duration) { return l.limiter.Allow(t.Name, t) }

// runFunc returns the run function of a component that exchanges shares of the limits with
// the other instances.
func (l *limits) runFunc(p peers) func(context.Context) error {
	return func(ctx context.Context) error { return l.limiter.Run(ctx, p.callerOf) }
}
