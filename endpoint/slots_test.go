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

// slotFixture is a simulated key-value service with a clock that the test advances.
type slotFixture struct {
	now time.Time
	kv  *datacentretest.KV
}

func newSlotFixture() *slotFixture {
	f := &slotFixture{now: time.Unix(1e9, 0)}
	f.kv = datacentretest.NewKV(func() time.Time { return f.now })
	return f
}

func (f *slotFixture) grantLease(t *testing.T) metastore.LeaseID {
	id, err := f.kv.Grant(t.Context(), PurposeSlots, time.Hour)
	assert.NilError(t, err)
	return id
}

func (f *slotFixture) newLoadSlots(limit int) *loadSlots {
	s := newLoadSlots(f.kv, "i", "llm")
	s.limit = limit
	return s
}

func TestSlotOfEndedLeadIsUsableOnceItsOrdersHaveSettled(t *testing.T) {
	f := newSlotFixture()
	a, b := f.newLoadSlots(1), f.newLoadSlots(1)
	leaseA, leaseB := f.grantLease(t), f.grantLease(t)
	assert.NilError(t, a.sync(t.Context(), f.now, leaseA, 1, 0))
	assert.NilError(t, b.sync(t.Context(), f.now, leaseB, 1, 0))
	f.now = f.now.Add(time.Minute)
	assert.Equal(t, a.usableCount(f.now, leaseA), 1)
	assert.Equal(t, b.usableCount(f.now, leaseB), 0)
	assert.NilError(t, f.kv.Revoke(t.Context(), PurposeSlots, leaseA))
	assert.NilError(t, b.sync(t.Context(), f.now, leaseB, 1, 0))
	assert.Equal(t, len(b.held), 1)
	assert.Equal(t, b.usableCount(f.now.Add(settleTime), leaseB), 0)
	assert.Equal(t, b.usableCount(f.now.Add(slotCallTimeout+settleTime), leaseB), 1)
}

func TestSlotInUseIsKept(t *testing.T) {
	f := newSlotFixture()
	s := f.newLoadSlots(1)
	id := f.grantLease(t)
	assert.NilError(t, s.sync(t.Context(), f.now, id, 2, 0))
	f.now = f.now.Add(slotHoldTime + time.Minute)
	assert.NilError(t, s.sync(t.Context(), f.now, id, 2, 1))
	assert.Equal(t, len(s.held), 1)
	assert.NilError(t, s.sync(t.Context(), f.now, id, 2, 0))
	assert.Equal(t, len(s.held), 0)
}

func TestSlotIsFoundAfterAnswerToCreateIsLost(t *testing.T) {
	f := newSlotFixture()
	s := f.newLoadSlots(1)
	id := f.grantLease(t)
	f.kv.Fault = func(op string) datacentretest.Fault {
		if op == "create" {
			return datacentretest.FaultLostAnswer
		}
		return datacentretest.FaultNone
	}
	assert.Assert(t, s.sync(t.Context(), f.now, id, 1, 0) != nil)
	assert.Equal(t, len(s.held), 0)
	f.now = f.now.Add(slotRetryInterval)
	assert.NilError(t, s.sync(t.Context(), f.now, id, 1, 0))
	assert.Equal(t, len(s.held), 1)
}

func TestOrderThatMayStillStartKeepsItsSlot(t *testing.T) {
	state := stateOf("v2", 2, 1)
	now := time.Unix(1e9, 0)
	worker := func(name string, at time.Time, reachable bool) Worker {
		return Worker{
			Endpoint:  state.Endpoints[name],
			Report:    engine.Report{Model: "m", Version: "v1", Adapters: []string{"a@1"}, At: at},
			Reachable: reachable,
		}
	}
	in := func(workers ...Worker) PlanInput {
		one := map[string]int{"llm": 1}
		return PlanInput{State: state, Workers: workers, Slots: one, AllowedStarts: one, FencingToken: 1}
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
