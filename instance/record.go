package instance

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwingknot/instance/instancepb"
)

// state is the health of an instance. Of two records with the same incarnation
// and version, the one with the higher state replaces the other.
type state uint8

const (
	stateAlive state = iota
	stateSuspect
	stateFailed
)

// record is what an instance knows of another one or of itself. Leaving is never
// cleared within one incarnation. Only the described instance raises the
// version.
type record struct {
	Member
	version           uint64
	state             state
	suspicionDeadline time.Time // when a suspect is marked as failed
	changedAt         time.Time // when the record last changed in this view
	contentDigest     uint64    // hash of the fields that views are compared by, see computeDigest
	ringPosition      uint64    // position on the ring of the data centre
	bucket            int       // bucket of the view that the record belongs to
}

// newerThan reports whether r replaces o. Both describe the same instance and are
// compared by incarnation, version and state, in this order.
func (r *record) newerThan(o *record) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	if r.version != o.version {
		return r.version > o.version
	}
	return r.state > o.state
}

// updateDerived computes the fields that are derived from the others. It must be
// called after each change of the record.
func (r *record) updateDerived() {
	r.contentDigest = r.computeDigest()
	r.ringPosition = RendezvousScore("ring", r.ID)
	r.bucket = int(RendezvousScore("bucket", r.ID) % bucketCount)
}

// computeDigest returns a hash of the identifier, incarnation, version, state and
// leaving mark.
func (r *record) computeDigest() uint64 {
	buf := make([]byte, 0, 64)
	buf = append(buf, r.ID...)
	buf = append(buf, 0)
	buf = binary.AppendUvarint(buf, r.Incarnation)
	buf = binary.AppendUvarint(buf, r.version)
	buf = append(buf, byte(r.state), boolByte(r.Leaving))
	return xxhash.Sum64(buf)
}

// boolByte returns 1 for true and 0 for false.
func boolByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// encode returns the message that represents the record.
func (r *record) encode() *instancepb.Record {
	return &instancepb.Record{
		Id:          r.ID,
		Incarnation: r.Incarnation,
		Version:     r.version,
		DataCentre:  r.DataCentre,
		Addr:        r.Addr,
		State:       uint32(r.state),
		Ready:       r.Ready,
		Leaving:     r.Leaving,
	}
}

// decodeRecord returns the record in p, or nil if p lacks an identifier or an
// address or has an unknown state. The derived fields are not set.
func decodeRecord(p *instancepb.Record) *record {
	if p.GetId() == "" || p.GetAddr() == "" || p.GetState() > uint32(stateFailed) {
		return nil
	}
	return &record{
		Member: Member{
			ID:          p.Id,
			Incarnation: p.Incarnation,
			DataCentre:  p.DataCentre,
			Addr:        p.Addr,
			Ready:       p.Ready,
			Leaving:     p.Leaving,
		},
		version: p.Version,
		state:   state(p.State),
	}
}
