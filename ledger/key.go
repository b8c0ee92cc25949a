package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/google/uuid"
)

const (
	maxKeyBytes = 255
	idBytes     = 16
	uuidV7      = 7
	msPerSecond = 1000
)

// Key names one call of a team to a service. ID is the caller's idempotency
// key: a UUID of version 7, which carries the time at which it was made.
type Key struct {
	Team    string
	Service string
	ID      string
}

// keyID identifies a Key in the log: the start of the SHA-256 over its parts.
type keyID [idBytes]byte

// claimID identifies one claim. No two claims of any instances share one.
type claimID [idBytes]byte

// id returns the key's identity. Each part goes behind its length, so that the
// keys of two teams can't meet.
func (k Key) id() keyID {
	h := sha256.New()
	for _, part := range []string{k.Team, k.Service, k.ID} {
		h.Write(binary.AppendUvarint(nil, uint64(len(part))))
		h.Write([]byte(part))
	}
	return keyID(h.Sum(nil)[:idBytes])
}

// minted returns the time in the key's UUID; ok is false if there is none.
func (k Key) minted() (t time.Time, ok bool) {
	id, err := uuid.Parse(k.ID)
	if err != nil || id.Version() != uuidV7 {
		return time.Time{}, false
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), true
}

// shard returns the shard that the key belongs to.
func (id keyID) shard(shards int) int {
	return int(binary.BigEndian.Uint64(id[:8]) % uint64(shards))
}

// newClaimID derives a claim's identity from the instance, which is unique for
// each start of a process, and the claim's number there.
func newClaimID(instance string, number uint64) claimID {
	sum := sha256.Sum256(binary.BigEndian.AppendUint64([]byte(instance), number))
	return claimID(sum[:idBytes])
}
