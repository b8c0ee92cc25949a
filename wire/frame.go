package wire

import (
	"encoding/binary"
	"io"

	"google.golang.org/protobuf/proto"
)

// MaxFrameBytes is the maximum length of an encoded message between processes.
const MaxFrameBytes = 4 << 20

// lengthPrefixBytes is the size of the big-endian length before each message.
const lengthPrefixBytes = 4

// writeFrame writes m to w with a length prefix. It returns a *FrameError if m
// can't be encoded or is longer than MaxFrameBytes.
func writeFrame(w io.Writer, m proto.Message) error {
	buf := make([]byte, lengthPrefixBytes, lengthPrefixBytes+proto.Size(m))
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err != nil {
		return &FrameError{Err: err}
	}
	size := len(buf) - lengthPrefixBytes
	if size > MaxFrameBytes {
		return &FrameError{Size: uint64(size), Err: &FrameSizeError{Limit: MaxFrameBytes}}
	}
	binary.BigEndian.PutUint32(buf, uint32(size))
	_, err = w.Write(buf)
	return err
}

// maxHandshakeBytes is the maximum length of a message of the handshake, whose sender has yet to
// prove that it holds the shared key.
const maxHandshakeBytes = 1 << 10

// readFrame reads a length-prefixed message from r into m. It returns a
// *FrameError if the message is longer than MaxFrameBytes or can't be decoded.
func readFrame(r io.Reader, m proto.Message) error { return readLimitedFrame(r, m, MaxFrameBytes) }

// readLimitedFrame is like readFrame, for messages of at most limit bytes.
func readLimitedFrame(r io.Reader, m proto.Message, limit uint64) error {
	var header [lengthPrefixBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	size := uint64(binary.BigEndian.Uint32(header[:]))
	if size > limit {
		return &FrameError{Size: size, Err: &FrameSizeError{Limit: limit}}
	}
	buf := make([]byte, size)
	if _, err := io.ReadFull(r, buf); err != nil {
		return err
	}
	if err := proto.Unmarshal(buf, m); err != nil {
		return &FrameError{Size: size, Err: err}
	}
	return nil
}
