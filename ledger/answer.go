package ledger

import (
	"crypto/sha256"

	"redwingknot/ledger/ledgerpb"
)

// Answer is the HTTP response of an endpoint to a call.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// encode returns the answer in its stored form, in which the SHA-256 digest
// replaces a body of more than limit bytes.
func (a Answer) encode(limit int) *ledgerpb.Answer {
	stored := &ledgerpb.Answer{Status: int32(a.Status), ContentType: a.ContentType, Body: a.Body}
	if len(a.Body) > limit {
		sum := sha256.Sum256(a.Body)
		stored.Body, stored.BodyDigest = nil, sum[:]
	}
	return stored
}
