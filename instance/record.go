package instance

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwingknot/instance/instancepb"
)

// state is the health of an instance; higher states win within one version.
type state uint8

const (
	stateAlive state = iota
	stateSuspect
	stateFailed
)

// record is what an instance knows of another. Within one incarnation leaving
// is never unset. Only the described instance raises its version.
type record struct {
	Member
	version  uint64
	state    state
	deadline time.Time // when a suspect is held to have failed
	changed  time.Time // when this view last changed the record
	sum      uint64    // digest of the content
	position uint64    // place on the ring
	bucket   int       // part of the view that it belongs to
}

// newerThan orders records of one instance.
func (r *record) newerThan(o *record) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	if r.version != o.version {
		return r.version > o.version
	}
	return r.state > o.state
}

// seal computes what is derived from the content, after each change of it.
func (r *record) seal() {
	r.sum = r.digest()
	r.position = RendezvousScore("ring", r.ID)
	r.bucket = int(RendezvousScore("bucket", r.ID) % bucketCount)
}

// digest identifies the content of the record.
func (r *record) digest() uint64 {
	buf := make([]byte, 0, 64)
	buf = append(buf, r.ID...)
	buf = append(buf, 0)
	buf = binary.AppendUvarint(buf, r.Incarnation)
	buf = binary.AppendUvarint(buf, r.version)
	buf = append(buf, byte(r.state), flag(r.Leaving))
	return xxhash.Sum64(buf)
}

func flag(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// encode returns the record as it goes to other instances.
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

// decodeRecord returns nil for a record that can't be of this protocol.
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
