package endpoint

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/datacentre/datacentretest"
	"redwingknot/engine"
	"redwingknot/metastore"
	"redwingknot/note"
)

// slotClock is a service and a clock that a test moves.
type slotClock struct {
	now time.Time
	kv  *datacentretest.KV
}

func newSlotClock() *slotClock {
	c := &slotClock{now: time.Unix(1e9, 0)}
	c.kv = datacentretest.NewKV(func() time.Time { return c.now })
	return c
}

func (c *slotClock) lease(t *testing.T) metastore.LeaseID {
	id, err := c.kv.Grant(t.Context(), PurposeSlots, time.Hour)
	assert.NilError(t, err)
	return id
}

func (c *slotClock) slots(limit int) *slots {
	s := newSlots(c.kv, "i", "llm")
	s.limit = limit
	return s
}

func TestSlotOfAnEndedLeadIsUsableOnceItsOrdersHaveSettled(t *testing.T) {
	c := newSlotClock()
	a, b := c.slots(1), c.slots(1)
	leaseA, leaseB := c.lease(t), c.lease(t)
	assert.NilError(t, a.sync(t.Context(), c.now, leaseA, 1, 0))
	assert.NilError(t, b.sync(t.Context(), c.now, leaseB, 1, 0))
	c.now = c.now.Add(time.Minute)
	assert.Equal(t, a.usable(c.now, leaseA), 1)
	assert.Equal(t, b.usable(c.now, leaseB), 0)
	assert.NilError(t, c.kv.Revoke(t.Context(), PurposeSlots, leaseA))
	assert.NilError(t, b.sync(t.Context(), c.now, leaseB, 1, 0))
	assert.Equal(t, len(b.held), 1)
	assert.Equal(t, b.usable(c.now.Add(settleTime), leaseB), 0)
	assert.Equal(t, b.usable(c.now.Add(slotCallTimeout+settleTime), leaseB), 1)
}

func TestSlotInUseIsKept(t *testing.T) {
	c := newSlotClock()
	s := c.slots(1)
	id := c.lease(t)
	assert.NilError(t, s.sync(t.Context(), c.now, id, 2, 0))
	c.now = c.now.Add(slotTenure + time.Minute)
	assert.NilError(t, s.sync(t.Context(), c.now, id, 2, 1))
	assert.Equal(t, len(s.held), 1)
	assert.NilError(t, s.sync(t.Context(), c.now, id, 2, 0))
	assert.Equal(t, len(s.held), 0)
}

func TestSlotCreatedWithALostAnswerIsFound(t *testing.T) {
	c := newSlotClock()
	s := c.slots(1)
	id := c.lease(t)
	c.kv.Fault = func(op string) datacentretest.Fault {
		if op == "create" {
			return datacentretest.FaultLostAnswer
		}
		return datacentretest.FaultNone
	}
	assert.Assert(t, s.sync(t.Context(), c.now, id, 1, 0) != nil)
	assert.Equal(t, len(s.held), 0)
	c.now = c.now.Add(slotRetry)
	assert.NilError(t, s.sync(t.Context(), c.now, id, 1, 0))
	assert.Equal(t, len(s.held), 1)
}

func TestOrderThatMayStillBeginHoldsItsSlot(t *testing.T) {
	state := stateOf("v2", 2, 1)
	now := time.Unix(1e9, 0)
	worker := func(name string, at time.Time, fresh bool) Worker {
		return Worker{
			Endpoint:  state.Endpoints[name],
			Report:    engine.Report{Model: "m", Version: "v1", Adapters: []string{"a@1"}, At: at},
			Reachable: fresh,
		}
	}
	in := func(workers ...Worker) PlanInput {
		one := map[string]int{"llm": 1}
		return PlanInput{State: state, Workers: workers, Slots: one, AllowedStarts: one, Fence: 1}
	}
	p := NewPlanner(0)
	first := p.Plan(now, in(worker("w0", now, true), worker("w1", now, true)))
	assert.Equal(t, len(first.Orders), 1)
	early := now.Add(time.Second)
	second := p.Plan(early, in(worker("w0", early, false), worker("w1", early, true)))
	assert.Equal(t, len(second.Orders), 0)
	late := now.Add(settleTime + reportLag + time.Second)
	third := p.Plan(late, in(worker("w0", late, false), worker("w1", late, true)))
	assert.Equal(t, len(third.Orders), 1)
}

func TestPlainServicesGetNoOrders(t *testing.T) {
	_, wanted := WantedOrder(stateOf("v1", 1, 1), note.Service{Name: "app", Kind: note.KindPlain, Model: "m"})
	assert.Assert(t, !wanted)
}
