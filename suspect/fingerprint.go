package suspect

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

const fingerprintBytes = 16

// Fingerprint identifies the same request sent again. It is cryptographic, so
// that no team can make a request that is taken for another's.
type Fingerprint [fingerprintBytes]byte

// String implements fmt.Stringer.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Identity is what makes requests the same: another weight version may not crash.
type Identity struct {
	Team    string
	Service string
	Model   string
	Version string
	Adapter string
	Body    []byte
}

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(s Identity) Fingerprint {
	h := sha256.New()
	for _, field := range []string{s.Team, s.Service, s.Model, s.Version, s.Adapter} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		h.Write(size[:])
		h.Write([]byte(field))
	}
	h.Write(s.Body)
	return Fingerprint(h.Sum(nil)[:fingerprintBytes])
}

// homes returns the n instances with the highest rendezvous weight for key.
func homes(key string, members []Member, n int) []Member {
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

// Member is a live instance that can keep suspects.
type Member struct {
	Instance   string
	DataCentre string
	Addr       string // of its wire server
}
