package note

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
)

// chainBytes is the length of a Chain in bytes.
const chainBytes = sha256.Size

// Chain is the last hash of the hash chain over all notes up to some number. Two
// histories with the same Chain are identical.
type Chain [chainBytes]byte

// next returns the chain extended by the note with the given number and text.
func (c Chain) next(number uint64, raw []byte) Chain {
	h := sha256.New()
	h.Write(c[:])
	h.Write(binary.BigEndian.AppendUint64(nil, number))
	h.Write(raw)
	return Chain(h.Sum(nil))
}

// encodeNote encodes a note for an update: the chain that includes the note,
// followed by its text.
func encodeNote(c Chain, raw []byte) []byte {
	return slices.Concat(c[:], raw)
}

// decodeNote splits the encoding of encodeNote into the chain and the text.
func decodeNote(data []byte) (Chain, []byte, error) {
	if len(data) < chainBytes {
		return Chain{}, nil, &DecodeError{What: "note of an update"}
	}
	return Chain(data[:chainBytes]), data[chainBytes:], nil
}

// MarshalText implements encoding.TextMarshaler. The text is hexadecimal.
func (c Chain) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, c[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *Chain) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != chainBytes {
		return &DecodeError{What: "hash chain", Err: err}
	}
	*c = Chain(raw)
	return nil
}
