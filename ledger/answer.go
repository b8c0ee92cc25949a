package ledger

import (
	"crypto/sha256"

	"redwingknot/ledger/ledgerpb"
)

// Answer is what an endpoint answered to a call.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// encode returns the form in which the answer is kept: a body above limit is
// replaced by its digest.
func (a Answer) encode(limit int) *ledgerpb.Answer {
	kept := &ledgerpb.Answer{Status: int32(a.Status), ContentType: a.ContentType, Body: a.Body}
	if len(a.Body) > limit {
		sum := sha256.Sum256(a.Body)
		kept.Body, kept.BodyDigest = nil, sum[:]
	}
	return kept
}
