package note

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
)

const (
	// snapshotPartBytes is the maximum size of a snapshot part. It is below the
	// platform's limit on the size of a value.
	snapshotPartBytes = 768 << 10
	// maxSnapshotBytes is the maximum size of a decompressed snapshot.
	maxSnapshotBytes = 256 << 20
)

// snapshot is a state together with the chains of the last notes that it contains.
type snapshot struct {
	State  *State
	Chains []Chain // one for each of the last numbers, up to State.Head
}

// chainAfter returns the chain up to and including the note with the given
// number, and false if the snapshot does not contain it.
func (s snapshot) chainAfter(number uint64) (Chain, bool) {
	if number > s.State.Head || s.State.Head-number >= uint64(len(s.Chains)) {
		return Chain{}, false
	}
	return s.Chains[uint64(len(s.Chains))-1-(s.State.Head-number)], true
}

// Encode returns the state as gzip-compressed JSON, split into parts that each
// fit into one value of the platform.
func (s *State) Encode() [][]byte {
	return snapshot{State: s}.encode()
}

// Decode returns the state that Encode encoded into parts. The error is a
// *DecodeError.
func Decode(parts [][]byte) (*State, error) {
	s, err := decodeSnapshot(parts)
	if err != nil {
		return nil, err
	}
	return s.State, nil
}

// encode returns the snapshot as gzip-compressed JSON in parts.
func (s snapshot) encode() [][]byte {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err := json.NewEncoder(z).Encode(s); err != nil {
		panic(err) // can't happen: validation rejects infinite numbers and NaN, and writes to a buffer don't fail
	}
	_ = z.Close() // writes to a buffer don't fail
	return splitParts(b.Bytes(), snapshotPartBytes)
}

// splitParts splits data into parts of at most size bytes, at least one.
func splitParts(data []byte, size int) [][]byte {
	var parts [][]byte
	for len(data) > size {
		parts = append(parts, data[:size:size])
		data = data[size:]
	}
	return append(parts, data)
}

// decodeSnapshot decodes the parts that snapshot.encode returned.
func decodeSnapshot(parts [][]byte) (snapshot, error) {
	var s snapshot
	readers := make([]io.Reader, len(parts))
	for i, p := range parts {
		readers[i] = bytes.NewReader(p)
	}
	z, err := gzip.NewReader(io.MultiReader(readers...))
	if err != nil {
		return s, &DecodeError{What: "snapshot", Err: err}
	}
	data, err := io.ReadAll(io.LimitReader(z, maxSnapshotBytes))
	if err != nil {
		return s, &DecodeError{What: "snapshot", Err: err}
	}
	if err := json.Unmarshal(data, &s); err != nil || s.State == nil {
		return s, &DecodeError{What: "snapshot", Err: err}
	}
	return s, nil
}
