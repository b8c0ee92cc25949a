package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/google/uuid"
)

const (
	maxKeyBytes = 255
	idBytes     = 16 // length of a keyID, a claimID and the stored part of a body digest
	uuidV7      = 7
	msPerSecond = 1000
)

// Key identifies one call of a team to a service. ID is the idempotency key
// that the caller sent: a version 7 UUID, which contains its creation time.
type Key struct {
	Team    string
	Service string
	ID      string
}

// keyID identifies a Key in the log: the first 16 bytes of the SHA-256 over its
// parts.
type keyID [idBytes]byte

// claimID identifies one claim and is unique over all instances.
type claimID [idBytes]byte

// id returns the keyID of k. Each part is prefixed with its length, so that
// different splits of the same bytes into parts, such as those of two teams,
// hash differently.
func (k Key) id() keyID {
	h := sha256.New()
	for _, part := range []string{k.Team, k.Service, k.ID} {
		h.Write(binary.AppendUvarint(nil, uint64(len(part))))
		h.Write([]byte(part))
	}
	return keyID(h.Sum(nil)[:idBytes])
}

// creationTime returns the time contained in the ID; ok is false if the ID is
// not a version 7 UUID.
func (k Key) creationTime() (t time.Time, ok bool) {
	id, err := uuid.Parse(k.ID)
	if err != nil || id.Version() != uuidV7 {
		return time.Time{}, false
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), true
}

// shard returns the number of the shard that stores the key, out of shards.
func (id keyID) shard(shards int) int {
	return int(binary.BigEndian.Uint64(id[:8]) % uint64(shards))
}

// newClaimID derives a claimID from the name of the instance, which is unique
// for each start of a process, and the number of the claim in that instance.
func newClaimID(instance string, number uint64) claimID {
	sum := sha256.Sum256(binary.BigEndian.AppendUint64([]byte(instance), number))
	return claimID(sum[:idBytes])
}
