package fleetworker_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"redwingknot/internal/standin/fleetworker"
	"redwingknot/platform"
	"redwingknot/promptcache"
)

// TestCacheStoreSpeaksToItsClient covers the events, the list and the calls to free parts, as the
// client of gateways reads and makes them.
func TestCacheStoreSpeaksToItsClient(t *testing.T) {
	store := fleetworker.NewCacheStore(fleetworker.CacheStoreOptions{Tokens: 1000})
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	addr, client, ctx := server.Listener.Addr().String(), platform.NewCacheStoreClient(nil), context.Background()
	save := func(id string) {
		body := fmt.Sprintf(`{"salt":"m|1","id":%q,"model":"m","tokens":100,"weights":1}`, id)
		req, err := http.NewRequest(http.MethodPut, server.URL+"/standin/part", bytes.NewReader([]byte(body)))
		assert.NilError(t, err)
		res, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		res.Body.Close()
	}
	part := func(id string) promptcache.Part { return promptcache.Part{Partition: "m|1", ID: id} }
	save("aa")
	list, err := client.Changes(ctx, addr, 0, true, false)
	assert.NilError(t, err)
	assert.DeepEqual(t, list.Changes, []promptcache.Change{{Part: part("aa"), Tokens: 100}})
	assert.Check(t, list.ClockMillis > time.Now().UnixMilli() && list.Epoch != 0)

	time.AfterFunc(20*time.Millisecond, func() { save("bb") })
	events, err := client.Changes(ctx, addr, list.NextEvent, false, true)
	assert.NilError(t, err)
	assert.DeepEqual(t, events.Changes, []promptcache.Change{{Part: part("bb"), Tokens: 100}})
	assert.Check(t, !events.Gap && events.NextEvent == list.NextEvent+1)

	both := []promptcache.Part{part("aa"), part("bb")}
	assert.ErrorContains(t, client.Free(ctx, addr, both, list.Epoch, list.ClockMillis-1), "Conflict")
	assert.ErrorContains(t, client.Free(ctx, addr, both, list.Epoch+1, list.ClockMillis+60_000), "Conflict")
	assert.Equal(t, len(store.Parts()), 2)
	assert.NilError(t, client.Free(ctx, addr, both, list.Epoch, list.ClockMillis+60_000))
	assert.Equal(t, len(store.Parts()), 0)
	freed, err := client.Changes(ctx, addr, events.NextEvent, false, false)
	assert.NilError(t, err)
	assert.Check(t, len(freed.Changes) == 2 && !slices.ContainsFunc(freed.Changes, func(c promptcache.Change) bool { return !c.Removed }))
	gap, err := client.Changes(ctx, addr, freed.NextEvent+1, false, false)
	assert.NilError(t, err)
	assert.Check(t, gap.Gap)

	save("cc")
	store.Restart()
	empty, err := client.Changes(ctx, addr, 0, true, false)
	assert.NilError(t, err)
	assert.Check(t, len(empty.Changes) == 0 && empty.Epoch != list.Epoch)
}
