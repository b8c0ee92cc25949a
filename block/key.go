package block

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash/fnv"
)

const (
	// KeyBytes is the size of a key.
	KeyBytes = 32
	// tagBytes is the part of a key that all blocks of one chain share.
	tagBytes = 8
)

// Partitions is the number of parts into which keys are divided for placement
// on home instances and for listing at stores.
const Partitions = 4096

// partitionDigits is the number of leading hexadecimal digits of a key that
// name its partition.
const partitionDigits = 3

// Key names the KV cache of one piece of a prompt together with all that comes
// before it. Its first bytes, the tag, are equal along a chain, so that one
// home instance knows all blocks of a prompt.
type Key [KeyBytes]byte

// Partition is one of the Partitions parts of the key space.
type Partition uint16

// Chain returns the keys of the full pieces of prompt. Each key covers the
// team, model, adapter and weight version as well as all earlier pieces, so
// blocks of different teams or versions can't have a key in common. The
// adapter includes its own version.
func Chain(team, model, adapter, version string, prompt []byte, pieceBytes int) []Key {
	if pieceBytes <= 0 {
		return nil
	}
	link := chainSeed(pieceBytes, team, model, adapter, version)
	keys := make([]Key, 0, len(prompt)/pieceBytes)
	for len(prompt) >= pieceBytes {
		link = chainLink(link, prompt[:pieceBytes])
		keys = append(keys, chainKey(keys, link))
		prompt = prompt[pieceBytes:]
	}
	return keys
}

// chainSeed hashes the fields behind their lengths: without the lengths, fields
// that differ only in where one ends and the next begins would meet.
func chainSeed(pieceBytes int, fields ...string) [sha256.Size]byte {
	buf := binary.BigEndian.AppendUint64(nil, uint64(pieceBytes))
	for _, f := range fields {
		buf = binary.BigEndian.AppendUint64(buf, uint64(len(f)))
		buf = append(buf, f...)
	}
	return sha256.Sum256(buf)
}

func chainLink(previous [sha256.Size]byte, piece []byte) [sha256.Size]byte {
	h := sha256.New()
	h.Write(previous[:])
	h.Write(piece)
	var link [sha256.Size]byte
	h.Sum(link[:0])
	return link
}

// chainKey puts the tag of the chain's first key before the link's hash.
func chainKey(chain []Key, link [sha256.Size]byte) Key {
	k := Key(link)
	if len(chain) > 0 {
		copy(k[:tagBytes], chain[0][:tagBytes])
	}
	return k
}

// String returns the key in hexadecimal digits.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Partition returns the partition of the key.
func (k Key) Partition() Partition { return Partition(binary.BigEndian.Uint16(k[:]) >> 4) }

// Prefix returns the leading digits that the keys of the partition share.
func (p Partition) Prefix() string {
	var b [2]byte
	binary.BigEndian.PutUint16(b[:], uint16(p)<<4)
	return hex.EncodeToString(b[:])[:partitionDigits]
}

// ParseKey is the inverse of String.
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

// keyFromBytes reads a key of a message.
func keyFromBytes(b []byte) (Key, error) {
	if len(b) != KeyBytes {
		return Key{}, &KeyError{Text: hex.EncodeToString(b)}
	}
	return Key(b), nil
}

// HomeOf returns the instance with the highest rendezvous hash of the partition,
// the empty string if there is none. When an instance comes or goes, only the
// partitions that it gains or had change their home.
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

func rendezvousWeight(p Partition, instance string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(instance))
	return mix(h.Sum64() ^ uint64(p)*0x9e3779b97f4a7c15)
}

// mix spreads the bits of x; FNV alone leaves the high bits of short inputs alike.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
