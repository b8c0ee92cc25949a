package suspect

import (
	"time"

	"redwingknot/suspect/suspectpb"
)

// Record is what instances tell each other about a subject.
type Record struct {
	Subject
	Crashes      []Crash
	Rounds       int       // rounds of crashes that are known, of forgotten ones, too
	LastReported time.Time // when the last crash was reported
}

// EncodeRecord converts a record to its message, which is encoded at now.
func EncodeRecord(rec Record, now time.Time) *suspectpb.Record {
	m := &suspectpb.Record{
		Fingerprint: rec.Fingerprint[:], Depth: uint32(rec.Depth), Rounds: uint32(rec.Rounds), Age: int64(max(now.Sub(rec.LastReported), 0)),
	}
	for _, c := range rec.Crashes {
		m.Crashes = append(m.Crashes, &suspectpb.Crash{Endpoint: c.Endpoint, Epoch: c.Epoch, Round: uint32(c.Round), Disproved: c.Disproved, OnTrial: c.OnTrial})
	}
	return m
}

// DecodeRecord converts a message received at now to a record. The error is a
// *MalformedFingerprintError.
func DecodeRecord(m *suspectpb.Record, now time.Time) (Record, error) {
	f, err := ParseFingerprint(m.Fingerprint)
	if err != nil {
		return Record{}, err
	}
	depth := int(m.Depth)
	if depth == 0 {
		depth = WholeRequest // of an earlier version, which knows no parts
	}
	rec := Record{Subject: Subject{Fingerprint: f, Depth: depth}, Rounds: int(m.Rounds), LastReported: now.Add(-time.Duration(max(m.Age, 0)))}
	for _, c := range m.Crashes {
		rec.Crashes = append(rec.Crashes, Crash{Endpoint: c.Endpoint, Epoch: c.Epoch, Round: int(c.Round), Disproved: c.Disproved, OnTrial: c.OnTrial})
	}
	return rec, nil
}
