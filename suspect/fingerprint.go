package suspect

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"

	"github.com/cespare/xxhash/v2"
)

const fingerprintBytes = 16

// Fingerprint identifies a request, so that it is recognized when it is sent
// again. It is a cryptographic hash, so that no team can construct a request with
// the fingerprint of another team's request.
type Fingerprint [fingerprintBytes]byte

// String implements fmt.Stringer.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MalformedFingerprintError reports bytes that are no fingerprint.
type MalformedFingerprintError struct{ Length int }

// Error implements error.
func (e *MalformedFingerprintError) Error() string {
	return fmt.Sprintf("a fingerprint has %d bytes, not %d", fingerprintBytes, e.Length)
}

// ParseFingerprint converts bytes to a fingerprint. The error is a
// *MalformedFingerprintError.
func ParseFingerprint(b []byte) (Fingerprint, error) {
	if len(b) != fingerprintBytes {
		return Fingerprint{}, &MalformedFingerprintError{Length: len(b)}
	}
	return Fingerprint(b), nil
}

// FingerprintFromString is the inverse of Fingerprint.String. The error is a
// *MalformedFingerprintError.
func FingerprintFromString(s string) (Fingerprint, error) {
	b, err := hex.DecodeString(s)
	if err != nil {
		return Fingerprint{}, &MalformedFingerprintError{Length: len(s) / 2}
	}
	return ParseFingerprint(b)
}

// RequestIdentity is the input of a fingerprint: requests that are equal in all fields
// have the same fingerprint and are taken for the same request. It includes the
// weight version, since a request that crashes endpoints under one version may not
// do so under another. Requests that are relayed unchanged have a Target, and no
// service, model, version and adapter.
type RequestIdentity struct {
	Team    string
	Target  string // method, host and path, with the query
	Service string
	Model   string
	Version string
	Adapter string
	Body    []byte
}

// FingerprintOf returns the fingerprint of the request that id describes.
func FingerprintOf(id RequestIdentity) Fingerprint {
	h := sha256.New()
	for _, field := range []string{id.Team, id.Service, id.Model, id.Version, id.Adapter} {
		writeField(h, field)
	}
	if id.Target != "" {
		writeField(h, id.Target)
	}
	h.Write(id.Body)
	return Fingerprint(h.Sum(nil)[:fingerprintBytes])
}

// PartFingerprint returns the fingerprint of a part of prompts for a model. team is empty
// unless the team shares no parts with others.
func PartFingerprint(team, model, part string) Fingerprint {
	h := sha256.New()
	for _, field := range []string{team, "", model, "", "", "part", part} {
		writeField(h, field)
	}
	return Fingerprint(h.Sum(nil)[:fingerprintBytes])
}

// writeField writes a field and its length, so that the end of one field can't be taken
// for the beginning of the next.
func writeField(h hash.Hash, field string) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(field)))
	h.Write(size[:])
	h.Write([]byte(field))
}

// rendezvousOwners returns the n members with the highest rendezvous weights for
// key, highest first, or all members if there are fewer.
func rendezvousOwners(key string, members []Member, n int) []Member {
	best := make([]Member, 0, n+1)
	weights := make([]uint64, 0, n+1)
	for _, m := range members {
		w := xxhash.Sum64String(key + "/" + m.Instance)
		i := len(best)
		for i > 0 && weights[i-1] < w {
			i--
		}
		if i >= n {
			continue
		}
		best = append(best[:i], append([]Member{m}, best[i:]...)...)
		weights = append(weights[:i], append([]uint64{w}, weights[i:]...)...)
		if len(best) > n {
			best, weights = best[:n], weights[:n]
		}
	}
	return best
}

// Member is a live instance that can own fingerprints and slots.
type Member struct {
	Instance   string
	DataCentre string
	Addr       string // address of its wire server
}
