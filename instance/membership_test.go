package instance

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"redwingknot/instance/instancetest"
)

// process is a Membership that runs on an in-memory network.
type process struct {
	*Membership
	stop context.CancelFunc
	done chan error // receives the result of Run, then is closed
}

// startProcess runs a Membership of self until ctx ends or stop is called.
func startProcess(t testing.TB, ctx context.Context, n *instancetest.Network, self Member, seeds ...string) *process {
	t.Helper()
	m, err := New(Config{Self: self, Seeds: seeds, Caller: n.Caller(self.Addr)})
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(ctx)
	p := &process{Membership: m, stop: stop, done: make(chan error, 1)}
	instancetest.Handle(n, self.Addr, MethodHeartbeat, m.HandleHeartbeat)
	go func() {
		err := m.Run(ctx)
		n.Stop(self.Addr)
		stop()
		p.done <- err
		close(p.done)
	}()
	return p
}

// member returns the i-th instance of a data centre.
func member(dc string, i int) Member {
	id := fmt.Sprintf("%s-%d", dc, i)
	return Member{ID: id, Incarnation: 1, DataCentre: dc, Addr: id + ":1"}
}

func TestInstancesFindEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := instancetest.NewNetwork()
		var all []*process
		for _, dc := range []string{"ilala", "temeke"} {
			for i := range 3 {
				all = append(all, startProcess(t, t.Context(), n, member(dc, i), "ilala-0:1"))
			}
		}
		time.Sleep(20 * time.Second)
		for _, p := range all {
			assert.Equal(t, len(p.Members()), 6, "%s", p.Self().ID)
		}
		all[1].stop()
		time.Sleep(15 * time.Second)
		assert.Assert(t, !all[0].IsAlive("ilala-1"))
		assert.Assert(t, !all[5].IsAlive("ilala-1"))
	})
}

func TestLeavingInstanceOwnsNoKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := instancetest.NewNetwork()
		var all []*process
		for i := range 5 {
			p := startProcess(t, t.Context(), n, member("ilala", i), "ilala-0:1")
			p.SetReady(true)
			all = append(all, p)
		}
		time.Sleep(20 * time.Second)
		all[2].Leave(t.Context())
		for _, p := range all {
			assert.Assert(t, p.IsAlive("ilala-2"))
			for k := range 50 {
				assert.Assert(t, p.OwnerOf(fmt.Sprint(k)).ID != "ilala-2")
			}
		}
	})
}

func TestSupersededProcessEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := instancetest.NewNetwork()
		startProcess(t, t.Context(), n, member("ilala", 0))
		old := startProcess(t, t.Context(), n, member("ilala", 1), "ilala-0:1")
		time.Sleep(10 * time.Second)
		replacement := member("ilala", 1)
		replacement.Incarnation, replacement.Addr = 2, "elsewhere:1"
		startProcess(t, t.Context(), n, replacement, "ilala-0:1")
		time.Sleep(10 * time.Second)
		var superseded *SupersededError
		select {
		case err := <-old.done:
			assert.Assert(t, errors.As(err, &superseded))
		case <-time.After(time.Minute):
			t.Fatal("the superseded process is still running")
		}
		assert.Equal(t, superseded.OtherIncarnation, uint64(2))
	})
}
