package wire

import (
	"encoding/binary"
	"io"

	"google.golang.org/protobuf/proto"
)

// MaxFrameBytes bounds a message between processes.
const MaxFrameBytes = 4 << 20

const lengthBytes = 4

// writeFrame writes m behind its length.
func writeFrame(w io.Writer, m proto.Message) error {
	buf := make([]byte, lengthBytes, lengthBytes+proto.Size(m))
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err != nil {
		return &FrameError{Err: err}
	}
	size := len(buf) - lengthBytes
	if size > MaxFrameBytes {
		return &FrameError{Size: uint64(size), Err: &FrameSizeError{Limit: MaxFrameBytes}}
	}
	binary.BigEndian.PutUint32(buf, uint32(size))
	_, err = w.Write(buf)
	return err
}

// readFrame reads a message behind its length into m.
func readFrame(r io.Reader, m proto.Message) error {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return &FrameError{Size: uint64(size), Err: &FrameSizeError{Limit: MaxFrameBytes}}
	}
	buf := make([]byte, size)
	if _, err := io.ReadFull(r, buf); err != nil {
		return err
	}
	if err := proto.Unmarshal(buf, m); err != nil {
		return &FrameError{Size: uint64(size), Err: err}
	}
	return nil
}
