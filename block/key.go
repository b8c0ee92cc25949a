package block

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash/fnv"
)

const (
	// KeyBytes is the size of a key in bytes.
	KeyBytes = 32
	// tagBytes is the size in bytes of the tag: the leading bytes that the keys of
	// one prompt have in common.
	tagBytes = 8
)

// Partitions is the number of partitions of the key space. Keys are assigned to home
// instances and listed at stores by partition.
const Partitions = 4096

// partitionDigits is the number of leading hexadecimal digits of a key that
// name its partition. It equals store.PartitionDigits.
const partitionDigits = 3

// Key identifies the KV cache block of one piece of a prompt. It depends on all
// earlier pieces too. The keys of a prompt's pieces, in order, are its chain. Their
// leading bytes, the tag, are the same for the whole chain, so that all blocks of a
// prompt are in the directory of one home instance.
type Key [KeyBytes]byte

// Partition is the number of a partition of the key space, below Partitions.
type Partition uint16

// Chain returns the keys of the full pieces of prompt, which have pieceBytes each; a
// shorter rest of the prompt has no key. Each key is a hash of pieceBytes and of the
// team, model, adapter, weight version and all pieces up to its own, so that blocks
// of different teams or versions can't have the same key. The adapter includes its
// own version.
func Chain(team, model, adapter, version string, prompt []byte, pieceBytes int) []Key {
	if pieceBytes <= 0 {
		return nil
	}
	hash := hashScope(pieceBytes, team, model, adapter, version)
	keys := make([]Key, 0, len(prompt)/pieceBytes)
	for len(prompt) >= pieceBytes {
		hash = hashPiece(hash, prompt[:pieceBytes])
		keys = append(keys, keyFromHash(keys, hash))
		prompt = prompt[pieceBytes:]
	}
	return keys
}

// hashScope hashes the fields, each preceded by its length. Without the lengths,
// fields that differ only in where one ends and the next begins would have the same
// hash.
func hashScope(pieceBytes int, fields ...string) [sha256.Size]byte {
	buf := binary.BigEndian.AppendUint64(nil, uint64(pieceBytes))
	for _, f := range fields {
		buf = binary.BigEndian.AppendUint64(buf, uint64(len(f)))
		buf = append(buf, f...)
	}
	return sha256.Sum256(buf)
}

// hashPiece returns the hash of a piece together with previous, the hash for the pieces
// before it.
func hashPiece(previous [sha256.Size]byte, piece []byte) [sha256.Size]byte {
	h := sha256.New()
	h.Write(previous[:])
	h.Write(piece)
	var hash [sha256.Size]byte
	h.Sum(hash[:0])
	return hash
}

// keyFromHash returns the hash as a key, with its leading bytes replaced by the tag
// of the chain's first key.
func keyFromHash(chain []Key, hash [sha256.Size]byte) Key {
	k := Key(hash)
	if len(chain) > 0 {
		copy(k[:tagBytes], chain[0][:tagBytes])
	}
	return k
}

// String returns the key as hexadecimal digits.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Partition returns the partition of the key.
func (k Key) Partition() Partition { return Partition(binary.BigEndian.Uint16(k[:]) >> 4) }

// Prefix returns the leading hexadecimal digits that the keys of the partition have
// in common.
func (p Partition) Prefix() string {
	var b [2]byte
	binary.BigEndian.PutUint16(b[:], uint16(p)<<4)
	return hex.EncodeToString(b[:])[:partitionDigits]
}

// ParseKey is the inverse of Key.String. It returns a *KeyError for any other text.
func ParseKey(s string) (Key, error) {
	var k Key
	if len(s) != hex.EncodedLen(KeyBytes) {
		return k, &KeyError{Text: s}
	}
	if _, err := hex.Decode(k[:], []byte(s)); err != nil {
		return k, &KeyError{Text: s}
	}
	return k, nil
}

// keyFromBytes returns the key in a message field, or a *KeyError if its length is
// wrong.
func keyFromBytes(b []byte) (Key, error) {
	if len(b) != KeyBytes {
		return Key{}, &KeyError{Text: hex.EncodeToString(b)}
	}
	return Key(b), nil
}

// HomeOf returns the home of a partition: the instance with the highest rendezvous
// hash, or the empty string if there are no instances. When an instance joins or
// leaves, only the partitions that it gets or had change their home.
func HomeOf(p Partition, instances []string) string {
	var best string
	var bestWeight uint64
	for _, instance := range instances {
		w := rendezvousWeight(p, instance)
		if best == "" || w > bestWeight || (w == bestWeight && instance < best) {
			best, bestWeight = instance, w
		}
	}
	return best
}

// rendezvousWeight returns the rendezvous hash of a partition and an instance.
func rendezvousWeight(p Partition, instance string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(instance))
	return mix(h.Sum64() ^ uint64(p)*0x9e3779b97f4a7c15)
}

// mix mixes the bits of x, because FNV alone gives short inputs similar high bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
