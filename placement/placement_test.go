package placement

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"redwingknot/place"
	"redwingknot/relay"
	"redwingknot/wire"
)

// request returns a request of a group.
func request(group int) *relay.PlacementRequest {
	return &relay.PlacementRequest{
		Service: "s", SessionHash: 1 << 63, IsolatedTeam: "t", Priority: 2, Target: time.Second, Group: group, Groups: 9,
		Prompt: &relay.Prompt{Model: "m", InputTokens: 9000, MaxOutputTokens: 7, Parts: []relay.Part{{ID: "a", Tokens: 7500}, {ID: "own", Tokens: 1500}}},
	}
}

// groupOwnedBy returns a group whose owner among the names is the given one.
func groupOwnedBy(t *testing.T, owner string, names ...string) int {
	t.Helper()
	var hashes []uint64
	for _, name := range names {
		hashes = append(hashes, place.Hash(name))
	}
	for group := range 100 {
		if names[place.GroupOwner(place.Hash("s"), group, hashes)] == owner {
			return group
		}
	}
	t.Fatalf("%s owns no group", owner)
	return 0
}

func TestRequestKeepsItsFields(t *testing.T) {
	assert.DeepEqual(t, decodeRequest(encodeRequest(request(3))), request(3))
}

func TestOwnerChoosesForOthers(t *testing.T) {
	key := []byte("key")
	var asked *relay.PlacementRequest
	owner := New(Options{Self: "owner", Key: key, Now: time.Now, Chooser: ChooserFunc(func(r *relay.PlacementRequest) string {
		asked = r
		return "e-7"
	})})
	server := wire.NewServer(key)
	owner.Register(server)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-served)
	})

	asker := New(Options{Self: "asker", Key: key, Now: time.Now})
	asker.SetInstances(map[string]string{"owner": listener.Addr().String()})
	r := request(groupOwnedBy(t, "owner", "asker", "owner"))
	poll.WaitOn(t, func(poll.LogT) poll.Result { // the first answers may come late on a busy machine
		endpointID, own := asker.Place(t.Context(), r)
		if own || endpointID != "e-7" {
			return poll.Continue("%q, own: %v", endpointID, own)
		}
		return poll.Success()
	}, poll.WithTimeout(90*time.Second))
	assert.DeepEqual(t, asked, r)
}

func TestOwnGroupIsNotAsked(t *testing.T) {
	p := New(Options{Self: "a", Now: time.Now})
	endpointID, own := p.Place(t.Context(), request(0))
	assert.Check(t, own)
	assert.Equal(t, endpointID, "")
}

// TestSilentOwnerIsNotAskedAgain checks that an owner that accepts connections but never
// answers holds up only one prompt, until ownerBackoff has passed.
func TestSilentOwnerIsNotAskedAgain(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	now := time.Unix(100, 0)
	p := New(Options{Self: "asker", Key: []byte("key"), Now: func() time.Time { return now }})
	p.SetInstances(map[string]string{"owner": listener.Addr().String()})
	r := request(groupOwnedBy(t, "owner", "asker", "owner"))
	endpointID, own := p.Place(t.Context(), r)
	assert.Check(t, endpointID == "" && !own)
	_, o := p.ownerOf(r)
	assert.Check(t, !o.mayAsk(now.Add(ownerBackoff-1)))
	assert.Check(t, o.mayAsk(now.Add(ownerBackoff)))
	p.SetInstances(nil)
	_, own = p.Place(t.Context(), r)
	assert.Check(t, own, "the groups of an instance that has left belong to the others")
}
