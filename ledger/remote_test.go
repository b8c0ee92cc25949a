package ledger

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"redwingknot/metastore"
	"redwingknot/wire"
)

// TestClaimThroughOwner checks claims over a connection to the owner, and direct
// claims when the address of the owner is no longer known.
func TestClaimThroughOwner(t *testing.T) {
	f := newFakeService()
	owner := openLedger(t, f, "owner")
	secret := []byte("secret")
	server := wire.NewServer(secret)
	owner.Register(server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go server.Serve(t.Context(), listener)

	client := wire.NewClient(listener.Addr().String(), secret, nil)
	defer client.Close()
	var opened int
	known := true
	nonOwner := New(Config{
		Instance: "entry",
		OpenLog: func(n int, sm metastore.StateMachine) metastore.Log {
			opened++
			return f.open(n, sm, neverUnreachable)
		},
		Alive: func(string) bool { return true },
		Owner: func(int) (string, bool) { return "owner", false },
		Remote: WireRemote{Client: func(string) wire.Caller {
			if known {
				return client
			}
			return nil
		}},
	})
	defer nonOwner.Close()

	k := keyAt(time.Now(), 1)
	c := mustGrant(t, nonOwner, k)
	assert.NilError(t, nonOwner.Finish(t.Context(), c, Answer{Status: 200, Body: []byte("a")}))
	assert.Equal(t, opened, 0)
	o, err := owner.Claim(t.Context(), k, bodyDigest)
	assert.NilError(t, err)
	assert.DeepEqual(t, o, StoredAnswer{Answer: Answer{Status: 200, Body: []byte("a")}})

	known = false
	mustGrant(t, nonOwner, keyAt(time.Now(), 2))
	assert.Equal(t, opened, 1)
	o, err = nonOwner.Claim(t.Context(), k, bodyDigest)
	assert.NilError(t, err)
	_, isStored := o.(StoredAnswer)
	assert.Assert(t, isStored)
}

// TestOwnerAnswerLost checks that a claim is released if the owner may have written
// it, even though the direct write of the instance was certainly not sent.
func TestOwnerAnswerLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeService()
		owner := openLedger(t, f, "owner")
		var healed atomic.Bool
		nonOwner := New(Config{
			Instance: "entry",
			OpenLog: func(n int, sm metastore.StateMachine) metastore.Log {
				return f.open(n, sm, func() bool { return !healed.Load() })
			},
			Alive: func(string) bool { return true },
			Owner: func(int) (string, bool) { return "owner", false },
			Remote: fakeRemote{ledger: func(string) *Ledger { return owner }, linkFault: func() fault {
				if healed.Load() {
					return faultNone
				}
				return faultAnswerLost
			}},
		})
		defer nonOwner.Close()
		k := keyAt(time.Now(), 1)
		_, err := nonOwner.Claim(t.Context(), k, bodyDigest)
		var notRecorded *ClaimNotRecordedError
		assert.Assert(t, errors.As(err, &notRecorded))
		synctest.Wait()
		healed.Store(true)
		assert.NilError(t, nonOwner.Drain(t.Context()))
		mustGrant(t, owner, k)
	})
}

func TestRendezvousMovesOnlyShardsOfRemovedInstance(t *testing.T) {
	live := []string{"a", "b", "c", "d"}
	owned := map[string]int{}
	for shard := range 400 {
		before := RendezvousOwner(shard, live)
		owned[before]++
		after := RendezvousOwner(shard, live[:3])
		assert.Assert(t, before == after || before == "d")
	}
	for _, name := range live {
		assert.Assert(t, owned[name] > 60, fmt.Sprint(owned))
	}
}
