package note

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
)

const (
	// partBytes is the size of a snapshot's parts, below the platform's limit.
	partBytes = 768 << 10
	// maxSnapshotBytes bounds a decoded snapshot.
	maxSnapshotBytes = 256 << 20
)

// snapshot is the state with the end of its history.
type snapshot struct {
	State  *State
	Chains []Chain // of the last numbers up to State.Head
}

// chainAt returns the chain after a number, if it is one of Chains.
func (s snapshot) chainAt(number uint64) (Chain, bool) {
	if number > s.State.Head || s.State.Head-number >= uint64(len(s.Chains)) {
		return Chain{}, false
	}
	return s.Chains[uint64(len(s.Chains))-1-(s.State.Head-number)], true
}

// Encode returns the state in parts that each fit into one value of the
// platform: JSON, compressed and cut.
func (s *State) Encode() [][]byte {
	return snapshot{State: s}.encode()
}

// Decode returns the state that Encode has written.
func Decode(parts [][]byte) (*State, error) {
	s, err := decodeSnapshot(parts)
	if err != nil {
		return nil, err
	}
	return s.State, nil
}

func (s snapshot) encode() [][]byte {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err := json.NewEncoder(z).Encode(s); err != nil {
		panic(err) // numbers are checked to be finite; a buffer takes all writes
	}
	_ = z.Close() // a buffer takes all writes
	return cut(b.Bytes(), partBytes)
}

func cut(data []byte, size int) [][]byte {
	var parts [][]byte
	for len(data) > size {
		parts = append(parts, data[:size:size])
		data = data[size:]
	}
	return append(parts, data)
}

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
